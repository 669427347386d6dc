#include "cluster/membership.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

Task<void> Membership::keep_store_lease() {
    const Micros life = node_.tunables.store_lease_ttl;
    while (true) {
        if (node_.self.store_lease == 0) {
            const Micros sent = steady_now();
            auto task = node_.state.grant_lease(life);
            const auto store_lease = co_await std::move(task);
            if (!store_lease) {
                co_await node_.loop.sleep(Micros{250'000});
                continue;
            }
            // The key tells everyone that a new life of this node has begun: the old one's commits, which
            // are conditional on the old key or epoch, fail from here on.
            // Conditional on the key as it stands: a late copy of this write, from an earlier life or from an
            // attempt that got no answer, would hand the key to a store lease that nobody renews, and the key
            // would vanish while this life still acts.
            auto look = node_.state.get(keys::member(node_.self.label), steady_now() + Micros{1'500'000});
            const GetResult key = co_await std::move(look);
            if (!key.ok) {
                co_await node_.loop.sleep(Micros{200'000});
                continue;
            }
            wire::Transaction t;
            t.conditions.emplace_back(keys::member(node_.self.label), key.mod_revision);
            wire::Json record{{"grant", *store_lease}, {"capabilities", core::kCapabilities}};
            t.writes.push_back({keys::member(node_.self.label), std::move(record), *store_lease});
            auto put = node_.state.commit(std::move(t), steady_now() + Micros{1'500'000});
            const CommitResult r = co_await std::move(put);
            if (r.outcome != CommitOutcome::committed) {
                co_await node_.loop.sleep(Micros{200'000});
                continue;
            }
            node_.self.store_lease = *store_lease;
            node_.leadership_lease.renewed(sent, life);
            key_mod_revision_ = r.revision;
            spdlog::info("event=joined store_lease={}", *store_lease);
        }
        co_await node_.loop.sleep(node_.tunables.store_lease_renewal_interval);
        const auto own = node_.member_records.find(node_.self.label);
        if (node_.replica_loaded && node_.revision >= key_mod_revision_ &&
            (own == node_.member_records.end() || own->second.store_lease != node_.self.store_lease)) {
            // Whatever took the key: without it the others may remove this node.
            spdlog::warn("event=member_key_lost store_lease={}", node_.self.store_lease);
            node_.leadership_lease.lost();
            node_.self.store_lease = 0;
            continue;
        }
        const Micros sent = steady_now();
        auto task = node_.state.renew_lease(
            node_.self.store_lease, sent + node_.tunables.store_lease_renewal_interval + Micros{300'000});
        const auto outcome = co_await std::move(task);
        if (outcome == StoreClient::Renewal::done) {
            node_.leadership_lease.renewed(sent, life);
        } else if (outcome == StoreClient::Renewal::ended) {
            spdlog::warn("event=store_lease_expired store_lease={}", node_.self.store_lease);
            node_.leadership_lease.lost();
            node_.self.store_lease = 0;
        } else if (broadcast_lease_extension_request && node_.leadership_lease.alive(steady_now())) {
            // An outage, or a refusal of this node alone: only the others can tell, by promising.
            wire::LeaseExtensionRequest ask;
            ask.number = ++extension_request_number_;
            ask.life_us = static_cast<std::uint64_t>(node_.tunables.lease_extension_ttl.count());
            ask.revision = node_.revision;
            extension_requests_[ask.number] = steady_now();
            if (extension_requests_.size() > 16) extension_requests_.erase(extension_requests_.begin());
            broadcast_lease_extension_request(ask);
        }
    }
}

bool Membership::may_vote_for_extension() const {
    // Never with working access to the store, nor while an epoch of ours may still be written, nor in a life
    // that has not put its own key: a write by an earlier life of this node could still be under way.
    // A extension vote vouches for every cancellation that this node has confirmed to users, in earlier lives
    // too: the replica has them all once it holds this life's own key.
    const bool complete = node_.replica_loaded && node_.revision >= key_mod_revision_;
    return complete && node_.self.store_lease != 0 && !node_.state.reachable(steady_now()) && !writing_ &&
           !(unresolved_ && *unresolved_ == node_.epoch.mod_revision);
}

void Membership::handle_lease_extension_vote(const std::string& from, const wire::LeaseExtensionVote& p) {
    node_.apply_cancellations(p.cancellations);
    const auto it = extension_requests_.find(p.number);
    if (!p.given || it == extension_requests_.end()) return;
    node_.leadership_lease.record_vote(from, it->second, node_.tunables.lease_extension_ttl, steady_now());
}

Task<void> Membership::write_epoch(core::EpochPlan plan) {
    wire::Transaction t;
    t.conditions.emplace_back(keys::kEpoch, node_.epoch.mod_revision);
    for (const auto& [label, mod_revision] : plan.member_conditions)
        t.conditions.emplace_back(keys::member(label), mod_revision);
    t.writes.push_back({keys::kEpoch, wire::epoch_record(plan.next), 0});
    writing_ = true;
    const core::Revision on = node_.epoch.mod_revision;
    auto task = node_.state.commit(std::move(t), steady_now() + Micros{1'200'000});
    const CommitResult r = co_await std::move(task);
    writing_ = false;
    if (r.outcome == CommitOutcome::unknown) unresolved_ = on;
    if (r.outcome == CommitOutcome::committed) {
        spdlog::info("event=epoch_written number={} revision={}", plan.next.number, r.revision);
    }
    if (r.outcome == CommitOutcome::committed || r.outcome == CommitOutcome::conflict) {
        // The watch brings it, and all that was committed before it.
        auto wait_for_revision = replica_.wait_for_revision(r.revision, steady_now() + Micros{1'500'000});
        co_await std::move(wait_for_revision);
    }
}

// Not split yet: the election and the change of members are one sequence.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
Task<void> Membership::keep_epoch() {
    while (true) {
        co_await node_.replica_advanced.wait(steady_now() + Micros{150'000});
        const Micros now = steady_now();
        // Only with a certainly live store lease: the plan's conditions are on keys that it keeps.
        if (!node_.replica_loaded || node_.self.store_lease == 0 || !node_.leadership_lease.alive(now))
            continue;
        core::EpochInput in;
        in.current = node_.epoch;
        in.member_records = node_.member_records;
        in.self = node_.self;
        for (const auto& [name, team] : node_.settings.teams) in.teams.push_back(team);
        for (const auto& [label, p] : node_.peers) {
            if (node_.peer_fresh(label, now) && !p.heartbeat.healthy) in.unhealthy.insert(label);
        }
        if (!node_.healthy) in.unhealthy.insert(node_.self.label);
        for (const auto& [label, until] : protected_until_) {
            if (until > now) in.protected_members.insert(label);
        }
        in.bound_by_earlier_votes = now - started_ < node_.tunables.lease_extension_ttl;
        in.wall_clock_now = io::wall_now();
        auto plan = core::plan_epoch(in);
        if (!plan) {
            vacant_since_ = Micros{0};
            continue;
        }
        if (node_.epoch.leader != node_.self.label) {
            // Among equals the first by label goes first, so that they do not all write at once.
            if (vacant_since_.count() == 0) vacant_since_ = now;
            std::int64_t rank = 0;
            for (const auto& [label, record] : node_.member_records) {
                if (label < node_.self.label) ++rank;
            }
            if (now - vacant_since_ < Micros{rank * 120'000}) continue;
        }
        auto task = write_epoch(std::move(*plan));
        co_await std::move(task);
    }
}

}  // namespace hatchwind::controller
