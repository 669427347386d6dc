#include "scheduling/dependency_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "store/store_keys.hpp"
#include "wire/job_status.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros::rep kMicrosPerMilli = 1000;
constexpr Micros kInterval{300'000};
constexpr Micros kGap{30'000};
constexpr Micros kAfterFailure{200'000};
constexpr Micros kRemoveListsEvery{5'000'000};
constexpr Micros kReadDeadline{2'000'000};
constexpr Micros kCommitDeadline{3'000'000};
constexpr std::size_t kEndingsOfOnePass = 1000;
constexpr std::size_t kTransactionBytes = 48U << 10U;  // of the JSON form
constexpr std::size_t kStepOverhead = 200;
// Users are told of a cancellation whether or not it has been written, so these writes give way to others:
// they take what the budget has to spare, and a little in any case.
constexpr std::size_t kLeastCancelGroups = 1;
constexpr std::size_t kMostCancelGroups = 8;
}  // namespace

bool DependencyReconciler::acts_for(const core::Job& job) const {
    const auto owner = replicated_.epoch().shard_owners.find(job.team_once_released);
    return owner == replicated_.epoch().shard_owners.end() ? leadership_.is_cluster_leader()
                                                           : owner->second == leadership_.label();
}

DependencyReconciler::Step DependencyReconciler::release(const core::JobEntry& entry) const {
    core::Job job = entry.job;
    job.team = std::move(job.team_once_released);
    job.team_once_released.clear();
    job.dependencies.clear();
    job.dependency_list.clear();
    job.dependency_parts = 0;
    // All times but the deadline count from the release; the deadline stays where it is.
    const Micros now = io::wall_now();
    if (job.deadline_s) *job.deadline_s -= std::chrono::duration<double>(now - job.accepted).count();
    job.accepted = now;
    wire::Json record = wire::job_record(job);
    const std::size_t bytes = record.dump().size() + kStepOverhead;
    return {job.id, entry.mod_revision, {{keys::job(job.id), std::move(record), 0}}, std::nullopt, bytes};
}

DependencyReconciler::Step DependencyReconciler::cancel(const core::JobEntry& entry) {
    return {entry.job.id,
            entry.mod_revision,
            {{keys::job(entry.job.id), std::nullopt, 0}},
            FinalState{wire::JobStatus::cancelled, 0},
            kStepOverhead};
}

wire::Transaction DependencyReconciler::next_group(const std::vector<Step>& steps, std::size_t& next) const {
    wire::Transaction t;
    t.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    const std::size_t first = next;
    std::size_t bytes = 0;
    for (; next < steps.size(); ++next) {
        const Step& step = steps[next];
        const std::size_t writes = step.effects.size() + (step.final_state ? 1 : 0);
        bytes += step.bytes;
        const bool full = t.writes.size() + writes > settings_.txn_ops || bytes > kTransactionBytes;
        if (full && next != first) break;
        t.conditions.push_back({keys::job(step.job), step.mod_revision});
        for (const auto& effect : step.effects) t.writes.push_back({effect.key, effect.value, 0});
        if (!step.final_state) continue;
        wire::Json record = wire::final_record(step.final_state->status, step.final_state->done);
        t.writes.push_back({keys::final(step.job), std::move(record), 0});
    }
    return t;
}

void DependencyReconciler::carried_out(Step& step, core::Revision revision) {
    if (const core::JobEntry* entry = replicated_.job_table().find(step.job)) {
        const Micros waited = io::wall_now() - entry->job.accepted;
        spdlog::debug("event={} job={} class={} waited_ms={}",
                      step.final_state ? "waiting_job_cancelled" : "waiting_job_released", step.job,
                      entry->job.job_class, waited.count() / kMicrosPerMilli);
    }
    replica_.apply_own_commit(step.effects, revision);
    if (step.final_state) final_states_.record(step.job, *step.final_state);
}

Task<bool> DependencyReconciler::commit(std::vector<Step> steps, std::size_t groups, Urgency urgency) {
    std::size_t next = 0;
    for (std::size_t group = 0; group < groups && next < steps.size(); ++group) {
        const std::size_t first = next;
        wire::Transaction t = next_group(steps, next);
        const auto conditions = t.conditions;
        auto task = store_.commit(std::move(t), steady_now() + kCommitDeadline,
                                  CommitPriority{urgency == Urgency::release, std::nullopt});
        const CommitResult r = co_await std::move(task);
        if (r.outcome == CommitOutcome::conflict) {
            // Written by somebody else, by an earlier copy of this transaction, or cancelled meanwhile.
            auto wait_for_revision = replica_.wait_for_conflict(conditions, r, steady_now() + kReadDeadline);
            co_await std::move(wait_for_revision);
        }
        // Without an answer it may be carried out at any time: it then does what the next pass would do, and
        // the conditions leave only one of them.
        if (r.outcome != CommitOutcome::committed) co_return false;
        for (std::size_t i = first; i < next; ++i) carried_out(steps[i], r.revision);
        signals_.scheduling_needed.notify_all();
        signals_.scaling_needed.notify_all();
    }
    co_return true;
}

Task<bool> DependencyReconciler::read_terminal_states(std::vector<std::string> jobs) {
    if (jobs.size() > kEndingsOfOnePass) jobs.resize(kEndingsOfOnePass);
    auto reading = final_states_.read_all(std::move(jobs), steady_now() + kReadDeadline);
    const auto revision = co_await std::move(reading);
    co_return revision.has_value();
}

Task<bool> DependencyReconciler::reconcile() {
    const Micros began = steady_now();
    const auto plan = core::plan_dependencies(
        replicated_.job_table(), [this](const std::string& job) { return final_states_.ending(job); },
        [this](const core::Job& job) { return acts_for(job); });
    planning_took_ = steady_now() - began;
    std::vector<Step> releases;
    for (const auto& id : plan.release) releases.push_back(release(*replicated_.job_table().find(id)));
    std::vector<Step> cancellations;
    for (const auto& id : plan.cancel) cancellations.push_back(cancel(*replicated_.job_table().find(id)));
    if (!releases.empty() || !cancellations.empty())
        spdlog::debug("event=dependencies releases={} cancels={} unknown={}", releases.size(),
                      cancellations.size(), plan.unknown_terminal_states.size());
    bool ok = true;
    bool news = false;
    if (!releases.empty()) {
        const std::size_t groups = releases.size();
        auto task = commit(std::move(releases), groups, Urgency::release);
        ok = co_await std::move(task);
    }
    if (ok && !plan.unknown_terminal_states.empty()) {
        auto reading = read_terminal_states(plan.unknown_terminal_states);
        ok = co_await std::move(reading);
        for (const auto& id : plan.unknown_terminal_states) news = news || final_states_.known(id) != nullptr;
    }
    if (ok && !cancellations.empty()) {
        const double spare = std::max(0.0, store_.spare_writes());
        const auto affordable = static_cast<std::size_t>(spare) / settings_.txn_ops;
        const std::size_t groups = std::clamp(affordable, kLeastCancelGroups, kMostCancelGroups);
        auto task = commit(std::move(cancellations), groups, Urgency::cancel);
        ok = co_await std::move(task);
    }
    if (!ok) co_await loop_.sleep(kAfterFailure);
    co_return news;
}

std::vector<std::string> DependencyReconciler::jobs_with_old_lists() const {
    std::vector<std::string> jobs;
    for (const auto& [job, parts] : replicated_.job_table().dependency_parts()) {
        const core::JobEntry* entry = replicated_.job_table().find(job);
        if (entry == nullptr || !entry->job.waiting()) jobs.push_back(job);
    }
    return jobs;
}

Task<void> DependencyReconciler::remove_lists() {
    std::vector<std::string> unknown = jobs_with_old_lists();
    if (unknown.empty()) co_return;
    // The list of a submission that is being taken is written before the job: without a record of the job
    // only its final state tells that the list has served.
    std::erase_if(unknown,
                  [&](const std::string& id) { return replicated_.job_table().find(id) != nullptr; });
    auto reading = read_terminal_states(unknown);
    const bool read = co_await std::move(reading);
    if (!read) co_return;
    wire::Transaction t;
    std::vector<wire::StoreItem> effects;
    t.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    for (const auto& job : jobs_with_old_lists()) {
        if (replicated_.job_table().find(job) == nullptr && final_states_.known(job) == nullptr) continue;
        for (const auto& [part, ids] : replicated_.job_table().dependency_parts().at(job)) {
            if (t.writes.size() >= settings_.txn_ops) break;
            const std::string key = keys::dependency_part(job, part.list, part.number);
            t.writes.push_back({key, std::nullopt, 0});
            effects.push_back({key, std::nullopt, 0});
        }
    }
    if (effects.empty()) co_return;
    auto task = store_.commit(std::move(t), steady_now() + kCommitDeadline);
    const CommitResult r = co_await std::move(task);
    if (r.outcome != CommitOutcome::committed) co_return;
    replica_.apply_own_commit(effects, r.revision);
}

Task<void> DependencyReconciler::run() {
    bool again = false;
    while (true) {
        if (!std::exchange(again, false)) co_await signals_.replica_advanced.wait(steady_now() + kInterval);
        // A pass that takes long on this machine leaves most of the time to others.
        co_await loop_.sleep(std::max(kGap, 9 * planning_took_));
        if (!leadership_.holds_leadership() || !store_.reachable(steady_now())) continue;
        if (!replicated_.job_table().waiting().empty()) {
            auto pass = reconcile();
            again = co_await std::move(pass);
        }
        if (!leadership_.is_cluster_leader() || steady_now() - last_removal_ < kRemoveListsEvery) continue;
        last_removal_ = steady_now();
        auto removal = remove_lists();
        co_await std::move(removal);
    }
}

}  // namespace hatchwind::controller
