#include "core/team_claims.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hatchwind::core {

namespace {
// What waits longer all the same waits for something else, and must not keep the fleet idle.
constexpr Micros kOwedFor{60'000'000};

bool accepted_before(const JobEntry* left, const JobEntry* right) {
    return std::tie(left->job.accepted, left->job.id) < std::tie(right->job.accepted, right->job.id);
}
}  // namespace

bool TeamClaims::within_guarantee(const Job& job) {
    if (!guarantees_known_) {
        guarantees_known_ = true;
        find_guaranteed_jobs();
    }
    return guaranteed_.contains(job.id);
}

void TeamClaims::find_guaranteed_jobs() {
    const PlacementInput& input = trial_.input();
    std::vector<const JobEntry*> by_age;
    for (const auto& [id, entry] : input.ledger->jobs()) {
        if (!entry.job.cancelled && input.teams->contains(entry.job.team)) by_age.push_back(&entry);
    }
    std::sort(by_age.begin(), by_age.end(), accepted_before);
    std::map<std::string, Amount> wanted;
    for (const JobEntry* entry : by_age) {
        Amount& sum = wanted[entry->job.team];
        sum += entry->job.need * static_cast<double>(entry->job.tasks - entry->done);
        const Team& team = input.teams->at(entry->job.team);
        if (sum.cpus <= team.cpus + kSlack && sum.gpus <= team.gpus + kSlack)
            guaranteed_.insert(entry->job.id);
    }
}

Claim TeamClaims::claim(const Job& job) {
    return claim(job, effective_priority(job, trial_.input().pipelines));
}

Claim TeamClaims::claim(const Job& job, Priority priority) {
    if (priority == Priority::production) return {Claim::Rank::production, priority};
    const bool guaranteed = within_guarantee(job);
    return {guaranteed ? Claim::Rank::guaranteed : Claim::Rank::beyond_guarantee, priority};
}

bool TeamClaims::counts_as_owed(const JobEntry& entry) {
    if (entry.job.kind != JobKind::array || entry.job.cancelled || entry.unstarted() == 0) return false;
    const PlacementInput& input = trial_.input();
    if (input.wall - entry.job.accepted > kOwedFor) return false;
    return input.teams->contains(entry.job.team) && within_guarantee(entry.job);
}

void TeamClaims::find_owed() {
    for (const auto& [id, entry] : trial_.input().ledger->jobs()) {
        if (!counts_as_owed(entry)) continue;
        OwedCpus& owed = owed_[entry.job.team];
        const double waiting = entry.job.need.cpus * entry.unstarted();
        owed.any += waiting;
        if (!entry.job.spot) owed.ordinary += waiting;
    }
    for (auto& [name, owed] : owed_) {
        const double guaranteed = trial_.input().teams->at(name).cpus;
        const double due = std::max(0.0, guaranteed - trial_.team_use(name).cpus);
        owed = {std::min(owed.any, due), std::min(owed.ordinary, due)};
    }
}

TeamClaims::OwedCpus TeamClaims::owed_to_others(const std::string& team) {
    if (!owed_known_) {
        owed_known_ = true;
        find_owed();
    }
    OwedCpus sum;
    for (const auto& [name, owed] : owed_) {
        if (name == team) continue;
        sum.any += owed.any;
        sum.ordinary += owed.ordinary;
    }
    return sum;
}

bool TeamClaims::leaves_owed(const Job& job, std::size_t machine) {
    const Priority priority = effective_priority(job, trial_.input().pipelines);
    if (job.kind != JobKind::array || priority == Priority::production || within_guarantee(job)) return true;
    const OwedCpus owed = owed_to_others(job.team);
    if (owed.any <= kSlack) return true;
    const bool spot = trial_.capacity().machines()[machine].spot;
    const double ordinary = trial_.free_ordinary_cpus() - (spot ? 0 : job.need.cpus);
    const double left =
        trial_.free_spot_cpus() - (spot ? job.need.cpus : 0) + std::max(0.0, ordinary - owed.ordinary);
    return (spot || ordinary >= owed.ordinary) && left >= owed.any - owed.ordinary;
}

}  // namespace hatchwind::core
