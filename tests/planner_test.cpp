#include "core/failure_detection.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using test::check_property;
using test::Cluster;

core::DrainInput drain_input(const Cluster& cluster) {
    core::DrainInput input;
    input.job_table = &cluster.job_table;
    input.cluster_view = &cluster.cluster_view;
    input.monotonic_now = cluster.now;
    return input;
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

// Makes one random change to a generated cluster at a time.
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
    // Reports that a task has exited, or that the machine has a new incarnation.
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

// Guards against stale cached sums: after any change, free capacity built with a cache equals free capacity
// built without one.
TEST(FreeCapacity, CachedBuildEqualsUncachedBuild) {
    check_property("same free capacity", [] {
        Cluster cluster = test::draw_cluster();
        ClusterChanges changes(cluster);
        core::FreeCapacityCache free_capacity_cache;
        core::Availability availability;
        availability.now = cluster.now;
        availability.unresponsive_after = core::Micros{10'000'000};
        const auto build = [&](core::FreeCapacityCache* cache) {
            return core::FreeCapacity::build(cluster.cluster_view, cluster.job_table, cluster.types,
                                             availability, cache);
        };
        for (int round = 0; round < 6; ++round) {
            const auto uncached = build(nullptr);
            expect_same(uncached, build(&free_capacity_cache));
            if (uncached.machines().empty()) break;
            const std::string machine = (*rc::gen::elementOf(uncached.machines())).id;
            changes.draw_change(machine);
        }
    });
}

TEST(DrainPlanner, TasksOfAllCandidatesFitOnOtherMachinesTogether) {
    check_property("candidates leave together", [] {
        const Cluster cluster = test::draw_cluster();
        core::DrainSettings settings;
        settings.fleet_minimum = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
        core::DrainState state;
        const core::FreeCapacity capacity = cluster.free_capacity();
        (void)core::plan_drains(settings, drain_input(cluster), capacity, state);
        RC_TAG(state.candidate_since.size());
        RC_ASSERT(capacity.machines().size() - state.candidate_since.size() >=
                  std::min(settings.fleet_minimum, capacity.machines().size()));
        // Every task on a candidate has a destination that is not a candidate itself, suits the task, and has
        // capacity for all tasks moved there.
        std::map<std::string, core::Resources> free;
        for (const auto& machine : capacity.machines()) free[machine.id] = machine.free;
        std::map<std::string, core::ZoneUse> zones;
        std::vector<std::tuple<const core::JobEntry*, std::string, std::string>> moves;
        for (const auto& [id, since] : state.candidate_since) {
            for (const auto& [ref, recorded_attempts] : cluster.job_table.on_machine(id)) {
                const auto& entry = *recorded_attempts.entry;
                RC_ASSERT(entry.job.kind != core::JobKind::gang);
                RC_ASSERT(state.destinations.contains(ref));
                const auto& destination = state.destinations.at(ref);
                RC_ASSERT(!state.candidate_since.contains(destination));
                RC_ASSERT(core::may_run_on(entry.job, *capacity.find(destination)));
                free[destination] -= entry.job.resources;
                RC_ASSERT(free[destination].cpus >= -1e-6);
                auto& zone_use = zones.try_emplace(ref.job, core::ZoneUse::of(entry, capacity)).first->second;
                zone_use.remove(capacity.find(id)->zone);
                zone_use.add(capacity.find(destination)->zone);
            }
        }
        for (const auto& [id, zone_use] : zones) {
            const auto& job = cluster.job_table.find(id)->job;
            for (const auto& [zone, count] : zone_use.by_zone) {
                if (job.spread) RC_ASSERT(count <= job.max_tasks_per_zone());
                if (job.one_zone && count > 0) RC_ASSERT(count == zone_use.total);
            }
        }
        // The caller's free capacity is unchanged: the planner works on a copy.
        const core::FreeCapacity again = cluster.free_capacity();
        for (const auto& machine : capacity.machines())
            RC_ASSERT(std::abs(machine.free.cpus - again.find(machine.id)->free.cpus) < 1e-9);
    });
}

TEST(DrainPlanner, RevertRestoresFreeCapacity) {
    check_property("take, give, revert", [] {
        const Cluster cluster = test::draw_cluster();
        core::FreeCapacity capacity = cluster.free_capacity();
        std::vector<double> before;
        for (const auto& machine : capacity.machines()) before.push_back(machine.free.cpus);
        const auto mark = capacity.mark();
        const int change_count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < change_count; ++i) {
            const auto position = *rc::gen::inRange<std::size_t>(0, capacity.machines().size());
            capacity.take(position, {static_cast<double>(*rc::gen::inRange(-3, 4)), 0, 1});
        }
        capacity.revert(mark);
        for (std::size_t i = 0; i < before.size(); ++i)
            RC_ASSERT(std::abs(capacity.machines()[i].free.cpus - before[i]) < 1e-9);
    });
}

// Calls the drain planner every 6 s for a cluster in which only the set of cordoned machines changes.
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
        availability.unresponsive_after = Micros{1'000'000'000};
        availability.draining = cordoned_;
        auto input = drain_input(cluster_);
        input.draining = cordoned_;
        return core::plan_drains(settings_, input, cluster_.free_capacity(&availability), state_);
    }
    // Checks that a machine that is no longer a candidate loses its timer. Returns the time since which each
    // machine is a candidate.
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
    std::map<std::string, Micros> candidate_since_;  // as of the previous step
    std::set<std::string> cordoned_;
};

TEST(DrainPlanner, TimersAndCapsHold) {
    check_property("a walk through time", [] {
        DrainRun run;
        for (int step = 0; step < 12; ++step) run.step();
    });
}

TEST(DrainPlanner, PausesWhileAStoppedTaskHasNoPlace) {
    Cluster cluster;
    cluster.cluster_view.apply(test::heartbeat("n-1", "small", "a"), cluster.now, cluster.now);
    cluster.cluster_view.apply(test::heartbeat("n-2", "small", "a"), cluster.now, cluster.now);
    cluster.job_table.put_job(test::job("req-1", "x", 3, 4), 1);
    core::DrainState state;
    const auto input = drain_input(cluster);
    EXPECT_FALSE(core::plan_drains({}, input, cluster.free_capacity(), state).blocked);
    EXPECT_EQ(state.candidate_since.size(), 1U);
    for (std::uint32_t task = 0; task < 3; ++task) state.recent_stops[{"req-1", task}] = cluster.now;
    EXPECT_TRUE(core::plan_drains({}, input, cluster.free_capacity(), state).blocked);
    EXPECT_TRUE(state.candidate_since.empty());
}

TEST(DrainPlanner, ScalesInTheMostExpensiveOfEquallyUsedMachines) {
    Cluster cluster;
    cluster.cluster_view.apply(test::heartbeat("n-1", "small", "a", true), cluster.now, cluster.now);
    cluster.cluster_view.apply(test::heartbeat("n-2", "small", "a", false), cluster.now, cluster.now);
    cluster.cluster_view.apply(test::heartbeat("n-3", "small", "a", true), cluster.now, cluster.now);
    core::DrainSettings settings;
    settings.total_cap = 1;
    settings.unneeded = Micros{0};
    core::DrainState state;
    EXPECT_EQ(core::plan_drains(settings, drain_input(cluster), cluster.free_capacity(), state).empty,
              std::vector<std::string>{"n-2"});
}

TEST(DrainPlanner, StopsAtItsTimeBound) {
    Cluster cluster;
    for (int i = 0; i < 5; ++i)
        cluster.cluster_view.apply(test::heartbeat("n-" + std::to_string(i), "small", "a"), cluster.now,
                                   cluster.now);
    core::DrainState state;
    auto input = drain_input(cluster);
    int checks_left = 2;
    input.out_of_time = [&] { return checks_left-- <= 0; };
    (void)core::plan_drains({}, input, cluster.free_capacity(), state);
    EXPECT_EQ(state.candidate_since.size(), 2U);
}

TEST(UnresponsiveMachines, FewAreReleasedAndManyAreKept) {
    const Micros limit{10'000'000};
    std::vector<core::UnresponsiveMachine> machines;
    machines.reserve(40);
    for (int i = 0; i < 40; ++i) machines.push_back({"n-" + std::to_string(i), Micros{0}, true});
    machines[0].unresponsive_for = Micros{11'000'000};
    EXPECT_EQ(core::releasable(machines, limit, 0), std::vector<std::string>{"n-0"});
    machines[0].holds_tasks = false;
    EXPECT_TRUE(core::releasable(machines, limit, 0).empty()) << "an empty machine has a longer limit";
    machines[0].holds_tasks = true;
    EXPECT_TRUE(core::releasable(machines, limit, 5).empty()) << "enough were released within the minute";
    // A zone is partitioned: its machines reach the limit one after the other, and none of them may be
    // released.
    for (std::size_t i = 1; i < 12; ++i)
        machines[i].unresponsive_for = Micros{6'000'000 + static_cast<std::int64_t>(i) * 100'000};
    EXPECT_TRUE(core::releasable(machines, limit, 0).empty());
}

// One short task needs only a small part of a machine's time. Without this rule it would wait for ever if
// there is no machine that could run it.
TEST(ScaleOutPlanner, ScalesOutForAShortQueueWhenNoMachineCanRunIt) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 100, 100, 0, 0};
    auto job = test::job("req-1", "x", 1, 1);
    job.estimate_s = 1;
    cluster.job_table.put_job(job, 1);
    auto input = test::scale_out_input(cluster);
    EXPECT_EQ(core::plan_scale_out({}, input, cluster.free_capacity()).size(), 1U);
    cluster.cluster_view.apply(test::heartbeat("n-1", "small", "a"), cluster.now, cluster.now);
    EXPECT_TRUE(core::plan_scale_out({}, input, cluster.free_capacity()).empty());
}

TEST(ScaleOutPlanner, CountsBootingInstancesWhenScalingOutForServices) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 100, 100, 0, 0};
    auto job = test::job("req-1", "x", 4, 2);
    job.kind = core::JobKind::service;
    job.spot = false;
    job.types = std::vector<std::string>{"small"};
    cluster.job_table.put_job(job, 1);
    auto input = test::scale_out_input(cluster);
    const auto count = [&] {
        std::uint32_t instance_count = 0;
        for (const auto& [pool, count_in_pool] : core::plan_scale_out({}, input, cluster.free_capacity())) {
            EXPECT_FALSE(pool.spot) << "the job may not run on spot machines";
            instance_count += count_in_pool;
        }
        return instance_count;
    };
    EXPECT_EQ(count(), 2U);
    core::Instance booting;
    booting.machine = "n-9";
    booting.type = "small";
    booting.zone = "a";
    input.booting = {booting};
    EXPECT_EQ(count(), 1U);
    input.refused_until[{"small", "a", false}] = cluster.now + Micros{1'000'000};
    for (const auto& [pool, count_in_pool] : core::plan_scale_out({}, input, cluster.free_capacity()))
        EXPECT_EQ(pool.zone, "b");
}

}  // namespace
}  // namespace hatchwind
