#include "api/dependency_admission.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "store/store_keys.hpp"
#include "wire/cbor.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::Task;

namespace {
constexpr int kMaxAncestryRounds = 3;
// What was in neither place at the first look may have come and ended in between; after the second it was
// never accepted.
constexpr int kLooksAtUnknownJobs = 2;
// Of what a transaction may hold, in the JSON form.
constexpr std::size_t kMaxTransactionBytes = 48U << 10U;
constexpr std::size_t kMaxPartBytes = 16U << 10U;

// A hash (FNV-1a) of the list, the same whichever controller takes the submission: repeats write the same
// records.
std::string list_name(const std::vector<std::string>& ids) {
    constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325U;
    constexpr std::uint64_t kPrime = 0x100000001b3U;
    std::uint64_t hash = kOffsetBasis;
    for (const auto& id : ids) {
        for (const char character : id) hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
        hash = (hash ^ ',') * kPrime;
    }
    return std::to_string(hash);
}

std::vector<std::vector<std::string>> split(const std::vector<std::string>& ids, std::size_t max_bytes) {
    constexpr std::size_t kEmptyRecordBytes = std::string_view(R"({"ids":""})").size();
    std::vector<std::vector<std::string>> parts;
    std::size_t part_bytes = max_bytes;
    for (const auto& id : ids) {
        const std::size_t id_bytes = id.size() + 1;
        if (part_bytes + id_bytes > max_bytes) {
            parts.emplace_back();
            part_bytes = kEmptyRecordBytes;
        }
        parts.back().push_back(id);
        part_bytes += id_bytes;
    }
    return parts;
}

// Parts of a dependency list that are written in one transaction.
struct PartBatch {
    wire::Transaction transaction;
    std::vector<wire::StoreItem> effects;
    std::size_t bytes = 0;

    void add(const std::string& key, wire::Json record) {
        transaction.writes.push_back({key, record, 0});
        effects.push_back({key, std::move(record), 0});
    }
};
}  // namespace

bool DependencyAdmission::supports_waiting_jobs(const core::Member& member) const {
    if (member.label == leadership_.label()) return true;
    const auto& records = replicated_.member_records();
    if (const auto record = records.find(member.label);
        record != records.end() && record->second.store_lease == member.store_lease &&
        (record->second.capabilities & core::kSupportsWaitingJobs) != 0)
        return true;
    const wire::PeerHeartbeat* heartbeat = peers_.heartbeat_of(member);
    return heartbeat != nullptr && (heartbeat->capabilities & core::kSupportsWaitingJobs) != 0;
}

bool DependencyAdmission::all_support_waiting_jobs() const {
    const auto& members = replicated_.epoch().members;
    const bool members_do = std::all_of(members.begin(), members.end(),
                                        [&](const auto& member) { return supports_waiting_jobs(member); });
    // A controller that is no member yet answers users all the same.
    const auto& records = replicated_.member_records();
    return members_do && std::all_of(records.begin(), records.end(), [&](const auto& record) {
               return supports_waiting_jobs({record.first, record.second.store_lease});
           });
}

core::TerminalStateLookup DependencyAdmission::terminal_state_lookup() const {
    return [this](const std::string& job) { return final_states_.terminal_state(job); };
}

std::vector<std::string> DependencyAdmission::undecided(const std::vector<std::string>& jobs) const {
    std::vector<std::string> ids;
    std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(ids), [&](const std::string& id) {
        return replicated_.job_table().find(id) == nullptr && final_states_.known(id) == nullptr;
    });
    return ids;
}

Task<bool> DependencyAdmission::read_terminal_states(std::vector<std::string> jobs, Micros deadline) {
    auto reading = final_states_.read_all(std::move(jobs), deadline);
    const std::optional<core::Revision> revision = co_await std::move(reading);
    if (!revision) co_return false;
    // Of what had not ended at that revision the replica knows, once it is there, whether it was accepted.
    auto waiting = replica_.wait_for_revision(*revision, deadline);
    const bool reached = co_await std::move(waiting);
    co_return reached;
}

Task<std::optional<std::vector<std::string>>> DependencyAdmission::look_up(
    const std::vector<std::string>& jobs, Micros deadline) {
    std::vector<std::string> unknown = undecided(jobs);
    if (unknown.size() > 1) {
        // Most of a long list may only be news that the replica has yet to get: one read tells how far it is.
        auto waiting = replica_.wait_for_read_index(deadline);
        const bool current = co_await std::move(waiting);
        if (!current) co_return std::nullopt;
        unknown = undecided(jobs);
    }
    for (int look = 0; look < kLooksAtUnknownJobs && !unknown.empty(); ++look) {
        auto reading = read_terminal_states(unknown, deadline);
        const bool read = co_await std::move(reading);
        if (!read) co_return std::nullopt;
        unknown = undecided(unknown);
    }
    co_return unknown;
}

Task<std::optional<DependencyAdmission::DependencyStatus>> DependencyAdmission::remove_ended(
    std::vector<std::string>& dependencies, Micros deadline) {
    auto looking = look_up(dependencies, deadline);
    const auto unknown = co_await std::move(looking);
    if (!unknown) co_return std::nullopt;
    if (!unknown->empty()) {
        // Of a list that is longer than the cache of final states, the first may have been evicted again.
        auto reading = final_states_.find(unknown->front(), deadline);
        const FinalStateResult result = co_await std::move(reading);
        if (result.lookup != Lookup::absent) co_return std::nullopt;
        co_return DependencyStatus::never_accepted;
    }
    if (core::resolve_transitive_dependencies(replicated_.job_table(), dependencies, terminal_state_lookup())
            .cancelled)
        co_return DependencyStatus::cancelled;
    std::erase_if(dependencies, [&](const std::string& id) {
        return final_states_.terminal_state(id) == core::TerminalState::done;
    });
    co_return dependencies.empty() ? DependencyStatus::none : DependencyStatus::wait;
}

Task<DependencyAdmission::DependencyStatus> DependencyAdmission::resolve_dependencies(core::Job& job,
                                                                                      Micros deadline) {
    std::vector<std::string> unfinished = job.dependencies;
    auto removing = remove_ended(unfinished, deadline);
    const std::optional<DependencyStatus> status = co_await std::move(removing);
    if (!status) co_return DependencyStatus::undecided;
    if (*status != DependencyStatus::wait) {
        job.dependencies.clear();
        co_return *status;
    }
    if (!all_support_waiting_jobs()) {
        spdlog::info("event=dependent_job_rejected job={} cause=older_version_present", job.id);
        co_return DependencyStatus::undecided;
    }
    job.team_once_released = job.team;
    job.team = core::kWaitingTeam;
    std::vector<std::string> submitted = std::exchange(job.dependencies, std::move(unfinished));
    if (wire::json_bytes(wire::job_record(job)) <= settings_.value_bytes()) co_return DependencyStatus::wait;
    // The list as submitted, so that each repeat writes the same records and continues where the last one
    // ended.
    job.dependencies = std::move(submitted);
    auto storing = store_list(job, deadline);
    const bool stored = co_await std::move(storing);
    co_return stored ? DependencyStatus::wait : DependencyStatus::undecided;
}

std::vector<std::uint32_t> DependencyAdmission::missing_parts(const core::Job& job) const {
    const auto& lists = replicated_.job_table().dependency_parts();
    const auto stored = lists.find(job.id);
    std::vector<std::uint32_t> missing;
    for (std::uint32_t part = 0; part < job.dependency_parts; ++part) {
        if (stored == lists.end() || !stored->second.contains({job.dependency_list, part}))
            missing.push_back(part);
    }
    return missing;
}

Task<bool> DependencyAdmission::store_list(core::Job& job, Micros deadline) {
    const auto parts = split(job.dependencies, std::min(settings_.value_bytes(), kMaxPartBytes));
    job.dependency_list = list_name(job.dependencies);
    job.dependency_parts = static_cast<std::uint32_t>(parts.size());
    const std::vector<std::uint32_t> missing = missing_parts(job);
    for (std::size_t next = 0; next < missing.size();) {
        PartBatch batch;
        for (; next < missing.size() && batch.effects.size() < settings_.txn_ops; ++next) {
            const std::uint32_t part = missing[next];
            wire::Json record = wire::job_ids_record(parts[part]);
            batch.bytes += wire::json_bytes(record);
            if (!batch.effects.empty() && batch.bytes > kMaxTransactionBytes) break;
            batch.add(keys::dependency_part(job.id, job.dependency_list, part), std::move(record));
        }
        auto committing = store_.commit(std::move(batch.transaction), deadline, kUserCommit);
        const CommitResult result = co_await std::move(committing);
        if (result.outcome != CommitOutcome::committed) co_return false;
        replica_.apply_own_commit(batch.effects, result.revision);
    }
    co_return true;
}

Task<DependencyAdmission::Verdict> DependencyAdmission::cancelled_by_dependency(std::string id,
                                                                                Micros deadline) {
    const std::vector<std::string> jobs{id};
    for (int round = 0; round < kMaxAncestryRounds; ++round) {
        const core::TransitiveDependencyStatus ancestry =
            core::resolve_transitive_dependencies(replicated_.job_table(), jobs, terminal_state_lookup());
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
