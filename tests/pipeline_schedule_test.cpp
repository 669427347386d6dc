// Demands that waiting jobs impose on their dependencies, and their effect on the queue, preemption,
// placement and scaling.
#include "core/pipeline_schedule.hpp"

#include <algorithm>
#include <chrono>

#include "core/queue_order.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::from_seconds;
using core::InheritedDemand;
using core::Job;
using core::Micros;
using core::PipelineSchedule;
using core::Priority;
using test::check_property;
using test::Cluster;

const std::vector<core::Objective> kNoObjectives;

Job ordinary_job(const std::string& id, Priority priority, std::uint32_t tasks = 1, double cpus = 1) {
    Job job = test::job(id, "x", tasks, cpus);
    job.priority = priority;
    return job;
}

Job waiting_job(const std::string& id, Priority priority, std::vector<std::string> dependencies) {
    Job job = ordinary_job(id, priority);
    job.team_once_released = job.team;
    job.team = core::kWaitingTeam;
    job.dependencies = std::move(dependencies);
    return job;
}

PipelineSchedule schedule_of(const Cluster& cluster) {
    return PipelineSchedule::build(cluster.job_table, cluster.objectives, cluster.now);
}

// Adds one machine that runs one task of the given job.
void run_alone(Cluster& cluster, const Job& running, core::Revision mod_revision) {
    cluster.job_table.put_job(running, mod_revision);
    core::Chunk chunk;
    chunk.mod_revision = mod_revision + 1;
    chunk.open[0] = {1, "n-1", 1};
    cluster.job_table.put_chunk(running.id, 0, chunk);
    auto heartbeat = test::heartbeat("n-1", "small", "a");
    heartbeat.tasks = {test::task_status(running.id, 0, 1)};
    cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now);
}

std::vector<std::string> queue_of(const Cluster& cluster, const PipelineSchedule* pipelines) {
    std::vector<std::string> ids;
    for (const auto* entry :
         core::queue_order(cluster.job_table, {"x", "y"}, cluster.objectives, cluster.now, pipelines))
        ids.push_back(entry->job.id);
    return ids;
}

std::uint32_t machines(const std::map<core::InstancePool, std::uint32_t>& rentals) {
    std::uint32_t sum = 0;
    for (const auto& [pool, number] : rentals) sum += number;
    return sum;
}

// ---- The schedule against a brute-force model that visits every path in the graph.

class BruteForceModel {
  public:
    BruteForceModel(const core::JobTable& job_table, const std::vector<core::Objective>& objectives,
                    Micros wall_clock_now)
        : job_table_(job_table), objectives_(objectives), wall_clock_now_(wall_clock_now) {}

    bool has_dependents(const std::string& id) const { return !dependents_of(id).empty(); }

    Priority priority(const std::string& id) const {
        Priority highest = job_table_.find(id)->job.priority;
        for (const auto& dependent : dependents_of(id)) highest = std::max(highest, priority(dependent));
        return highest;
    }

    // Returns the earliest due time over all paths from the job to a job with a deadline.
    std::optional<Micros> due(const std::string& id) const {
        std::optional<Micros> earliest;
        visit_paths(id, Micros{0}, earliest);
        return earliest;
    }

    bool can_run(const std::string& id) const { return can_run(id, {}); }

  private:
    bool unfinished(const std::string& id) const {
        const auto* entry = job_table_.find(id);
        return entry != nullptr && (entry->job.cancelled || !entry->finished());
    }
    std::vector<std::string> unfinished_dependencies(const std::string& id) const {
        std::vector<std::string> found;
        const Job& job = job_table_.find(id)->job;
        if (!job.waiting()) return found;
        for (const auto& before : job.dependencies) {
            if (unfinished(before)) found.push_back(before);
        }
        return found;
    }
    std::set<std::string> dependents_of(const std::string& id) const {
        std::set<std::string> found;
        for (const auto& [dependent, entry] : job_table_.jobs()) {
            const auto before = unfinished_dependencies(dependent);
            if (can_run(dependent) && std::find(before.begin(), before.end(), id) != before.end())
                found.insert(dependent);
        }
        return found;
    }
    bool can_run(const std::string& id, std::set<std::string> on_path) const {
        if (!on_path.insert(id).second || job_table_.find(id)->job.cancelled) return false;
        const auto before = unfinished_dependencies(id);
        return std::all_of(before.begin(), before.end(),
                           [&](const std::string& dependency) { return can_run(dependency, on_path); });
    }
    Micros earliest_finish(const std::string& id) const {
        Micros start = wall_clock_now_;
        for (const auto& before : unfinished_dependencies(id))
            start = std::max(start, earliest_finish(before));
        return start + from_seconds(job_table_.find(id)->job.estimate_s * 0.5);
    }
    Micros own_due(const Job& job) const {
        std::vector<double> candidates_s{*job.deadline_s};
        for (const auto& objective : objectives_) {
            if (objective.kind == "deadline" && objective.job_class == job.job_class)
                candidates_s.push_back(*job.deadline_s * objective.deadline_multiple);
        }
        std::sort(candidates_s.begin(), candidates_s.end());
        for (const double candidate_s : candidates_s) {
            if (job.accepted + from_seconds(candidate_s) >= earliest_finish(job.id))
                return job.accepted + from_seconds(candidate_s);
        }
        return job.accepted + from_seconds(std::max(240.0, 2 * *job.deadline_s));
    }
    // `after`: planned time of the stages after the first job of the path, up to and including this job.
    void visit_paths(const std::string& id, Micros after, std::optional<Micros>& earliest) const {
        const Job& job = job_table_.find(id)->job;
        if (job.deadline_s) {
            const Micros at = own_due(job) - after;
            if (!earliest || at < *earliest) earliest = at;
        }
        for (const auto& dependent : dependents_of(id)) {
            const double stage_s = job_table_.find(dependent)->job.estimate_s * 1.5 + 5;
            visit_paths(dependent, after + from_seconds(stage_s), earliest);
        }
    }

    const core::JobTable& job_table_;
    const std::vector<core::Objective>& objectives_;
    Micros wall_clock_now_;
};

std::string random_job_id(int jobs) { return "req-" + std::to_string(100 + *rc::gen::inRange(0, jobs)); }

// Returns true in about one of `number` draws. Uses the largest value because RapidCheck prefers small ones.
bool one_in(int number) { return *rc::gen::inRange(0, number) == number - 1; }

core::JobTable draw_pipelines() {
    core::JobTable job_table;
    const int jobs = 8 - *rc::gen::inRange(0, 7);
    // Some jobs depend on jobs submitted later. Users cannot create such cycles, but they must be handled.
    const bool cycles = one_in(4);
    for (int i = 0; i < jobs; ++i) {
        const std::string id = "req-" + std::to_string(100 + i);
        std::vector<std::string> dependencies;
        const int names = 3 - *rc::gen::inRange(0, 4);
        for (int k = 0; k < names && (i > 0 || cycles); ++k)
            dependencies.push_back(random_job_id(cycles ? jobs : i));
        const auto priority = static_cast<Priority>(*rc::gen::inRange(0, 4));
        Job job = dependencies.empty() ? ordinary_job(id, priority) : waiting_job(id, priority, dependencies);
        job.estimate_s = *rc::gen::inRange(0, 40);
        job.accepted = Micros{*rc::gen::inRange(1, 100) * 1'000'000};
        if (*rc::gen::inRange(0, 2) == 0) job.deadline_s = *rc::gen::inRange(-20, 250);
        job.cancelled = one_in(8);
        const bool waiting = job.waiting();
        job_table.put_job(job, 1);
        if (!waiting && one_in(4)) {
            core::Chunk chunk;
            chunk.mod_revision = 2;
            chunk.done.insert(0);
            job_table.put_chunk(id, 0, chunk);
        }
    }
    // Jobs that have ended are not in the job table.
    if (one_in(3)) job_table.erase_job(random_job_id(jobs), 10);
    return job_table;
}

TEST(PipelineSchedule, AgreesWithBruteForceModel) {
    check_property("priority, due, latest start", [] {
        const core::JobTable job_table = draw_pipelines();
        std::vector<core::Objective> objectives;
        if (*rc::gen::arbitrary<bool>()) objectives.push_back({"deadline", "c", 0, 0.9, 1.5});
        const Micros wall_clock_now{100'000'000};
        const auto schedule = PipelineSchedule::build(job_table, objectives, wall_clock_now);
        const BruteForceModel model{job_table, objectives, wall_clock_now};
        std::size_t demands = 0;
        std::set<std::string> upcoming;
        for (const auto& [id, entry] : job_table.jobs()) {
            const bool runs = model.can_run(id) && (entry.job.waiting() || !entry.finished());
            if (runs && entry.job.waiting()) upcoming.insert(id);
            const InheritedDemand* found = schedule.find(id);
            const bool expected = runs && model.has_dependents(id);
            RC_ASSERT((found != nullptr) == expected);
            if (!expected) continue;
            ++demands;
            RC_ASSERT(found->priority == model.priority(id));
            RC_ASSERT(found->due == model.due(id));
            RC_ASSERT(found->latest_start.has_value() == found->due.has_value());
            if (found->due)
                RC_ASSERT(*found->latest_start == *found->due - from_seconds(entry.job.estimate_s * 1.5 + 5));
        }
        RC_ASSERT(schedule.demands().size() == demands);
        std::set<std::string> found_upcoming;
        for (const auto& release : schedule.upcoming()) found_upcoming.insert(release.entry->job.id);
        RC_ASSERT(found_upcoming == upcoming);
        RC_TAG(demands > 0 ? "with demands" : "without");
    });
}

TEST(PipelineSchedule, WorksBackAlongTheLongestPath) {
    Cluster cluster;
    cluster.job_table.put_job(ordinary_job("req-1", Priority::best_effort), 1);
    auto longer = waiting_job("req-2", Priority::best_effort, {"req-1"});
    longer.estimate_s = 40;
    auto shorter = waiting_job("req-3", Priority::normal, {"req-1"});
    shorter.estimate_s = 10;
    auto last = waiting_job("req-4", Priority::high, {"req-2", "req-3"});
    last.estimate_s = 8;
    last.accepted = Micros{50'000'000};
    last.deadline_s = 200;
    for (const auto& job : {longer, shorter, last}) cluster.job_table.put_job(job, 1);
    const auto schedule = schedule_of(cluster);
    const Micros deadline{250'000'000};
    const Micros last_starts = deadline - from_seconds(8 * 1.5 + 5);
    EXPECT_EQ(schedule.find("req-2")->due, last_starts);
    EXPECT_EQ(schedule.find("req-3")->due, last_starts);
    EXPECT_EQ(schedule.find("req-1")->due, last_starts - from_seconds(40 * 1.5 + 5));
    EXPECT_EQ(schedule.find("req-1")->latest_start,
              *schedule.find("req-1")->due - from_seconds(30 * 1.5 + 5));
    EXPECT_EQ(schedule.find("req-1")->priority, Priority::high);
    EXPECT_EQ(schedule.find("req-4"), nullptr) << "nobody needs the last one";
    EXPECT_EQ(schedule.upcoming().size(), 3U);
}

TEST(PipelineSchedule, UnreachableDeadlineIsReplacedByALaterOne) {
    Cluster cluster;
    cluster.now = Micros{200'000'000};
    cluster.job_table.put_job(ordinary_job("req-1", Priority::best_effort), 1);
    auto last = waiting_job("req-2", Priority::high, {"req-1"});
    last.deadline_s = 200;  // at 201 s; the earliest finish, with half of both estimates, is at 230 s
    cluster.job_table.put_job(last, 1);
    const Micros stage = from_seconds(30 * 1.5 + 5);
    EXPECT_EQ(schedule_of(cluster).find("req-1")->due, Micros{401'000'000} - stage) << "late: twice as long";
    cluster.objectives = {{"deadline", "c", 0, 0.9, 1.5}};
    EXPECT_EQ(schedule_of(cluster).find("req-1")->due, Micros{301'000'000} - stage) << "1.5 times can be met";
}

TEST(PipelineSchedule, ACancelledDependencyDemandsNothing) {
    Cluster cluster;
    cluster.job_table.put_job(ordinary_job("req-1", Priority::best_effort), 1);
    cluster.job_table.put_job(ordinary_job("req-2", Priority::best_effort), 1);
    cluster.job_table.put_job(waiting_job("req-3", Priority::high, {"req-1", "req-2"}), 1);
    EXPECT_EQ(schedule_of(cluster).find("req-1")->priority, Priority::high);
    // The cancellation has not been propagated to the last job yet.
    cluster.job_table.put_cancel("req-2", 2, cluster.now);
    EXPECT_TRUE(schedule_of(cluster).demands().empty());
    EXPECT_TRUE(schedule_of(cluster).upcoming().empty());
}

TEST(PipelineSchedule, HandlesLongChainsAndWideFans) {
    constexpr int kJobs = 20000;
    core::JobTable chain;
    core::JobTable fan;
    std::vector<std::string> all;
    const auto name = [](int i) { return "req-" + std::to_string(1'000'000 + i); };
    for (int i = 0; i < kJobs; ++i) {
        const auto priority = i == kJobs - 1 ? Priority::high : Priority::best_effort;
        chain.put_job(
            i == 0 ? ordinary_job(name(0), priority) : waiting_job(name(i), priority, {name(i - 1)}), 1);
        fan.put_job(ordinary_job(name(i), Priority::best_effort), 1);
        all.push_back(name(i));
    }
    // A fan: each of these jobs depends on all kJobs jobs.
    for (int i = 0; i < 20; ++i)
        fan.put_job(waiting_job("req-last-" + std::to_string(i), Priority::high, all), 1);
    const auto began = std::chrono::steady_clock::now();
    const auto along_chain = PipelineSchedule::build(chain, kNoObjectives, Micros{100'000'000});
    const auto along_fan = PipelineSchedule::build(fan, kNoObjectives, Micros{100'000'000});
    const auto took = std::chrono::steady_clock::now() - began;
    EXPECT_EQ(along_chain.demands().size(), static_cast<std::size_t>(kJobs - 1));
    EXPECT_EQ(along_chain.find(name(0))->priority, Priority::high);
    EXPECT_EQ(along_fan.demands().size(), static_cast<std::size_t>(kJobs));
    EXPECT_EQ(along_fan.find(name(7))->priority, Priority::high);
    // Quadratic time would take 400 million steps for each graph.
    EXPECT_LT(took, std::chrono::seconds(15));
}

// ---- The queue.

TEST(PipelineQueue, AChainWithADeadlineGoesBeforeOtherBestEffortWork) {
    Cluster cluster;
    cluster.job_table.put_job(ordinary_job("req-1", Priority::best_effort), 1);  // the older job
    auto first = ordinary_job("req-2", Priority::best_effort);
    first.accepted = Micros{90'000'000};
    cluster.job_table.put_job(first, 1);
    auto last = waiting_job("req-3", Priority::best_effort, {"req-2"});
    last.accepted = Micros{90'000'000};
    last.deadline_s = 150;
    cluster.job_table.put_job(last, 1);
    EXPECT_EQ(queue_of(cluster, nullptr), (std::vector<std::string>{"req-1", "req-2"}));
    const auto schedule = schedule_of(cluster);
    EXPECT_EQ(queue_of(cluster, &schedule), (std::vector<std::string>{"req-2", "req-1"}));
}

TEST(PipelineQueue, TheFirstJobOfAHighPipelineGoesBeforeNormalWork) {
    Cluster cluster;
    cluster.job_table.put_job(ordinary_job("req-1", Priority::normal), 1);
    cluster.job_table.put_job(ordinary_job("req-2", Priority::best_effort), 1);
    cluster.job_table.put_job(waiting_job("req-3", Priority::best_effort, {"req-2"}), 1);
    auto schedule = schedule_of(cluster);
    EXPECT_EQ(queue_of(cluster, &schedule), (std::vector<std::string>{"req-1", "req-2"}));
    // The demand begins when the last job of the pipeline is submitted.
    cluster.job_table.put_job(waiting_job("req-4", Priority::high, {"req-3"}), 1);
    schedule = schedule_of(cluster);
    EXPECT_EQ(queue_of(cluster, &schedule), (std::vector<std::string>{"req-2", "req-1"}));
}

// A wide stage has its own wait objective, counted from its release, and the last job of the pipeline has a
// deadline. The earlier of the two due times counts. A due time in the past alone does not raise the
// priority.
TEST(PipelineQueue, TheEarlierDueTimeOfJobAndPipelineCounts) {
    Cluster cluster;
    cluster.objectives = {{"wait", "wide", 40, 0.96, 1}};
    auto wide = ordinary_job("req-1", Priority::best_effort);
    wide.job_class = "wide";
    wide.accepted = cluster.now;
    cluster.job_table.put_job(wide, 1);
    auto last = waiting_job("req-2", Priority::best_effort, {"req-1"});
    last.accepted = cluster.now;
    last.deadline_s = 200;
    cluster.job_table.put_job(last, 1);
    auto schedule = schedule_of(cluster);
    const Micros own = cluster.now + from_seconds(40 + 30);
    EXPECT_EQ(core::due_time(wide, cluster.objectives, cluster.now, &schedule), own);
    last.deadline_s = 80;
    cluster.job_table.put_job(last, 2);
    schedule = schedule_of(cluster);
    const Micros planned = cluster.now + from_seconds(80 - 50);
    EXPECT_EQ(core::due_time(wide, cluster.objectives, cluster.now, &schedule), planned);
    // The planned due time has passed but the deadline can still be met: normal work still goes first.
    cluster.now += from_seconds(40);
    cluster.job_table.put_job(ordinary_job("req-3", Priority::normal), 1);
    schedule = schedule_of(cluster);
    ASSERT_LT(*schedule.find("req-1")->due, cluster.now);
    EXPECT_EQ(queue_of(cluster, &schedule), (std::vector<std::string>{"req-3", "req-1"}));
}

// ---- Preemption.

struct FullMachine : testing::Test {
    Cluster cluster;
    void SetUp() override { cluster.teams["x"] = {"x", 0, 100, 0, 0}; }

    void run(Priority priority) { run_alone(cluster, ordinary_job("req-1", priority, 1, 4), 1); }
    void queue(Priority priority) { cluster.job_table.put_job(ordinary_job("req-2", priority, 1, 4), 3); }
    core::PlacementResult place() const {
        const auto schedule = schedule_of(cluster);
        core::FreeCapacity capacity = cluster.free_capacity();
        return core::place(test::placement_input(cluster, &schedule), capacity);
    }
};

TEST_F(FullMachine, AnInheritedPriorityPreemptsLowerWork) {
    run(Priority::normal);
    queue(Priority::best_effort);
    EXPECT_TRUE(place().stops.empty());
    cluster.job_table.put_job(waiting_job("req-3", Priority::high, {"req-2"}), 4);
    ASSERT_EQ(place().stops.size(), 1U);
    EXPECT_EQ(place().stops[0].job, "req-1");
}

TEST_F(FullMachine, EqualPrioritiesNeverPreempt) {
    for (const Priority running : {Priority::best_effort, Priority::normal, Priority::high}) {
        cluster.job_table.clear();
        run(running);
        queue(Priority::best_effort);
        cluster.job_table.put_job(waiting_job("req-3", running, {"req-2"}), 4);
        EXPECT_TRUE(place().stops.empty()) << "inherited against own";
        queue(running);
        EXPECT_TRUE(place().stops.empty()) << "own against own";
    }
    // Both jobs inherit the same priority.
    cluster.job_table.clear();
    run(Priority::best_effort);
    queue(Priority::best_effort);
    cluster.job_table.put_job(waiting_job("req-3", Priority::high, {"req-1"}), 4);
    cluster.job_table.put_job(waiting_job("req-4", Priority::high, {"req-2"}), 4);
    EXPECT_TRUE(place().stops.empty()) << "inherited against inherited";
}

TEST_F(FullMachine, WorkThatAHighJobNeedsIsNotPreemptedForNormalWork) {
    run(Priority::best_effort);
    queue(Priority::normal);
    EXPECT_EQ(place().stops.size(), 1U);
    cluster.job_table.put_job(waiting_job("req-3", Priority::high, {"req-1"}), 4);
    EXPECT_TRUE(place().stops.empty());
    // Without a dependent the job loses its inherited priority.
    cluster.job_table.put_cancel("req-3", 5, cluster.now);
    EXPECT_EQ(place().stops.size(), 1U);
}

TEST_F(FullMachine, APipelineWithTimeLeftPreemptsNobody) {
    run(Priority::normal);
    auto first = ordinary_job("req-2", Priority::best_effort, 1, 4);
    first.accepted = cluster.now - from_seconds(30);
    cluster.job_table.put_job(first, 3);
    auto last = waiting_job("req-3", Priority::high, {"req-2"});
    last.accepted = cluster.now;
    constexpr double kBothStages = 2 * (30 * 1.5 + 5);
    last.deadline_s = kBothStages;
    cluster.job_table.put_job(last, 4);
    EXPECT_EQ(place().stops.size(), 1U) << "it must start now";
    last.deadline_s = kBothStages + 20;
    cluster.job_table.put_job(last, 5);
    EXPECT_TRUE(place().stops.empty()) << "20 s are left";
    cluster.objectives = {{"wait", "c", 60, 0.9, 1}};
    EXPECT_EQ(place().stops.size(), 1U) << "half of what its class may wait is over";
}

// Guards against two jobs that preempt each other alternately: a job may be stopped only for a job of higher
// effective priority, or to satisfy a team's guarantee.
TEST(PipelinePreemption, StopsOnlyLowerPrioritiesExceptForGuarantees) {
    check_property("stops", [] {
        Cluster cluster = test::draw_cluster();
        // No job is overdue, because capacity for overdue jobs may be found on another machine later in the
        // same pass.
        core::Revision mod_revision = 1000;
        for (const auto& [id, entry] : core::JobTable::Jobs{cluster.job_table.jobs()}) {
            Job job = entry.job;
            job.accepted = cluster.now - from_seconds(60);
            cluster.job_table.put_job(job, ++mod_revision);
        }
        for (int i = 0; i < 4 && !cluster.job_table.jobs().empty(); ++i) {
            auto at = cluster.job_table.jobs().begin();
            std::advance(at, *rc::gen::inRange<int>(0, static_cast<int>(cluster.job_table.jobs().size())));
            const auto priority = static_cast<Priority>(*rc::gen::inRange(0, 4));
            auto last = waiting_job("req-w" + std::to_string(i), priority, {at->first});
            if (*rc::gen::arbitrary<bool>()) last.deadline_s = *rc::gen::inRange(1, 200);
            cluster.job_table.put_job(last, ++mod_revision);
        }
        const auto schedule = schedule_of(cluster);
        core::FreeCapacity capacity = cluster.free_capacity();
        const auto result = core::place(test::placement_input(cluster, &schedule), capacity);
        // Guarantees include the tasks that the pass starts and the capacity that it reserves.
        std::map<std::string, core::Resources> use;
        for (const auto& [name, team] : cluster.teams) use[name] = cluster.job_table.team_use(name);
        for (const auto& start : result.starts) {
            const Job& job = cluster.job_table.find(start.job)->job;
            RC_ASSERT(!job.waiting());
            use[job.team] += job.resources;
        }
        for (const auto& [task, reservation] : result.reservations)
            use[cluster.job_table.find(task.job)->job.team] += reservation.resources;
        for (const auto& stop : result.stops) {
            const Job& victim = cluster.job_table.find(stop.job)->job;
            const bool beyond_quota = use[victim.team].cpus > cluster.teams.at(victim.team).cpus;
            const auto goes_before = [&](const auto& reserved) {
                const Job& job = cluster.job_table.find(reserved.first.job)->job;
                if (reserved.second.machine != stop.attempt.machine) return false;
                if (beyond_quota && job.team != victim.team) return true;
                return core::effective_priority(job, &schedule) > core::effective_priority(victim, &schedule);
            };
            RC_ASSERT(std::any_of(result.reservations.begin(), result.reservations.end(), goes_before));
        }
        RC_TAG(result.stops.empty() ? "no stops" : "stops");
    });
}

// ---- Waiting jobs have no effect on placement and scaling.

TEST(WaitingJobs, DoNotAffectAPlacementPass) {
    check_property("the same pass with and without", [] {
        Cluster with = test::draw_cluster();
        Cluster without = with;
        // They depend on a job that has ended, so they impose no demands.
        for (int i = 0; i < 3; ++i) {
            auto job = waiting_job("req-w" + std::to_string(i), Priority::production, {"req-gone"});
            job.tasks = 50;
            job.accepted = Micros{0};
            with.job_table.put_job(job, 1000);
        }
        core::FreeCapacity capacity_with = with.free_capacity();
        core::FreeCapacity capacity_without = without.free_capacity();
        const auto schedule = schedule_of(with);
        const auto result = core::place(test::placement_input(with, &schedule), capacity_with);
        const PipelineSchedule none;
        const auto expected = core::place(test::placement_input(without, &none), capacity_without);
        RC_ASSERT(result.starts.size() == expected.starts.size());
        for (std::size_t i = 0; i < result.starts.size(); ++i) {
            RC_ASSERT(result.starts[i].job == expected.starts[i].job);
            RC_ASSERT(result.starts[i].attempt == expected.starts[i].attempt);
        }
        RC_ASSERT(result.stops.size() == expected.stops.size());
        RC_ASSERT(result.reservations.size() == expected.reservations.size());
        RC_ASSERT(core::plan_scale_out({}, test::scale_out_input(with, &schedule), with.free_capacity()) ==
                  core::plan_scale_out({}, test::scale_out_input(without, &none), without.free_capacity()));
    });
}

TEST(WaitingJobs, UseNoneOfTheTeamGuarantee) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 4, 24, 0, 0};
    cluster.teams["y"] = {"y", 0, 24, 0, 0};
    Job other = ordinary_job("req-1", Priority::best_effort, 1, 4);
    other.team = "y";
    run_alone(cluster, other, 1);
    // Older than req-3 and of the same team.
    auto waiting = waiting_job("req-2", Priority::best_effort, {"req-1"});
    waiting.tasks = 4;
    cluster.job_table.put_job(waiting, 3);
    Job queued = ordinary_job("req-3", Priority::best_effort, 1, 4);
    queued.accepted = Micros{2'000'000};
    cluster.job_table.put_job(queued, 4);
    const PipelineSchedule none;
    core::FreeCapacity capacity = cluster.free_capacity();
    EXPECT_EQ(core::place(test::placement_input(cluster, &none), capacity).stops.size(), 1U)
        << "the queued job has the whole guarantee";
}

// ---- Scaling out.

TEST(PipelineScaleOut, AnInheritedDueTimeLeavesLessSlack) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 1000, 1000, 0, 0};
    cluster.cluster_view.apply(test::heartbeat("n-1", "small", "a"), cluster.now, cluster.now);
    auto first = ordinary_job("req-1", Priority::best_effort, 100, 1);
    first.accepted = cluster.now;
    cluster.job_table.put_job(first, 1);
    const auto rented = [&] {
        const auto schedule = schedule_of(cluster);
        return machines(
            core::plan_scale_out({}, test::scale_out_input(cluster, &schedule), cluster.free_capacity()));
    };
    const std::uint32_t alone = rented();
    auto last = waiting_job("req-2", Priority::best_effort, {"req-1"});
    last.accepted = cluster.now;
    last.deadline_s = 100;
    cluster.job_table.put_job(last, 2);
    EXPECT_GT(rented(), alone);
}

TEST(PipelineScaleOut, ScalesOutAheadOnlyWhenConfigured) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 1000, 1000, 0, 0};
    // Its earliest finish is in 15 s, after half of its estimate.
    run_alone(cluster, ordinary_job("req-1", Priority::best_effort, 1, 4), 1);
    auto wide = waiting_job("req-2", Priority::best_effort, {"req-1"});
    wide.tasks = 100;
    cluster.job_table.put_job(wide, 3);
    // A job whose dependencies are not known yet.
    cluster.job_table.put_job(waiting_job("req-3", Priority::best_effort, {}), 3);
    const auto schedule = schedule_of(cluster);
    ASSERT_EQ(schedule.upcoming().size(), 1U);
    const auto rented = [&](double ahead_s) {
        core::ScaleOutSettings settings;
        settings.release_ahead_s = ahead_s;
        return machines(core::plan_scale_out(settings, test::scale_out_input(cluster, &schedule),
                                             cluster.free_capacity()));
    };
    EXPECT_EQ(rented(0), 0U);
    EXPECT_EQ(rented(10), 0U) << "not released that soon";
    EXPECT_GT(rented(20), 0U);
}

}  // namespace
}  // namespace hatchwind
