#include "core/candidate_search.hpp"

#include <algorithm>
#include <cmath>

namespace hatchwind::core {

double CandidateSearch::image_fetch_s(const Job& job, const MachineCapacity& machine) const {
    if (machine.has_image(job.image)) return 0;
    const double unshared_fetch_s = job.image_gb / machine.type->fetch_gb_per_s;
    if (machine.view == nullptr) return unshared_fetch_s;
    for (const auto& task : machine.view->last_heartbeat.tasks) {
        if (task.state != TaskState::fetching) continue;
        const JobEntry* other = trial_.input().job_table->find(task.job);
        // One fetch serves all tasks that need the image; this one is assumed to be half done.
        if (other != nullptr && other->job.image == job.image) return unshared_fetch_s / 2;
    }
    return unshared_fetch_s;
}

CandidateScore CandidateSearch::score(const Job& job, std::size_t machine) const {
    const MachineCapacity& candidate = trial_.capacity().machines()[machine];
    const int fetch_s = static_cast<int>(std::lround(image_fetch_s(job, candidate)));
    const double cpus_left = candidate.free.cpus - job.resources.cpus;
    return {candidate.drain_candidate, fetch_s, candidate.spot != job.spot, cpus_left, machine};
}

std::optional<std::size_t> CandidateSearch::best(const JobEntry& entry, const ZoneUse& zones,
                                                 std::uint32_t task) const {
    const auto& machines = trial_.capacity().machines();
    std::optional<CandidateScore> best;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        if (!has_capacity_for(entry.job, machines[i]) || !zones.allows(entry.job, machines[i].zone)) continue;
        if (trial_.listed_on(i, entry, task)) continue;
        const CandidateScore candidate = score(entry.job, i);
        if (!best || candidate < *best) best = candidate;
    }
    if (!best) return std::nullopt;
    return best->machine;
}

std::vector<CandidateScore> CandidateSearch::ranked(const Job& job) {
    std::vector<CandidateScore> candidates;
    const Shape wanted = shape(job);
    if (without_capacity_.contains(wanted)) return candidates;
    const auto& machines = trial_.capacity().machines();
    for (std::size_t i = 0; i < machines.size(); ++i) {
        if (has_capacity_for(job, machines[i])) candidates.push_back(score(job, i));
    }
    std::sort(candidates.begin(), candidates.end());
    if (candidates.empty()) without_capacity_.insert(wanted);
    return candidates;
}

}  // namespace hatchwind::core
