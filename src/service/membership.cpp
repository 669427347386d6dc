#include "service/membership.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::service {

using io::Micros;
using io::steady_now;
using io::Task;

Task<void> Membership::keep_grant() {
    const Micros life = n_.tunables.grant_life;
    while (true) {
        if (n_.self.grant == 0) {
            const Micros sent = steady_now();
            auto task = n_.state.grant(life);
            const auto grant = co_await std::move(task);
            if (!grant) {
                co_await n_.loop.sleep(Micros{250'000});
                continue;
            }
            // The key tells everyone that a new life of this node has begun: the old one's commits, which
            // are conditional on the old key or epoch, fail from here on.
            // Conditional on the key as it stands: a late copy of this write, from an earlier life or from an
            // attempt that got no answer, would hand the key to a grant that nobody renews, and the key would
            // vanish while this life still acts.
            auto look = n_.state.get(keys::node(n_.self.label), steady_now() + Micros{1'500'000});
            const GetResult key = co_await std::move(look);
            if (!key.ok) {
                co_await n_.loop.sleep(Micros{200'000});
                continue;
            }
            wire::Transaction t;
            t.conditions.emplace_back(keys::node(n_.self.label), key.stamp);
            t.writes.push_back({keys::node(n_.self.label), wire::Json{{"grant", *grant}}, *grant});
            auto put = n_.state.commit(std::move(t), steady_now() + Micros{1'500'000});
            const CommitResult r = co_await std::move(put);
            if (r.outcome != Commit::done) {
                co_await n_.loop.sleep(Micros{200'000});
                continue;
            }
            n_.self.grant = *grant;
            n_.mandate.renewed(sent, life);
            key_stamp_ = r.revision;
            spdlog::info("event=joined grant={}", *grant);
        }
        co_await n_.loop.sleep(n_.tunables.renew_every);
        const auto own = n_.nodes.find(n_.self.label);
        if (n_.synced && n_.revision >= key_stamp_ &&
            (own == n_.nodes.end() || own->second.grant != n_.self.grant)) {
            // Whatever took the key: without it the others may remove this node.
            spdlog::warn("event=key_lost grant={}", n_.self.grant);
            n_.mandate.lost();
            n_.self.grant = 0;
            continue;
        }
        const Micros sent = steady_now();
        auto task = n_.state.renew(n_.self.grant, sent + n_.tunables.renew_every + Micros{300'000});
        const auto outcome = co_await std::move(task);
        if (outcome == StateClient::Renewal::done) {
            n_.mandate.renewed(sent, life);
        } else if (outcome == StateClient::Renewal::ended) {
            spdlog::warn("event=grant_ended grant={}", n_.self.grant);
            n_.mandate.lost();
            n_.self.grant = 0;
        } else if (ask_all && n_.mandate.alive(steady_now())) {
            // An outage, or a refusal of this node alone: only the others can tell, by promising.
            wire::MeshAsk ask;
            ask.number = ++ask_number_;
            ask.life_us = static_cast<std::uint64_t>(n_.tunables.promise_life.count());
            asked_[ask.number] = steady_now();
            if (asked_.size() > 16) asked_.erase(asked_.begin());
            ask_all(ask);
        }
    }
}

bool Membership::may_promise() const {
    // Never with working access to the store, nor while an epoch of ours may still be written, nor in a life
    // that has not put its own key: a write by an earlier life of this node could still be under way.
    return n_.self.grant != 0 && !n_.state.reachable(steady_now()) && !writing_ &&
           !(unresolved_ && *unresolved_ == n_.epoch.stamp);
}

void Membership::promise_received(const std::string& from, const wire::MeshPromise& p) {
    const auto it = asked_.find(p.number);
    if (!p.given || it == asked_.end()) return;
    n_.mandate.promise(from, it->second, n_.tunables.promise_life, steady_now());
}

Task<void> Membership::write_epoch(core::EpochPlan plan) {
    wire::Transaction t;
    t.conditions.emplace_back(keys::kEpoch, n_.epoch.stamp);
    for (const auto& [label, stamp] : plan.node_conditions)
        t.conditions.emplace_back(keys::node(label), stamp);
    t.writes.push_back({keys::kEpoch, wire::epoch_record(plan.next), 0});
    writing_ = true;
    const core::Stamp on = n_.epoch.stamp;
    auto task = n_.state.commit(std::move(t), steady_now() + Micros{1'200'000});
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

Task<void> Membership::keep_epoch() {
    while (true) {
        co_await n_.advanced.wait(steady_now() + Micros{150'000});
        const Micros now = steady_now();
        // Only with a certainly live grant: the plan's conditions are on keys that it keeps.
        if (!n_.synced || n_.self.grant == 0 || !n_.mandate.alive(now)) continue;
        core::EpochInput in;
        in.current = n_.epoch;
        in.nodes = n_.nodes;
        in.self = n_.self;
        for (const auto& [name, team] : n_.settings.teams) in.teams.push_back(team);
        for (const auto& [label, p] : n_.peers) {
            if (n_.peer_fresh(label, now) && !p.beat.fit) in.unfit.insert(label);
        }
        if (!n_.fit) in.unfit.insert(n_.self.label);
        for (const auto& [label, until] : promised_) {
            if (until > now) in.promised.insert(label);
        }
        in.bound = now - started_ < n_.tunables.promise_life;
        in.wall = io::wall_now();
        auto plan = core::plan_epoch(in);
        if (!plan) {
            vacant_since_ = Micros{0};
            continue;
        }
        if (n_.epoch.leader != n_.self.label) {
            // Among equals the first by label goes first, so that they do not all write at once.
            if (vacant_since_.count() == 0) vacant_since_ = now;
            std::int64_t rank = 0;
            for (const auto& [label, record] : n_.nodes) {
                if (label < n_.self.label) ++rank;
            }
            if (now - vacant_since_ < Micros{rank * 120'000}) continue;
        }
        auto task = write_epoch(std::move(*plan));
        co_await std::move(task);
    }
}

}  // namespace hatchwind::service
