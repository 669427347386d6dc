#include "api/dependency_admission.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "store/store_keys.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::Task;

namespace {
constexpr int kRoundsOfReading = 3;
// Of what a transaction may hold, in the JSON form.
constexpr std::size_t kTransactionBytes = 48U << 10U;
constexpr std::size_t kPartBytes = 16U << 10U;

std::size_t json_bytes(const wire::Json& value) { return value.dump().size(); }

// The same for every submission of the same list, whichever node takes it: repeats write the same records.
std::string list_name(const std::vector<std::string>& ids) {
    constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;  // FNV-1a
    constexpr std::uint64_t kPrime = 0x100000001b3U;
    std::uint64_t hash = kOffset;
    for (const auto& id : ids) {
        for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
        hash = (hash ^ ',') * kPrime;
    }
    return std::to_string(hash);
}

std::vector<std::vector<std::string>> split(const std::vector<std::string>& ids, std::size_t most_bytes) {
    std::vector<std::vector<std::string>> parts;
    std::size_t bytes = most_bytes;
    for (const auto& id : ids) {
        if (bytes + id.size() + 1 > most_bytes) {
            parts.emplace_back();
            bytes = std::string_view(R"({"ids":""})").size();
        }
        parts.back().push_back(id);
        bytes += id.size() + 1;
    }
    return parts;
}
}  // namespace

bool DependencyAdmission::knows_waiting_jobs(const core::Member& member) const {
    if (member.label == leadership_.label()) return true;
    if (const auto record = replicated_.member_records().find(member.label);
        record != replicated_.member_records().end() && record->second.store_lease == member.store_lease &&
        (record->second.capabilities & core::kKnowsWaitingJobs) != 0)
        return true;
    const wire::PeerHeartbeat* heartbeat = peers_.heartbeat_of(member);
    return heartbeat != nullptr && (heartbeat->capabilities & core::kKnowsWaitingJobs) != 0;
}

bool DependencyAdmission::everyone_knows_waiting_jobs() const {
    const auto& members = replicated_.epoch().members;
    const bool all_members = std::all_of(members.begin(), members.end(),
                                         [&](const auto& member) { return knows_waiting_jobs(member); });
    // A node that is no member yet answers users all the same.
    return all_members && std::all_of(replicated_.member_records().begin(),
                                      replicated_.member_records().end(), [&](const auto& node) {
                                          return knows_waiting_jobs({node.first, node.second.store_lease});
                                      });
}

std::vector<std::string> DependencyAdmission::undecided(const std::vector<std::string>& dependencies) const {
    std::vector<std::string> ids;
    std::copy_if(dependencies.begin(), dependencies.end(), std::back_inserter(ids),
                 [&](const std::string& id) {
                     return replicated_.job_table().find(id) == nullptr && final_states_.known(id) == nullptr;
                 });
    return ids;
}

Task<bool> DependencyAdmission::read_terminal_states(std::vector<std::string> jobs, Micros deadline) {
    core::Revision revision = 0;
    auto reading = final_states_.read_all(std::move(jobs), revision, deadline);
    const bool read = co_await std::move(reading);
    if (!read) co_return false;
    // Of what had not ended at that revision the replica knows, once it is there, whether it was accepted.
    auto wait_for_revision = replica_.wait_for_revision(revision, deadline);
    const bool reached = co_await std::move(wait_for_revision);
    co_return reached;
}

Task<std::optional<DependencyAdmission::DependencyStatus>> DependencyAdmission::drop_ended(
    std::vector<std::string>& dependencies, Micros deadline) {
    std::vector<std::string> left = undecided(dependencies);
    if (left.size() > 1) {
        // Most of a long list may only be news that the replica has yet to get: one read tells how far it is.
        auto index = replica_.wait_for_read_index(deadline);
        const bool current = co_await std::move(index);
        if (!current) co_return std::nullopt;
        left = undecided(dependencies);
    }
    // What is in neither place may have come and ended between the two looks; what is in neither place again
    // was never accepted.
    for (int look = 0; look < 2 && !left.empty(); ++look) {
        auto reading = read_terminal_states(left, deadline);
        const bool read = co_await std::move(reading);
        if (!read) co_return std::nullopt;
        left = undecided(left);
    }
    if (!left.empty()) {
        // Of a list that is longer than the memory of final states, the first may have been forgotten again.
        FinalState state;
        core::Revision revision = 0;
        auto last_look = final_states_.find(left.front(), state, revision, deadline);
        const Lookup lookup = co_await std::move(last_look);
        co_return lookup == Lookup::absent ? std::optional{DependencyStatus::never_accepted} : std::nullopt;
    }
    const core::TerminalStateLookup ending = [this](const std::string& id) {
        return final_states_.ending(id);
    };
    if (core::look_back(replicated_.job_table(), dependencies, ending).cancelled)
        co_return DependencyStatus::cancelled;
    std::erase_if(dependencies, [&](const std::string& id) {
        return final_states_.ending(id) == core::TerminalState::done;
    });
    co_return dependencies.empty() ? DependencyStatus::none : DependencyStatus::wait;
}

Task<DependencyAdmission::DependencyStatus> DependencyAdmission::resolve_dependencies(core::Job& job,
                                                                                      Micros deadline) {
    std::vector<std::string> dependencies = job.dependencies;
    auto dropping = drop_ended(dependencies, deadline);
    const std::optional<DependencyStatus> outcome = co_await std::move(dropping);
    if (!outcome) co_return DependencyStatus::undecided;
    if (*outcome != DependencyStatus::wait) {
        job.dependencies.clear();
        co_return *outcome;
    }
    if (!everyone_knows_waiting_jobs()) {
        spdlog::info("event=dependent_job_rejected job={} cause=older_version_present", job.id);
        co_return DependencyStatus::undecided;
    }
    job.team_once_released = job.team;
    job.team = core::kWaitingTeam;
    // The list as submitted, so that each repeat writes the same records and goes on where the last one
    // ended.
    std::vector<std::string> submitted = std::exchange(job.dependencies, std::move(dependencies));
    if (json_bytes(wire::job_record(job)) <= settings_.value_bytes()) co_return DependencyStatus::wait;
    job.dependencies = std::move(submitted);
    auto storing = store_list(job, deadline);
    const bool stored = co_await std::move(storing);
    co_return stored ? DependencyStatus::wait : DependencyStatus::undecided;
}

Task<bool> DependencyAdmission::store_list(core::Job& job, Micros deadline) {
    const auto parts = split(job.dependencies, std::min(settings_.value_bytes(), kPartBytes));
    job.dependency_list = list_name(job.dependencies);
    job.dependency_parts = static_cast<std::uint32_t>(parts.size());
    const auto have = replicated_.job_table().dependency_parts().find(job.id);
    std::vector<std::uint32_t> missing;
    for (std::uint32_t number = 0; number < parts.size(); ++number) {
        if (have == replicated_.job_table().dependency_parts().end() ||
            !have->second.contains({job.dependency_list, number}))
            missing.push_back(number);
    }
    for (std::size_t next = 0; next < missing.size();) {
        wire::Transaction t;
        std::vector<wire::StoreItem> effects;
        std::size_t bytes = 0;
        for (; next < missing.size() && t.writes.size() < settings_.txn_ops; ++next) {
            const std::uint32_t number = missing[next];
            wire::Json record = wire::job_ids_record(parts[number]);
            bytes += json_bytes(record);
            if (!t.writes.empty() && bytes > kTransactionBytes) break;
            const std::string key = keys::dependency_part(job.id, job.dependency_list, number);
            t.writes.push_back({key, record, 0});
            effects.push_back({key, std::move(record), 0});
        }
        auto task = store_.commit(std::move(t), deadline, CommitPriority{true, std::nullopt});
        const CommitResult r = co_await std::move(task);
        if (r.outcome != CommitOutcome::committed) co_return false;
        replica_.apply_own_commit(effects, r.revision);
    }
    co_return true;
}

Task<DependencyAdmission::Verdict> DependencyAdmission::cancelled_by_dependency(std::string id,
                                                                                Micros deadline) {
    const core::TerminalStateLookup ending = [this](const std::string& job) {
        return final_states_.ending(job);
    };
    const std::vector<std::string> asked{id};
    for (int round = 0; round < kRoundsOfReading; ++round) {
        const core::Ancestry ancestry = core::look_back(replicated_.job_table(), asked, ending);
        if (ancestry.cancelled) co_return Verdict::cancelled;
        if (!ancestry.complete) co_return Verdict::undecided;
        if (ancestry.unknown_terminal_states.empty()) co_return Verdict::not_cancelled;
        auto reading = read_terminal_states(ancestry.unknown_terminal_states, deadline);
        const bool read = co_await std::move(reading);
        if (!read) co_return Verdict::undecided;
        const core::JobEntry* entry = replicated_.job_table().find(id);
        if (entry == nullptr || !entry->job.waiting()) co_return Verdict::not_cancelled;
    }
    co_return Verdict::undecided;
}

}  // namespace hatchwind::controller
