#include "service/waiting_jobs.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::service {

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

bool WaitingJobs::knows_waiting_jobs(const core::Member& member) const {
    if (member.label == node_.self.label) return true;
    if (const auto record = node_.nodes.find(member.label);
        record != node_.nodes.end() && record->second.grant == member.grant &&
        (record->second.capabilities & core::kKnowsWaitingJobs) != 0)
        return true;
    const auto peer = node_.peers.find(member.label);
    return peer != node_.peers.end() && peer->second.heartbeat.grant == member.grant &&
           (peer->second.heartbeat.capabilities & core::kKnowsWaitingJobs) != 0;
}

bool WaitingJobs::everyone_knows_waiting_jobs() const {
    const auto& members = node_.epoch.members;
    const bool all_members = std::all_of(members.begin(), members.end(),
                                         [&](const auto& member) { return knows_waiting_jobs(member); });
    // A node that is no member yet answers users all the same.
    return all_members && std::all_of(node_.nodes.begin(), node_.nodes.end(), [&](const auto& node) {
               return knows_waiting_jobs({node.first, node.second.grant});
           });
}

std::vector<std::string> WaitingJobs::undecided(const std::vector<std::string>& needs) const {
    std::vector<std::string> ids;
    std::copy_if(needs.begin(), needs.end(), std::back_inserter(ids), [&](const std::string& id) {
        return node_.ledger.find(id) == nullptr && finals_.known(id) == nullptr;
    });
    return ids;
}

Task<bool> WaitingJobs::read_endings(std::vector<std::string> jobs, Micros deadline) {
    core::Stamp revision = 0;
    auto reading = finals_.read_all(std::move(jobs), revision, deadline);
    const bool read = co_await std::move(reading);
    if (!read) co_return false;
    // Of what had not ended at that revision the replica knows, once it is there, whether it was accepted.
    auto reach = replica_.reach(revision, deadline);
    const bool reached = co_await std::move(reach);
    co_return reached;
}

Task<std::optional<WaitingJobs::Needs>> WaitingJobs::drop_ended(std::vector<std::string>& needs,
                                                                Micros deadline) {
    std::vector<std::string> left = undecided(needs);
    if (left.size() > 1) {
        // Most of a long list may only be news that the replica has yet to get: one read tells how far it is.
        auto index = replica_.caught_up(deadline);
        const bool current = co_await std::move(index);
        if (!current) co_return std::nullopt;
        left = undecided(needs);
    }
    // What is in neither place may have come and ended between the two looks; what is in neither place again
    // was never accepted.
    for (int look = 0; look < 2 && !left.empty(); ++look) {
        auto reading = read_endings(left, deadline);
        const bool read = co_await std::move(reading);
        if (!read) co_return std::nullopt;
        left = undecided(left);
    }
    if (!left.empty()) {
        // Of a list that is longer than the memory of final states, the first may have been forgotten again.
        FinalState state;
        core::Stamp revision = 0;
        auto last_look = finals_.find(left.front(), state, revision, deadline);
        const Lookup lookup = co_await std::move(last_look);
        co_return lookup == Lookup::absent ? std::optional{Needs::never_accepted} : std::nullopt;
    }
    const core::EndingOf ending = [this](const std::string& id) { return finals_.ending(id); };
    if (core::look_back(node_.ledger, needs, ending).cancelled) co_return Needs::cancelled;
    std::erase_if(needs, [&](const std::string& id) { return finals_.ending(id) == core::Ending::done; });
    co_return needs.empty() ? Needs::none : Needs::wait;
}

Task<WaitingJobs::Needs> WaitingJobs::settle_needs(core::Job& job, Micros deadline) {
    std::vector<std::string> needs = job.awaits;
    auto dropping = drop_ended(needs, deadline);
    const std::optional<Needs> outcome = co_await std::move(dropping);
    if (!outcome) co_return Needs::undecided;
    if (*outcome != Needs::wait) {
        job.awaits.clear();
        co_return *outcome;
    }
    if (!everyone_knows_waiting_jobs()) {
        spdlog::info("event=waiting_job_refused job={} cause=older_version_present", job.id);
        co_return Needs::undecided;
    }
    job.team_once_released = job.team;
    job.team = core::kWaitingTeam;
    // The list as submitted, so that each repeat writes the same records and goes on where the last one
    // ended.
    std::vector<std::string> submitted = std::exchange(job.awaits, std::move(needs));
    if (json_bytes(wire::job_record(job)) <= node_.settings.value_bytes()) co_return Needs::wait;
    job.awaits = std::move(submitted);
    auto storing = store_list(job, deadline);
    const bool stored = co_await std::move(storing);
    co_return stored ? Needs::wait : Needs::undecided;
}

Task<bool> WaitingJobs::store_list(core::Job& job, Micros deadline) {
    const auto parts = split(job.awaits, std::min(node_.settings.value_bytes(), kPartBytes));
    job.await_list = list_name(job.awaits);
    job.await_parts = static_cast<std::uint32_t>(parts.size());
    const auto have = node_.ledger.await_parts().find(job.id);
    std::vector<std::uint32_t> missing;
    for (std::uint32_t number = 0; number < parts.size(); ++number) {
        if (have == node_.ledger.await_parts().end() || !have->second.contains({job.await_list, number}))
            missing.push_back(number);
    }
    for (std::size_t next = 0; next < missing.size();) {
        wire::Transaction t;
        std::vector<wire::StoreItem> effects;
        std::size_t bytes = 0;
        for (; next < missing.size() && t.writes.size() < node_.settings.txn_ops; ++next) {
            const std::uint32_t number = missing[next];
            wire::Json record = wire::job_ids_record(parts[number]);
            bytes += json_bytes(record);
            if (!t.writes.empty() && bytes > kTransactionBytes) break;
            const std::string key = keys::await_part(job.id, job.await_list, number);
            t.writes.push_back({key, record, 0});
            effects.push_back({key, std::move(record), 0});
        }
        auto task = node_.state.commit(std::move(t), deadline, CommitPriority{true, std::nullopt});
        const CommitResult r = co_await std::move(task);
        if (r.outcome != Commit::done) co_return false;
        replica_.committed(effects, r.revision);
    }
    co_return true;
}

Task<WaitingJobs::Verdict> WaitingJobs::cancelled_by_need(std::string id, Micros deadline) {
    const core::EndingOf ending = [this](const std::string& job) { return finals_.ending(job); };
    const std::vector<std::string> asked{id};
    for (int round = 0; round < kRoundsOfReading; ++round) {
        const core::Ancestry ancestry = core::look_back(node_.ledger, asked, ending);
        if (ancestry.cancelled) co_return Verdict::cancelled;
        if (!ancestry.complete) co_return Verdict::undecided;
        if (ancestry.unknown_endings.empty()) co_return Verdict::not_cancelled;
        auto reading = read_endings(ancestry.unknown_endings, deadline);
        const bool read = co_await std::move(reading);
        if (!read) co_return Verdict::undecided;
        const core::JobEntry* entry = node_.ledger.find(id);
        if (entry == nullptr || !entry->job.waiting()) co_return Verdict::not_cancelled;
    }
    co_return Verdict::undecided;
}

}  // namespace hatchwind::service
