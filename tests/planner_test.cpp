#include "core/failure_detection.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using test::Cluster;
using test::holds;

core::DrainInput drain_input(const Cluster& c) {
    core::DrainInput in;
    in.job_table = &c.job_table;
    in.cluster_view = &c.cluster_view;
    in.monotonic_now = c.now;
    return in;
}

void expect_same(const core::FreeCapacity& expected, const core::FreeCapacity& actual) {
    RC_ASSERT(expected.machines().size() == actual.machines().size());
    for (std::size_t i = 0; i < expected.machines().size(); ++i) {
        const auto& left = expected.machines()[i];
        const auto& right = actual.machines()[i];
        RC_ASSERT(left.id == right.id);
        RC_ASSERT(std::abs(left.free.cpus - right.free.cpus) < 1e-9);
        RC_ASSERT(std::abs(left.free.memory_gb - right.free.memory_gb) < 1e-9);
        RC_ASSERT(left.recorded_attempts == right.recorded_attempts);
    }
}

// Makes one change to a drawn cluster at a time.
class ClusterChanges {
  public:
    explicit ClusterChanges(Cluster& cluster) : cluster_(cluster) {}

    void draw_change(const std::string& machine) {
        switch (*rc::gen::inRange(0, 4)) {
            case 0:
                cluster_.cluster_view.release(machine, cluster_.now);
                break;
            case 1:
                send_heartbeat(machine);
                break;
            case 2:
                end_an_attempt();
                break;
            default:
                end_a_job();
        }
    }

  private:
    // A task has exited, or the incarnation has ended.
    void send_heartbeat(const std::string& machine) {
        auto heartbeat = cluster_.cluster_view.find(machine)->last_heartbeat;
        heartbeat.heartbeat_sequence = ++heartbeat_sequence_;
        if (!heartbeat.tasks.empty()) heartbeat.tasks.front().state = core::TaskState::exited;
        if (*rc::gen::arbitrary<bool>()) ++heartbeat.incarnation;
        cluster_.cluster_view.apply(heartbeat, cluster_.now, cluster_.now);
    }
    void end_an_attempt() {
        for (const auto& [job, entry] : cluster_.job_table.jobs()) {
            if (entry.chunks.empty()) continue;
            const auto [number, recorded] = *entry.chunks.begin();
            core::Chunk chunk = recorded;
            chunk.mod_revision = ++revision_;
            if (!chunk.open.empty()) chunk.open.erase(chunk.open.begin());
            cluster_.job_table.put_chunk(std::string(job), number, chunk);
            return;
        }
    }
    void end_a_job() {
        if (cluster_.job_table.jobs().empty()) return;
        const std::string job = cluster_.job_table.jobs().begin()->first;
        cluster_.job_table.erase_job(job, ++revision_);
    }

    Cluster& cluster_;
    core::Revision revision_ = 1000;
    std::uint64_t heartbeat_sequence_ = 1;
};

// Free capacity that remembers the last one's sums is what is built from nothing, whatever has changed.
TEST(FreeCapacity, WithMemoryIsTheSameAsWithout) {
    holds("same free capacity", [] {
        Cluster cluster = test::draw_cluster();
        ClusterChanges changes(cluster);
        core::FreeCapacityCache memory;
        core::Availability plain;
        plain.now = cluster.now;
        plain.silent_after = core::Micros{10'000'000};
        const auto build = [&](core::FreeCapacityCache* cache) {
            return core::FreeCapacity::build(cluster.cluster_view, cluster.job_table, cluster.types, plain,
                                             cache);
        };
        for (int round = 0; round < 6; ++round) {
            const auto without_memory = build(nullptr);
            expect_same(without_memory, build(&memory));
            if (without_memory.machines().empty()) break;
            const std::string machine = (*rc::gen::elementOf(without_memory.machines())).id;
            changes.draw_change(machine);
        }
    });
}

TEST(DrainPlanner, EveryCandidateSetFitsTogether) {
    holds("candidates leave together", [] {
        const Cluster c = test::draw_cluster();
        core::DrainSettings s;
        s.fleet_minimum = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
        core::DrainState state;
        const core::FreeCapacity capacity = c.free_capacity();
        (void)core::plan_drains(s, drain_input(c), capacity, state);
        RC_TAG(state.candidate_since.size());
        RC_ASSERT(capacity.machines().size() - state.candidate_since.size() >=
                  std::min(s.fleet_minimum, capacity.machines().size()));
        // Every task on a candidate has a destination that stays, allows it, and has the capacity for all of
        // them.
        std::map<std::string, core::Resources> free;
        for (const auto& m : capacity.machines()) free[m.id] = m.free;
        std::map<std::string, core::ZoneUse> zones;
        std::vector<std::tuple<const core::JobEntry*, std::string, std::string>> moves;
        for (const auto& [id, since] : state.candidate_since) {
            for (const auto& [ref, recorded_attempts] : c.job_table.on_machine(id)) {
                const auto& e = *recorded_attempts.entry;
                RC_ASSERT(e.job.kind != core::JobKind::gang);
                RC_ASSERT(state.destinations.contains(ref));
                const auto& to = state.destinations.at(ref);
                RC_ASSERT(!state.candidate_since.contains(to));
                RC_ASSERT(core::may_run_on(e.job, *capacity.find(to)));
                free[to] -= e.job.resources;
                RC_ASSERT(free[to].cpus >= -1e-6);
                auto& z = zones.try_emplace(ref.job, core::ZoneUse::of(e, capacity)).first->second;
                z.remove(capacity.find(id)->zone);
                z.add(capacity.find(to)->zone);
            }
        }
        for (const auto& [id, z] : zones) {
            const auto& j = c.job_table.find(id)->job;
            for (const auto& [zone, n] : z.by_zone) {
                if (j.spread) RC_ASSERT(n <= j.zone_cap());
                if (j.one_zone && n > 0) RC_ASSERT(n == z.total);
            }
        }
        // The caller's free capacity is untouched: trials leave no trace.
        const core::FreeCapacity again = c.free_capacity();
        for (const auto& m : capacity.machines())
            RC_ASSERT(std::abs(m.free.cpus - again.find(m.id)->free.cpus) < 1e-9);
    });
}

TEST(DrainPlanner, RevertedTrialsLeaveNoTrace) {
    holds("take, give, revert", [] {
        const Cluster c = test::draw_cluster();
        core::FreeCapacity capacity = c.free_capacity();
        std::vector<double> before;
        for (const auto& m : capacity.machines()) before.push_back(m.free.cpus);
        const auto mark = capacity.mark();
        const int n = *rc::gen::inRange(0, 30);
        for (int i = 0; i < n; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, capacity.machines().size());
            capacity.take(at, {static_cast<double>(*rc::gen::inRange(-3, 4)), 0, 1});
        }
        capacity.revert(mark);
        for (std::size_t i = 0; i < before.size(); ++i)
            RC_ASSERT(std::abs(capacity.machines()[i].free.cpus - before[i]) < 1e-9);
    });
}

// A drain planner called every 6 s of a cluster in which only the cordons change.
class DrainRun {
  public:
    DrainRun() : cluster_(test::draw_cluster()) {
        settings_.total_cap = static_cast<std::size_t>(*rc::gen::inRange(1, 4));
        settings_.busy_cap = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
        settings_.fleet_minimum = 0;
    }

    void step() {
        cluster_.now += Micros{6'000'000};
        const auto plan = this->plan();
        auto candidate_since = check_timers();
        check_caps(plan);
        for (const auto& list : {plan.empty, plan.busy}) {
            check_waited(list);
            cordoned_.insert(list.begin(), list.end());
        }
        candidate_since_ = std::move(candidate_since);
    }

  private:
    core::DrainResult plan() {
        core::Availability availability;
        availability.now = cluster_.now;
        availability.silent_after = Micros{1'000'000'000};
        availability.draining = cordoned_;
        auto input = drain_input(cluster_);
        input.draining = cordoned_;
        return core::plan_drains(settings_, input, cluster_.free_capacity(&availability), state_);
    }
    // Leaving the candidates resets the timer. Returns since when each one of them is a candidate.
    std::map<std::string, Micros> check_timers() const {
        std::map<std::string, Micros> candidate_since;
        for (const auto& [id, since] : state_.candidate_since) {
            const auto earlier = candidate_since_.find(id);
            candidate_since[id] = earlier == candidate_since_.end() ? cluster_.now : earlier->second;
            RC_ASSERT(since == candidate_since[id]);
        }
        return candidate_since;
    }
    void check_waited(const std::vector<std::string>& chosen) const {
        for (const auto& id : chosen) {
            RC_ASSERT(candidate_since_.contains(id));
            RC_ASSERT(cluster_.now - candidate_since_.at(id) >= settings_.unneeded);
        }
    }
    void check_caps(const core::DrainResult& plan) const {
        std::size_t busy = 0;
        for (const auto& id : cordoned_) busy += cluster_.job_table.on_machine(id).empty() ? 0 : 1;
        if (!plan.busy.empty()) RC_ASSERT(busy + plan.busy.size() <= settings_.busy_cap);
        if (!plan.busy.empty() || !plan.empty.empty())
            RC_ASSERT(cordoned_.size() + plan.busy.size() + plan.empty.size() <= settings_.total_cap);
    }

    Cluster cluster_;
    core::DrainSettings settings_;
    core::DrainState state_;
    std::map<std::string, Micros> candidate_since_;  // as of the step before
    std::set<std::string> cordoned_;
};

TEST(DrainPlanner, TimersAndCapsHold) {
    holds("a walk through time", [] {
        DrainRun run;
        for (int step = 0; step < 12; ++step) run.step();
    });
}

TEST(DrainPlanner, PausesWhileAStoppedTaskHasNoPlace) {
    Cluster c;
    c.cluster_view.apply(test::heartbeat("n-1", "small", "a"), c.now, c.now);
    c.cluster_view.apply(test::heartbeat("n-2", "small", "a"), c.now, c.now);
    c.job_table.put_job(test::job("req-1", "x", 3, 4), 1);
    core::DrainState state;
    const auto in = drain_input(c);
    EXPECT_FALSE(core::plan_drains({}, in, c.free_capacity(), state).blocked);
    EXPECT_EQ(state.candidate_since.size(), 1U);
    for (std::uint32_t t = 0; t < 3; ++t) state.recent_stops[{"req-1", t}] = c.now;
    EXPECT_TRUE(core::plan_drains({}, in, c.free_capacity(), state).blocked);
    EXPECT_TRUE(state.candidate_since.empty());
}

TEST(DrainPlanner, ScalesInTheMostExpensiveOfEquals) {
    Cluster c;
    c.cluster_view.apply(test::heartbeat("n-1", "small", "a", true), c.now, c.now);
    c.cluster_view.apply(test::heartbeat("n-2", "small", "a", false), c.now, c.now);
    c.cluster_view.apply(test::heartbeat("n-3", "small", "a", true), c.now, c.now);
    core::DrainSettings s;
    s.total_cap = 1;
    s.unneeded = Micros{0};
    core::DrainState state;
    EXPECT_EQ(core::plan_drains(s, drain_input(c), c.free_capacity(), state).empty,
              std::vector<std::string>{"n-2"});
}

TEST(DrainPlanner, StopsAtItsTimeBound) {
    Cluster c;
    for (int i = 0; i < 5; ++i)
        c.cluster_view.apply(test::heartbeat("n-" + std::to_string(i), "small", "a"), c.now, c.now);
    core::DrainState state;
    auto in = drain_input(c);
    int left = 2;
    in.out_of_time = [&] { return left-- <= 0; };
    (void)core::plan_drains({}, in, c.free_capacity(), state);
    EXPECT_EQ(state.candidate_since.size(), 2U);
}

// One short task is a small part of a machine's time; with no machine at all it once waited for ever.
TEST(UnresponsiveMachines, FewAreReleasedAndManyAreKept) {
    const Micros limit{10'000'000};
    std::vector<core::SilentMachine> machines;
    machines.reserve(40);
    for (int i = 0; i < 40; ++i) machines.push_back({"n-" + std::to_string(i), Micros{0}, true});
    machines[0].silent_for = Micros{11'000'000};
    EXPECT_EQ(core::releasable(machines, limit, 0), std::vector<std::string>{"n-0"});
    machines[0].holds_tasks = false;
    EXPECT_TRUE(core::releasable(machines, limit, 0).empty()) << "an empty one gets longer";
    machines[0].holds_tasks = true;
    EXPECT_TRUE(core::releasable(machines, limit, 5).empty()) << "enough were released within the minute";
    // A zone is cut: its machines reach the limit one after the other, and none of them may go.
    for (std::size_t i = 1; i < 12; ++i)
        machines[i].silent_for = Micros{6'000'000 + static_cast<std::int64_t>(i) * 100'000};
    EXPECT_TRUE(core::releasable(machines, limit, 0).empty());
}

TEST(ScaleOutPlanner, ScalesOutForAShortQueueWhenNothingCouldRunIt) {
    Cluster c;
    c.teams["x"] = {"x", 100, 100, 0, 0};
    auto j = test::job("req-1", "x", 1, 1);
    j.estimate_s = 1;
    c.job_table.put_job(j, 1);
    auto in = test::scale_out_input(c);
    EXPECT_EQ(core::plan_scale_out({}, in, c.free_capacity()).size(), 1U);
    c.cluster_view.apply(test::heartbeat("n-1", "small", "a"), c.now, c.now);
    EXPECT_TRUE(core::plan_scale_out({}, in, c.free_capacity()).empty());
}

TEST(ScaleOutPlanner, ScalesOutForServicesLessWhatIsBooting) {
    Cluster c;
    c.teams["x"] = {"x", 100, 100, 0, 0};
    auto j = test::job("req-1", "x", 4, 2);
    j.kind = core::JobKind::service;
    j.spot = false;
    j.types = std::vector<std::string>{"small"};
    c.job_table.put_job(j, 1);
    auto in = test::scale_out_input(c);
    const auto count = [&] {
        std::uint32_t n = 0;
        for (const auto& [pool, k] : core::plan_scale_out({}, in, c.free_capacity())) {
            EXPECT_FALSE(pool.spot) << "the job may not run on spot machines";
            n += k;
        }
        return n;
    };
    EXPECT_EQ(count(), 2U);
    core::Instance b;
    b.machine = "n-9";
    b.type = "small";
    b.zone = "a";
    in.booting = {b};
    EXPECT_EQ(count(), 1U);
    in.refused_until[{"small", "a", false}] = c.now + Micros{1'000'000};
    for (const auto& [pool, k] : core::plan_scale_out({}, in, c.free_capacity())) EXPECT_EQ(pool.zone, "b");
}

}  // namespace
}  // namespace hatchwind
