#include "scheduling/dependency_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "store/store_keys.hpp"
#include "wire/cbor.hpp"
#include "wire/job_status.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros::rep kMicrosPerMilli = 1000;
constexpr Micros kInterval{300'000};
constexpr Micros kMinPause{30'000};
// The pause before a pass is at least this multiple of the last planning time, so that slow passes leave most
// of the processor time to other work.
constexpr int kPauseToPlanningRatio = 9;
constexpr Micros kPauseAfterFailure{200'000};
constexpr Micros kListRemovalInterval{5'000'000};
constexpr Micros kReadTimeout{2'000'000};
constexpr Micros kCommitTimeout{3'000'000};
constexpr std::size_t kMaxFinalStatesRead = 1000;         // per pass
constexpr std::size_t kMaxTransactionBytes = 48U << 10U;  // in JSON form
constexpr std::size_t kResolutionOverheadBytes = 200;
// Users see a cancellation before it has been written, so these writes have a low priority: they use the
// unused part of the write budget, and at least one transaction per pass.
constexpr std::size_t kMinCancelGroups = 1;
constexpr std::size_t kMaxCancelGroups = 8;
}  // namespace

bool DependencyReconciler::acts_for(const core::Job& job) const {
    const auto& shard_owners = replicated_.epoch().shard_owners;
    const auto shard_owner = shard_owners.find(job.team_once_released);
    return shard_owner == shard_owners.end() ? leadership_.is_cluster_leader()
                                             : shard_owner->second == leadership_.label();
}

DependencyReconciler::Resolution DependencyReconciler::release(const core::JobEntry& entry) {
    core::Job job = entry.job;
    job.team = std::move(job.team_once_released);
    job.team_once_released.clear();
    job.dependencies.clear();
    job.dependency_list.clear();
    job.dependency_parts = 0;
    // All times count from the release, except the deadline, whose absolute time is kept.
    const Micros wall_clock_now = io::wall_now();
    if (job.deadline_s)
        *job.deadline_s -= std::chrono::duration<double>(wall_clock_now - job.accepted).count();
    job.accepted = wall_clock_now;
    wire::Json record = wire::job_record(job);
    const std::size_t bytes = wire::json_bytes(record) + kResolutionOverheadBytes;
    return {job.id, entry.mod_revision, {keys::job(job.id), std::move(record), 0}, std::nullopt, bytes};
}

DependencyReconciler::Resolution DependencyReconciler::cancel(const core::JobEntry& entry) {
    return {entry.job.id,
            entry.mod_revision,
            {keys::job(entry.job.id), std::nullopt, 0},
            FinalState{wire::JobStatus::cancelled, 0},
            kResolutionOverheadBytes};
}

DependencyReconciler::Group DependencyReconciler::next_group(std::span<const Resolution> resolutions) const {
    Group group;
    wire::Transaction& transaction = group.transaction;
    transaction.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    std::size_t bytes = 0;
    for (const Resolution& resolution : resolutions) {
        bytes += resolution.estimated_bytes;
        const std::size_t writes = transaction.writes.size() + resolution.write_count();
        const bool full = writes > settings_.txn_ops || bytes > kMaxTransactionBytes;
        if (full && group.resolutions != 0) break;
        transaction.conditions.push_back({keys::job(resolution.job), resolution.mod_revision});
        transaction.writes.push_back({resolution.record.key, resolution.record.value, 0});
        ++group.resolutions;
        if (!resolution.final_state) continue;
        const FinalState& final_state = *resolution.final_state;
        wire::Json record = wire::final_record(final_state.status, final_state.done);
        transaction.writes.push_back({keys::final(resolution.job), std::move(record), 0});
    }
    return group;
}

void DependencyReconciler::apply_committed(Resolution& resolution, core::Revision revision) {
    if (const core::JobEntry* entry = replicated_.job_table().find(resolution.job)) {
        const Micros waited = io::wall_now() - entry->job.accepted;
        spdlog::debug("event={} job={} class={} waited_ms={}",
                      resolution.final_state ? "waiting_job_cancelled" : "waiting_job_released",
                      resolution.job, entry->job.job_class, waited.count() / kMicrosPerMilli);
    }
    resolution.record.mod_revision = revision;
    replica_.apply_own_commit(resolution.record);
    if (resolution.final_state) final_states_.record(resolution.job, *resolution.final_state);
}

Task<DependencyReconciler::CommitsOutcome> DependencyReconciler::commit(std::vector<Resolution> resolutions,
                                                                        std::size_t max_groups,
                                                                        Urgency urgency) {
    std::span<Resolution> remaining{resolutions};
    for (std::size_t count = 0; count < max_groups && !remaining.empty(); ++count) {
        Group group = next_group(remaining);
        const auto conditions = group.transaction.conditions;
        auto committing = store_.commit(std::move(group.transaction), steady_now() + kCommitTimeout,
                                        CommitPriority{urgency == Urgency::release, std::nullopt});
        const CommitResult result = co_await std::move(committing);
        if (result.outcome == CommitOutcome::conflict) {
            // Another controller or an earlier copy of this transaction has written the record, or the job
            // has been cancelled.
            auto waiting = replica_.wait_for_conflict(conditions, result, steady_now() + kReadTimeout);
            co_await std::move(waiting);
        }
        // A transaction without an answer may be committed at any later time. It then has the same effect as
        // that of the next pass, and the conditions let only one of the two commit.
        if (result.outcome != CommitOutcome::committed) co_return CommitsOutcome::stopped;
        for (Resolution& resolution : remaining.first(group.resolutions))
            apply_committed(resolution, result.revision);
        remaining = remaining.subspan(group.resolutions);
        signals_.scheduling_needed.notify_all();
        signals_.scaling_needed.notify_all();
    }
    co_return CommitsOutcome::all_committed;
}

Task<bool> DependencyReconciler::read_final_states(std::vector<std::string> jobs) {
    if (jobs.size() > kMaxFinalStatesRead) jobs.resize(kMaxFinalStatesRead);
    auto reading = final_states_.read_all(std::move(jobs), steady_now() + kReadTimeout);
    const auto revision = co_await std::move(reading);
    co_return revision.has_value();
}

bool DependencyReconciler::is_any_known(const std::vector<std::string>& jobs) const {
    return std::any_of(jobs.begin(), jobs.end(),
                       [&](const std::string& job) { return final_states_.known(job) != nullptr; });
}

core::DependencyPlan DependencyReconciler::plan_resolutions() {
    const Micros started_at = steady_now();
    auto plan = core::plan_dependencies(
        replicated_.job_table(), [this](const std::string& job) { return final_states_.terminal_state(job); },
        [this](const core::Job& job) { return acts_for(job); });
    last_planning_duration_ = steady_now() - started_at;
    if (!plan.release.empty() || !plan.cancel.empty())
        spdlog::debug("event=dependencies releases={} cancels={} unknown={}", plan.release.size(),
                      plan.cancel.size(), plan.unknown_terminal_states.size());
    return plan;
}

std::size_t DependencyReconciler::affordable_cancel_groups() {
    const double unused_writes = std::max(0.0, store_.available_writes());
    const auto affordable = static_cast<std::size_t>(unused_writes) / settings_.txn_ops;
    return std::clamp(affordable, kMinCancelGroups, kMaxCancelGroups);
}

Task<bool> DependencyReconciler::reconcile() {
    const core::DependencyPlan plan = plan_resolutions();
    // Both lists are built before the first commit, from the records that the plan was made from: a commit
    // may change the job table.
    std::vector<Resolution> releases;
    for (const auto& id : plan.release) releases.push_back(release(*replicated_.job_table().find(id)));
    std::vector<Resolution> cancellations;
    for (const auto& id : plan.cancel) {
        const core::JobEntry& entry = *replicated_.job_table().find(id);
        // The job may have been released and started in the meantime.
        if (!entry.record_is_outdated()) cancellations.push_back(cancel(entry));
    }
    CommitsOutcome outcome = CommitsOutcome::all_committed;
    if (!releases.empty()) {
        const std::size_t max_groups = releases.size();
        auto committing = commit(std::move(releases), max_groups, Urgency::release);
        outcome = co_await std::move(committing);
    }
    bool learned_final_states = false;
    if (outcome == CommitsOutcome::all_committed && !plan.unknown_terminal_states.empty()) {
        auto reading = read_final_states(plan.unknown_terminal_states);
        const bool all_answered = co_await std::move(reading);
        if (!all_answered) outcome = CommitsOutcome::stopped;
        learned_final_states = is_any_known(plan.unknown_terminal_states);
    }
    if (outcome == CommitsOutcome::all_committed && !cancellations.empty()) {
        auto committing = commit(std::move(cancellations), affordable_cancel_groups(), Urgency::cancel);
        outcome = co_await std::move(committing);
    }
    if (outcome == CommitsOutcome::stopped) co_await loop_.sleep(kPauseAfterFailure);
    co_return learned_final_states;
}

std::vector<std::string> DependencyReconciler::jobs_with_old_lists() const {
    std::vector<std::string> jobs;
    for (const auto& [job, parts] : replicated_.job_table().dependency_parts()) {
        const core::JobEntry* entry = replicated_.job_table().find(job);
        if (entry == nullptr || !entry->job.waiting()) jobs.push_back(job);
    }
    return jobs;
}

std::vector<wire::StoreItem> DependencyReconciler::deletions_of_old_lists() const {
    std::vector<wire::StoreItem> deletions;
    for (const auto& job : jobs_with_old_lists()) {
        if (replicated_.job_table().find(job) == nullptr && final_states_.known(job) == nullptr) continue;
        for (const auto& [part, ids] : replicated_.job_table().dependency_parts().at(job)) {
            if (deletions.size() >= settings_.txn_ops) break;
            deletions.push_back({keys::dependency_part(job, part.list, part.number), std::nullopt, 0});
        }
    }
    return deletions;
}

Task<void> DependencyReconciler::remove_lists() {
    std::vector<std::string> unknown = jobs_with_old_lists();
    if (unknown.empty()) co_return;
    // The dependency list of a submission is written before the job's record. If there is no record, only the
    // job's final state proves that the list is obsolete.
    std::erase_if(unknown,
                  [&](const std::string& id) { return replicated_.job_table().find(id) != nullptr; });
    auto reading = read_final_states(std::move(unknown));
    const bool all_answered = co_await std::move(reading);
    if (!all_answered) co_return;
    std::vector<wire::StoreItem> deletions = deletions_of_old_lists();
    if (deletions.empty()) co_return;
    wire::Transaction transaction;
    transaction.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    for (const auto& deletion : deletions) transaction.writes.push_back({deletion.key, std::nullopt, 0});
    auto committing = store_.commit(std::move(transaction), steady_now() + kCommitTimeout);
    const CommitResult result = co_await std::move(committing);
    if (result.outcome != CommitOutcome::committed) co_return;
    replica_.apply_own_commit(deletions, result.revision);
}

Task<void> DependencyReconciler::run() {
    bool run_immediately = false;
    while (true) {
        if (!std::exchange(run_immediately, false))
            co_await signals_.replica_advanced.wait(steady_now() + kInterval);
        co_await loop_.sleep(std::max(kMinPause, kPauseToPlanningRatio * last_planning_duration_));
        if (!leadership_.holds_leadership() || !store_.reachable(steady_now())) continue;
        if (!replicated_.job_table().waiting().empty()) {
            auto pass = reconcile();
            run_immediately = co_await std::move(pass);
        }
        if (!leadership_.is_cluster_leader() || steady_now() - last_removal_ < kListRemovalInterval) continue;
        last_removal_ = steady_now();
        auto removal = remove_lists();
        co_await std::move(removal);
    }
}

}  // namespace hatchwind::controller
