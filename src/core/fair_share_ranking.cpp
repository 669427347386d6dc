#include "core/fair_share_ranking.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hatchwind::core {

namespace {
// A job that has waited longer is blocked by something other than capacity, and must not keep machines idle.
constexpr Micros kMaxQuotaReservationWait{60'000'000};

bool accepted_before(const JobEntry* left, const JobEntry* right) {
    return std::tie(left->job.accepted, left->job.id) < std::tie(right->job.accepted, right->job.id);
}
}  // namespace

bool FairShareRanking::within_quota(const Job& job) {
    if (!quota_known_) {
        quota_known_ = true;
        find_jobs_within_quota();
    }
    return within_quota_.contains(job.id);
}

void FairShareRanking::find_jobs_within_quota() {
    const PlacementInput& input = trial_.input();
    std::vector<const JobEntry*> by_age;
    for (const auto& [id, entry] : input.job_table->jobs()) {
        if (!entry.job.cancelled && input.teams->contains(entry.job.team)) by_age.push_back(&entry);
    }
    std::sort(by_age.begin(), by_age.end(), accepted_before);
    std::map<std::string, Resources> wanted;
    for (const JobEntry* entry : by_age) {
        Resources& sum = wanted[entry->job.team];
        sum += entry->job.resources * static_cast<double>(entry->job.tasks - entry->done);
        const Team& team = input.teams->at(entry->job.team);
        if (sum.cpus <= team.cpus + kResourceTolerance && sum.gpus <= team.gpus + kResourceTolerance)
            within_quota_.insert(entry->job.id);
    }
}

PreemptionRank FairShareRanking::rank(const Job& job) {
    return rank(job, effective_priority(job, trial_.input().pipelines));
}

PreemptionRank FairShareRanking::rank(const Job& job, Priority priority) {
    if (priority == Priority::production) return {PreemptionRank::Tier::production, priority};
    const bool covered = within_quota(job);
    return {covered ? PreemptionRank::Tier::within_quota : PreemptionRank::Tier::beyond_quota, priority};
}

bool FairShareRanking::counts_as_reserved(const JobEntry& entry) {
    if (entry.job.kind != JobKind::array || entry.job.cancelled || entry.unstarted() == 0) return false;
    const PlacementInput& input = trial_.input();
    if (input.wall_clock_now - entry.job.accepted > kMaxQuotaReservationWait) return false;
    return input.teams->contains(entry.job.team) && within_quota(entry.job);
}

void FairShareRanking::find_reserved() {
    for (const auto& [id, entry] : trial_.input().job_table->jobs()) {
        if (!counts_as_reserved(entry)) continue;
        ReservedCpus& reserved = reserved_[entry.job.team];
        const double waiting = entry.job.resources.cpus * entry.unstarted();
        reserved.any += waiting;
        if (!entry.job.spot) reserved.on_demand += waiting;
    }
    for (auto& [name, reserved] : reserved_) {
        const double quota = trial_.input().teams->at(name).cpus;
        const double unused_quota = std::max(0.0, quota - trial_.team_use(name).cpus);
        reserved = {std::min(reserved.any, unused_quota), std::min(reserved.on_demand, unused_quota)};
    }
}

FairShareRanking::ReservedCpus FairShareRanking::reserved_for_others(const std::string& team) {
    if (!reserved_known_) {
        reserved_known_ = true;
        find_reserved();
    }
    ReservedCpus sum;
    for (const auto& [name, reserved] : reserved_) {
        if (name == team) continue;
        sum.any += reserved.any;
        sum.on_demand += reserved.on_demand;
    }
    return sum;
}

bool FairShareRanking::respects_quota_reservations(const Job& job, std::size_t machine) {
    const Priority priority = effective_priority(job, trial_.input().pipelines);
    if (job.kind != JobKind::array || priority == Priority::production || within_quota(job)) return true;
    const ReservedCpus reserved = reserved_for_others(job.team);
    if (reserved.any <= kResourceTolerance) return true;
    const bool spot = trial_.capacity().machines()[machine].spot;
    const double on_demand = trial_.free_on_demand_cpus() - (spot ? 0 : job.resources.cpus);
    const double left = trial_.free_spot_cpus() - (spot ? job.resources.cpus : 0) +
                        std::max(0.0, on_demand - reserved.on_demand);
    return (spot || on_demand >= reserved.on_demand) && left >= reserved.any - reserved.on_demand;
}

}  // namespace hatchwind::core
