// Runs 4,000 simulated machines against a model of the tasks that actually run: a zone is partitioned and
// reconnects, hundreds of machines restart at once, and delayed commands and duplicate heartbeats arrive
// late. No sockets and no clocks are used; time is a counter of seconds.
#include <random>

#include "core/failure_detection.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using core::TaskRef;
using core::TaskState;

constexpr int kLeaseSeconds = 12;
constexpr int kHeartbeatSeconds = 2;
constexpr int kNever = 1'000'000;  // end second of a service

Micros at(int second) { return Micros{1'000'000LL * (100 + second)}; }

struct Run {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    core::ExitCause cause = core::ExitCause::none;
    int ends_at = 0;  // second
};

struct Worker {
    core::WorkerHeartbeat heartbeat;  // as last sent
    core::Resources free;
    std::map<TaskRef, Run> tasks;
    bool partitioned = false;
    int last_answer = 0;  // second
    std::vector<core::Start> sent_starts;
};

// The simulated machines, and one controller that owns the shards of all teams.
class Fleet {
  public:
    explicit Fleet(int machines) {
        for (int i = 0; i < machines; ++i) {
            Worker worker;
            const std::string id = "n-" + std::to_string(10'000 + i);
            worker.heartbeat =
                test::heartbeat(id, i % 10 == 0 ? "big" : "small", i % 2 == 0 ? "a" : "b", i % 3 == 0);
            worker.free = cluster.types.at(worker.heartbeat.type).size;
            workers.emplace(id, std::move(worker));
        }
        for (const char* team : {"x", "y", "z"}) cluster.teams[team] = {team, 2'000, 2'600, 0, 0};
    }

    void submit(int number) {
        auto job = test::job("req-" + std::to_string(1'000 + number), std::string(1, "xyz"[number % 3]),
                             number % 4 == 0 ? 8U : 60U, number % 4 == 0 ? 2.0 : 1.0);
        job.accepted = at(now);
        if (number % 4 == 0) {
            job.kind = core::JobKind::service;
            job.priority = core::Priority::production;
            job.spot = false;
            job.spread = true;
        }
        cluster.job_table.put_job(job, ++revision_);
    }

    // Advances the simulation by one second.
    void step() {
        ++now;
        run_tasks();
        receive_heartbeats();
        reconcile();
        for (const char* team : {"x", "y", "z"}) place(team);
        for (auto& [id, worker] : workers) {
            if (!worker.partitioned) deliver(worker, std::exchange(worker.sent_starts, {}));
        }
        check();
    }

    void set_partitioned(const std::string& zone, bool partitioned) {
        for (auto& [id, worker] : workers) {
            if (worker.heartbeat.zone == zone) worker.partitioned = partitioned;
        }
    }
    // The machine restarts at once, with no tasks.
    void restart(Worker& worker) {
        worker.tasks.clear();
        worker.free = cluster.types.at(worker.heartbeat.type).size;
        ++worker.heartbeat.incarnation;
        worker.last_answer = now;
    }

    std::size_t releasable_machine_count() const {
        std::vector<core::UnresponsiveMachine> all;
        for (const auto& [id, machine] : cluster.cluster_view.machines()) {
            const bool has_tasks = !cluster.job_table.on_machine(id).empty();
            all.push_back({id, at(now) - machine.last_heartbeat_at, has_tasks});
        }
        return core::releasable(all, Micros{1'000'000LL * (2 * kHeartbeatSeconds + 8)}, 0).size();
    }
    std::uint32_t tasks_left() const {
        std::uint32_t left = 0;
        for (const auto& [id, entry] : cluster.job_table.jobs()) {
            left +=
                entry.job.kind == core::JobKind::service ? entry.unstarted() : entry.job.tasks - entry.done;
        }
        return left;
    }

    test::Cluster cluster;
    std::map<std::string, Worker> workers;
    std::vector<core::WorkerHeartbeat> duplicates;  // heartbeats that are delivered again later
    std::map<std::string, int> started;             // by zone: tasks started in this second
    int now = 0;                                    // second

  private:
    void run_tasks() {
        for (auto& [id, worker] : workers) {
            if (now - worker.last_answer > kLeaseSeconds)
                restart(worker);  // its lease has expired: the worker kills its tasks
            for (auto& [task, run] : worker.tasks) {
                if (run.state != TaskState::running || run.ends_at > now) continue;
                run.state = TaskState::exited;
                run.cause = core::ExitCause::done;
                worker.free += cluster.job_table.find(task.job)->job.resources;
            }
        }
    }
    void receive_heartbeats() {
        int worker_index = 0;
        for (auto& [id, worker] : workers) {
            if (worker.partitioned || (++worker_index + now) % kHeartbeatSeconds != 0) continue;
            worker.last_answer = now;
            ++worker.heartbeat.heartbeat_sequence;
            worker.heartbeat.tasks.clear();
            for (const auto& [task, run] : worker.tasks) {
                auto status = test::task_status(task.job, task.task, run.attempt, run.state);
                status.cause = run.cause;
                worker.heartbeat.tasks.push_back(status);
            }
            if (worker_index % 7 == 0) duplicates.push_back(worker.heartbeat);
            EXPECT_TRUE(cluster.cluster_view.apply(worker.heartbeat, at(now), at(now)));
        }
    }
    // Handles heartbeats and expired leases as a shard owner does.
    void reconcile() {
        std::vector<std::pair<std::string, core::Chunk>> changed;
        for (const auto& [id, entry] : cluster.job_table.jobs()) {
            for (const auto& [index, chunk] : entry.chunks) {
                core::Chunk next = chunk;
                for (const auto& [task, attempt] : chunk.open) reconcile_attempt({id, task}, attempt, next);
                if (next.open.size() == chunk.open.size()) continue;
                next.mod_revision = ++revision_;
                changed.emplace_back(id, std::move(next));
            }
        }
        for (auto& [id, chunk] : changed) cluster.job_table.put_chunk(id, 0, std::move(chunk));
    }
    void reconcile_attempt(const TaskRef& task, const core::Attempt& attempt, core::Chunk& next) {
        const auto seen = core::view_attempt(cluster.cluster_view, task.job, task.task, attempt);
        const auto& machine = *cluster.cluster_view.find(attempt.machine);
        const bool lease_expired = at(now) - machine.last_answered_at > at(kLeaseSeconds + 1) - at(0);
        Worker& worker = workers.at(attempt.machine);
        if (seen.status == core::AttemptStatus::unlisted && !lease_expired) {
            worker.sent_starts.push_back({task.job, task.task, attempt});  // the same start command again
            return;
        }
        const bool exited = seen.status == core::AttemptStatus::exited;
        if (!exited && seen.status != core::AttemptStatus::lost && !lease_expired) return;
        next.open.erase(task.task);
        if (!exited) return;
        if (seen.cause == core::ExitCause::done) next.done.insert(task.task);
        worker.tasks.erase(task);
    }
    void place(const std::string& team) {
        core::Availability availability;
        availability.now = at(now);
        availability.unresponsive_after = Micros{1'000'000LL * (kHeartbeatSeconds + 2)};
        auto capacity = cluster.free_capacity(&availability);
        core::PlacementInput input = test::placement_input(cluster);
        input.own_teams = {team};
        input.now = input.wall_clock_now = at(now);
        input.max_starts = 1'000;
        input.max_records = 1'000;
        const auto result = core::place(input, capacity);
        std::map<std::string, core::Chunk> chunks;
        for (const auto& start : result.starts) {
            record_start(start, chunks);
            Worker& worker = workers.at(start.attempt.machine);
            worker.sent_starts.push_back(start);
            ++started[worker.heartbeat.zone];
        }
        for (auto& [id, chunk] : chunks) {
            chunk.mod_revision = ++revision_;
            cluster.job_table.put_chunk(id, 0, std::move(chunk));
        }
    }
    void record_start(const core::Start& start, std::map<std::string, core::Chunk>& chunks) const {
        const auto& recorded = cluster.job_table.find(start.job)->chunks;
        const auto [recorded_chunk, is_new] = chunks.try_emplace(start.job);
        core::Chunk& chunk = recorded_chunk->second;
        if (const auto old = recorded.find(0); is_new && old != recorded.end()) chunk = old->second;
        chunk.open[start.task] = start.attempt;
        chunk.last_attempt = std::max(chunk.last_attempt, start.attempt.number);
    }
    void deliver(Worker& worker, const std::vector<core::Start>& starts) const {
        for (const auto& start : starts) {
            const TaskRef task{start.job, start.task};
            if (start.attempt.incarnation != worker.heartbeat.incarnation || worker.tasks.contains(task))
                continue;
            worker.tasks[task] = begin_run(worker, start);
        }
    }
    Run begin_run(Worker& worker, const core::Start& start) const {
        Run run;
        run.attempt = start.attempt.number;
        const auto& job = cluster.job_table.find(start.job)->job;
        if (!job.resources.fits_in(worker.free)) {
            run.state = TaskState::exited;
            run.cause = core::ExitCause::no_room;
            return run;
        }
        worker.free -= job.resources;
        const bool is_service = job.kind == core::JobKind::service;
        run.ends_at = is_service ? kNever : now + 5 + static_cast<int>(start.task % 9);
        return run;
    }
    // Checks on the tasks that actually run: no task runs twice, spot restrictions and team limits hold.
    void check() const {
        std::map<TaskRef, std::string> machine_of;
        std::map<std::string, core::Resources> team_use;
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, run] : worker.tasks) {
                if (run.state == TaskState::exited) continue;
                const auto& job = cluster.job_table.find(task.job)->job;
                ASSERT_TRUE(machine_of.emplace(task, id).second)
                    << task.job << "/" << task.task << " runs twice";
                ASSERT_TRUE(job.spot || !worker.heartbeat.spot);
                team_use[job.team] += job.resources;
            }
        }
        for (const auto& [team, use] : team_use)
            ASSERT_LE(use.cpus, cluster.teams.at(team).cpus_max + core::kResourceTolerance);
    }

    core::Revision revision_ = 0;
};

// Injects the faults of the run, by second.
void inject_faults(Fleet& fleet, int second, std::mt19937& random) {
    if (second == 10) fleet.set_partitioned("b", true);
    if (second == 18)
        fleet.set_partitioned("b", false);  // before the leases expire: tasks there have kept running
    if (second == 14 || second == 30) {
        for (auto& [id, worker] : fleet.workers) {
            if (random() % 6 == 0 && !worker.partitioned) fleet.restart(worker);
        }
    }
    if (second == 34) fleet.set_partitioned("b", true);
    if (second == 64) fleet.set_partitioned("b", false);  // long after the leases have expired
}

TEST(FleetSize, PartitionedZoneAndMassRestartsViolateNoLimitAndLoseNoTask) {
    std::mt19937 random{20261};
    Fleet fleet{4'000};
    int jobs = 0;
    for (int second = 0; second < 170; ++second) {
        for (int i = 0; i < 12 && second < 64; ++i) fleet.submit(jobs++);
        inject_faults(fleet, second, random);
        fleet.started.clear();
        fleet.step();
        if (::testing::Test::HasFatalFailure()) return;
        // No task is started on unresponsive machines, and half the machines are not released at once.
        if (second >= 40 && second < 64) {
            EXPECT_EQ(fleet.started["b"], 0) << second;
            EXPECT_GT(fleet.started["a"], 0) << second;
            EXPECT_EQ(fleet.releasable_machine_count(), 0U) << second;
        }
        // Duplicate heartbeats are rejected, however late they arrive.
        if (second % 20 == 19) {
            for (const auto& stale : fleet.duplicates)
                EXPECT_FALSE(fleet.cluster.cluster_view.apply(stale, at(fleet.now), at(fleet.now)));
            fleet.duplicates.clear();
        }
    }
    EXPECT_EQ(fleet.tasks_left(), 0U) << "of " << jobs << " jobs";
    EXPECT_EQ(fleet.cluster.cluster_view.machines().size(), 4'000U);
}

}  // namespace
}  // namespace hatchwind
