#include "service/membership.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::service {

using io::Micros;
using io::steady_now;
using io::Task;

Task<void> Membership::keep_grant() {
    const Micros life = node_.tunables.grant_life;
    while (true) {
        if (node_.self.grant == 0) {
            const Micros sent = steady_now();
            auto task = node_.state.grant(life);
            const auto grant = co_await std::move(task);
            if (!grant) {
                co_await node_.loop.sleep(Micros{250'000});
                continue;
            }
            // The key tells everyone that a new life of this node has begun: the old one's commits, which
            // are conditional on the old key or epoch, fail from here on.
            // Conditional on the key as it stands: a late copy of this write, from an earlier life or from an
            // attempt that got no answer, would hand the key to a grant that nobody renews, and the key would
            // vanish while this life still acts.
            auto look = node_.state.get(keys::node(node_.self.label), steady_now() + Micros{1'500'000});
            const GetResult key = co_await std::move(look);
            if (!key.ok) {
                co_await node_.loop.sleep(Micros{200'000});
                continue;
            }
            wire::Transaction t;
            t.conditions.emplace_back(keys::node(node_.self.label), key.stamp);
            wire::Json record{{"grant", *grant}, {"capabilities", core::kCapabilities}};
            t.writes.push_back({keys::node(node_.self.label), std::move(record), *grant});
            auto put = node_.state.commit(std::move(t), steady_now() + Micros{1'500'000});
            const CommitResult r = co_await std::move(put);
            if (r.outcome != Commit::done) {
                co_await node_.loop.sleep(Micros{200'000});
                continue;
            }
            node_.self.grant = *grant;
            node_.node_lease.renewed(sent, life);
            key_stamp_ = r.revision;
            spdlog::info("event=joined grant={}", *grant);
        }
        co_await node_.loop.sleep(node_.tunables.renew_every);
        const auto own = node_.nodes.find(node_.self.label);
        if (node_.synced && node_.revision >= key_stamp_ &&
            (own == node_.nodes.end() || own->second.grant != node_.self.grant)) {
            // Whatever took the key: without it the others may remove this node.
            spdlog::warn("event=key_lost grant={}", node_.self.grant);
            node_.node_lease.lost();
            node_.self.grant = 0;
            continue;
        }
        const Micros sent = steady_now();
        auto task = node_.state.renew(node_.self.grant, sent + node_.tunables.renew_every + Micros{300'000});
        const auto outcome = co_await std::move(task);
        if (outcome == StateClient::Renewal::done) {
            node_.node_lease.renewed(sent, life);
        } else if (outcome == StateClient::Renewal::ended) {
            spdlog::warn("event=grant_ended grant={}", node_.self.grant);
            node_.node_lease.lost();
            node_.self.grant = 0;
        } else if (ask_all && node_.node_lease.alive(steady_now())) {
            // An outage, or a refusal of this node alone: only the others can tell, by promising.
            wire::MeshAsk ask;
            ask.number = ++ask_number_;
            ask.life_us = static_cast<std::uint64_t>(node_.tunables.promise_life.count());
            ask.revision = node_.revision;
            asked_[ask.number] = steady_now();
            if (asked_.size() > 16) asked_.erase(asked_.begin());
            ask_all(ask);
        }
    }
}

bool Membership::may_promise() const {
    // Never with working access to the store, nor while an epoch of ours may still be written, nor in a life
    // that has not put its own key: a write by an earlier life of this node could still be under way.
    // A promise vouches for every cancellation that this node has confirmed to users, in earlier lives too:
    // the replica has them all once it holds this life's own key.
    const bool complete = node_.synced && node_.revision >= key_stamp_;
    return complete && node_.self.grant != 0 && !node_.state.reachable(steady_now()) && !writing_ &&
           !(unresolved_ && *unresolved_ == node_.epoch.stamp);
}

void Membership::promise_received(const std::string& from, const wire::MeshPromise& p) {
    node_.take_cancels(p.cancels);
    const auto it = asked_.find(p.number);
    if (!p.given || it == asked_.end()) return;
    node_.node_lease.promise(from, it->second, node_.tunables.promise_life, steady_now());
}

Task<void> Membership::write_epoch(core::EpochPlan plan) {
    wire::Transaction t;
    t.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
    for (const auto& [label, stamp] : plan.node_conditions)
        t.conditions.emplace_back(keys::node(label), stamp);
    t.writes.push_back({keys::kEpoch, wire::epoch_record(plan.next), 0});
    writing_ = true;
    const core::Stamp on = node_.epoch.stamp;
    auto task = node_.state.commit(std::move(t), steady_now() + Micros{1'200'000});
    const CommitResult r = co_await std::move(task);
    writing_ = false;
    if (r.outcome == Commit::unknown) unresolved_ = on;
    if (r.outcome == Commit::done) {
        spdlog::info("event=epoch_written number={} revision={}", plan.next.number, r.revision);
    }
    if (r.outcome == Commit::done || r.outcome == Commit::conflict) {
        // The watch brings it, and all that was committed before it.
        auto reach = replica_.reach(r.revision, steady_now() + Micros{1'500'000});
        co_await std::move(reach);
    }
}

// Not split yet: the election and the change of members are one sequence.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
Task<void> Membership::keep_epoch() {
    while (true) {
        co_await node_.advanced.wait(steady_now() + Micros{150'000});
        const Micros now = steady_now();
        // Only with a certainly live grant: the plan's conditions are on keys that it keeps.
        if (!node_.synced || node_.self.grant == 0 || !node_.node_lease.alive(now)) continue;
        core::EpochInput in;
        in.current = node_.epoch;
        in.nodes = node_.nodes;
        in.self = node_.self;
        for (const auto& [name, team] : node_.settings.teams) in.teams.push_back(team);
        for (const auto& [label, p] : node_.peers) {
            if (node_.peer_fresh(label, now) && !p.heartbeat.fit) in.unfit.insert(label);
        }
        if (!node_.fit) in.unfit.insert(node_.self.label);
        for (const auto& [label, until] : promised_) {
            if (until > now) in.promised.insert(label);
        }
        in.bound = now - started_ < node_.tunables.promise_life;
        in.wall = io::wall_now();
        auto plan = core::plan_epoch(in);
        if (!plan) {
            vacant_since_ = Micros{0};
            continue;
        }
        if (node_.epoch.leader != node_.self.label) {
            // Among equals the first by label goes first, so that they do not all write at once.
            if (vacant_since_.count() == 0) vacant_since_ = now;
            std::int64_t rank = 0;
            for (const auto& [label, record] : node_.nodes) {
                if (label < node_.self.label) ++rank;
            }
            if (now - vacant_since_ < Micros{rank * 120'000}) continue;
        }
        auto task = write_epoch(std::move(*plan));
        co_await std::move(task);
    }
}

}  // namespace hatchwind::service
