#include "cluster/membership.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "store/store_keys.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kLeaseRetry{250'000};
constexpr Micros kJoinRetry{200'000};
constexpr Micros kJoinTimeout{1'500'000};
constexpr Micros kRenewalGrace{300'000};
constexpr std::size_t kMaxExtensionRequests = 16;
constexpr Micros kEpochCheckInterval{150'000};
constexpr Micros kEpochWriteTimeout{1'200'000};
constexpr Micros kEpochReplicaTimeout{1'500'000};
constexpr Micros kWriteDelayPerRank{120'000};
constexpr Micros kMinRenewalInterval{1'000'000};
}  // namespace

Task<void> Membership::keep_store_lease() {
    while (true) {
        if (context_.leadership.self().store_lease == 0) {
            auto joining = join();
            const bool joined = co_await std::move(joining);
            if (!joined) continue;
        }
        co_await context_.loop.sleep(context_.tunables.store_lease_renewal_interval);
        if (lost_member_key()) {
            // Without the key, other members may remove this controller.
            spdlog::warn("event=member_key_lost store_lease={}", context_.leadership.self().store_lease);
            context_.leadership.resign();
            continue;
        }
        auto renewing = renew();
        co_await std::move(renewing);
    }
}

Task<bool> Membership::join() {
    const Micros ttl = context_.tunables.store_lease_ttl;
    const Micros requested_at = steady_now();
    auto granting = context_.store.create_lease(ttl);
    const auto store_lease = co_await std::move(granting);
    if (!store_lease) {
        co_await context_.loop.sleep(kLeaseRetry);
        co_return false;
    }
    auto writing = write_member_key(*store_lease);
    const auto revision = co_await std::move(writing);
    if (!revision) {
        co_await context_.loop.sleep(kJoinRetry);
        co_return false;
    }
    context_.leadership.join(*store_lease, requested_at, ttl);
    key_mod_revision_ = *revision;
    spdlog::info("event=joined store_lease={}", *store_lease);
    co_return true;
}

// The key announces a new incarnation of this controller: commits of the previous one, which are conditional
// on the old key or epoch, fail from here on. The write is conditional on the key's current revision.
// Otherwise a late copy of the write, from an earlier incarnation or an unanswered attempt, could attach the
// key to a store lease that nobody renews, and the key would expire while this incarnation still acts.
Task<std::optional<core::Revision>> Membership::write_member_key(std::uint64_t store_lease) {
    const std::string key = keys::member(context_.leadership.label());
    auto reading = context_.store.get(key, steady_now() + kJoinTimeout);
    const GetResult current = co_await std::move(reading);
    if (!current.answered) co_return std::nullopt;
    wire::Transaction transaction;
    transaction.conditions.push_back({key, current.mod_revision});
    transaction.writes.push_back({key, wire::member_record(store_lease, core::kCapabilities), store_lease});
    auto writing = context_.store.commit(std::move(transaction), steady_now() + kJoinTimeout);
    const CommitResult result = co_await std::move(writing);
    if (result.outcome != CommitOutcome::committed) co_return std::nullopt;
    co_return result.revision;
}

bool Membership::lost_member_key() const {
    const ReplicatedState& replicated = context_.replicated;
    if (!replicated.is_loaded() || replicated.revision() < key_mod_revision_) return false;
    const core::Member& self = context_.leadership.self();
    const auto own = replicated.member_records().find(self.label);
    return own == replicated.member_records().end() || own->second.store_lease != self.store_lease;
}

Task<void> Membership::renew() {
    const std::uint64_t store_lease = context_.leadership.self().store_lease;
    const Micros sent_at = steady_now();
    const Micros deadline = sent_at + context_.tunables.store_lease_renewal_interval + kRenewalGrace;
    auto renewing = context_.store.renew_lease(store_lease, deadline);
    const auto outcome = co_await std::move(renewing);
    if (outcome == StoreClient::Renewal::renewed) {
        context_.leadership.renew(sent_at, context_.tunables.store_lease_ttl);
    } else if (outcome == StoreClient::Renewal::expired) {
        spdlog::warn("event=store_lease_expired store_lease={}", store_lease);
        context_.leadership.resign();
    } else if (context_.leadership.lease_valid(steady_now())) {
        // Either the store is down, or it refuses only this controller. Only the votes of the other members
        // can tell which.
        request_lease_extension();
    }
}

void Membership::request_lease_extension() {
    wire::LeaseExtensionRequest request;
    request.number = ++extension_request_number_;
    request.life_us = static_cast<std::uint64_t>(context_.tunables.lease_extension_ttl.count());
    request.revision = context_.replicated.revision();
    extension_requests_[request.number] = steady_now();
    if (extension_requests_.size() > kMaxExtensionRequests)
        extension_requests_.erase(extension_requests_.begin());
    context_.links.broadcast(request);
}

bool Membership::may_vote_for_extension() const {
    // No vote is given while this controller can reach the store, while an epoch write of its own may still
    // be carried out, or before this incarnation has written its member key: a write of an earlier
    // incarnation could still be in flight.
    //
    // A vote also has to carry every cancellation that this controller has confirmed to users, including
    // those of earlier incarnations. The replica holds all of them once it holds this incarnation's member
    // key.
    const ReplicatedState& replicated = context_.replicated;
    const bool complete = replicated.is_loaded() && replicated.revision() >= key_mod_revision_;
    const bool epoch_write_pending =
        unanswered_epoch_write_ && *unanswered_epoch_write_ == replicated.epoch().mod_revision;
    return complete && context_.leadership.self().store_lease != 0 &&
           !context_.store.reachable(steady_now()) && !writing_epoch_ && !epoch_write_pending;
}

void Membership::handle_lease_extension_vote(const std::string& from, const wire::LeaseExtensionVote& vote) {
    context_.replica.apply_cancellations(vote.cancellations);
    const auto request = extension_requests_.find(vote.number);
    if (!vote.given || request == extension_requests_.end()) return;
    context_.leadership.record_vote(from, request->second, context_.tunables.lease_extension_ttl,
                                    steady_now());
}

Task<void> Membership::write_epoch(core::EpochPlan plan) {
    const core::Revision current = context_.replicated.epoch().mod_revision;
    wire::Transaction transaction;
    transaction.conditions.push_back({keys::kEpoch, current});
    for (const auto& [label, mod_revision] : plan.member_conditions)
        transaction.conditions.push_back({keys::member(label), mod_revision});
    transaction.writes.push_back({keys::kEpoch, wire::epoch_record(plan.next), 0});
    writing_epoch_ = !plan.is_renewal;
    auto writing = context_.store.commit(std::move(transaction), steady_now() + kEpochWriteTimeout);
    const CommitResult result = co_await std::move(writing);
    writing_epoch_ = false;
    // A renewal that is carried out late removes nobody, so it rules out no vote.
    if (result.outcome == CommitOutcome::unknown && !plan.is_renewal) unanswered_epoch_write_ = current;
    if (result.outcome == CommitOutcome::committed) {
        spdlog::info("event=epoch_written number={} revision={}", plan.next.number, result.revision);
    }
    if (result.outcome == CommitOutcome::committed || result.outcome == CommitOutcome::conflict) {
        // The watch delivers this revision and everything that was committed before it.
        auto waiting =
            context_.replica.wait_for_revision(result.revision, steady_now() + kEpochReplicaTimeout);
        co_await std::move(waiting);
    }
}

core::EpochInput Membership::epoch_input(Micros now) const {
    const core::Member& self = context_.leadership.self();
    core::EpochInput input;
    input.current = context_.replicated.epoch();
    input.member_records = context_.replicated.member_records();
    input.self = self;
    for (const auto& [name, team] : context_.settings.teams) input.teams.push_back(team);
    for (const auto& [label, peer] : context_.peers.all()) {
        if (context_.peers.is_fresh(label, now) && !peer.heartbeat.healthy) input.unhealthy.insert(label);
    }
    if (!context_.health.is_healthy()) input.unhealthy.insert(self.label);
    for (const auto& [label, until] : votes_given_until_) {
        if (until > now) input.protected_members.insert(label);
    }
    input.bound_by_earlier_votes = now - started_at_ < context_.tunables.lease_extension_ttl;
    input.renewal_requested = context_.epoch_renewal.is_requested(input.current.number);
    input.wall_clock_now = io::wall_now();
    return input;
}

bool Membership::may_write(const core::EpochPlan& plan, Micros now) {
    const std::string& label = context_.leadership.label();
    if (plan.is_renewal) return now - context_.replicated.epoch_seen_at() >= kMinRenewalInterval;
    if (context_.replicated.epoch().leader == label) return true;
    // The other controllers wait in the order of their labels, so that they don't all write at once.
    if (epoch_needed_since_.count() == 0) epoch_needed_since_ = now;
    std::int64_t rank = 0;
    for (const auto& [member, record] : context_.replicated.member_records()) {
        if (member < label) ++rank;
    }
    return now - epoch_needed_since_ >= rank * kWriteDelayPerRank;
}

Task<void> Membership::keep_epoch() {
    while (true) {
        co_await context_.signals.replica_advanced.wait(steady_now() + kEpochCheckInterval);
        const Micros now = steady_now();
        // Requires a certainly valid lease: the plan's conditions include member keys, which exist only as
        // long as their store leases.
        if (!context_.replicated.is_loaded() || context_.leadership.self().store_lease == 0 ||
            !context_.leadership.lease_valid(now)) {
            continue;
        }
        auto plan = core::plan_epoch(epoch_input(now));
        if (!plan) {
            epoch_needed_since_ = Micros{0};
            continue;
        }
        if (!may_write(*plan, now)) continue;
        auto writing = write_epoch(std::move(*plan));
        co_await std::move(writing);
    }
}

}  // namespace hatchwind::controller
