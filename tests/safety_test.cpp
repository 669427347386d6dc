// Safety properties without input or output: stale heartbeats, released machines, keep-alives between
// controllers, rate limits and sustained overload.
#include <sstream>

#include "store/token_bucket.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using test::check_property;

constexpr Micros kStaleHeartbeatThreshold{26'000'000};

// Draws the heartbeats that one machine sends, in order.
std::vector<core::WorkerHeartbeat> draw_history(const std::string& machine) {
    std::vector<core::WorkerHeartbeat> history;
    auto next_heartbeat = test::heartbeat(machine, "small", "a");
    std::uint64_t attempt = 0;
    const int count = *rc::gen::inRange(2, 25);
    for (int i = 0; i < count; ++i) {
        ++next_heartbeat.heartbeat_sequence;
        switch (*rc::gen::inRange(0, 6)) {
            case 0:
                next_heartbeat.tasks.push_back(
                    test::task_status("req-" + std::to_string(*rc::gen::inRange(0, 3)), 0, ++attempt));
                break;
            case 1:
                if (!next_heartbeat.tasks.empty())
                    next_heartbeat.tasks.back().state = core::TaskState::exited;
                break;
            case 2:
                if (!next_heartbeat.tasks.empty()) next_heartbeat.tasks.erase(next_heartbeat.tasks.begin());
                break;
            case 3:
                ++next_heartbeat.incarnation;
                next_heartbeat.tasks.clear();
                break;
            case 4:
                ++next_heartbeat.fencing_token;
                break;
            default:
                break;
        }
        history.push_back(next_heartbeat);
    }
    return history;
}

bool same_tasks(const core::WorkerHeartbeat& left, const core::WorkerHeartbeat& right) {
    return left.incarnation == right.incarnation && left.tasks == right.tasks;
}

// Heartbeats arrive late, by seconds to much more than a lease, and duplicated. Guards against a stale
// heartbeat that replaces a newer one or makes a machine count as confirmed.
TEST(StaleHeartbeats, NeverOverrideNewerOnes) {
    check_property("copies in any order", [] {
        const auto history = draw_history("n-1");
        core::ClusterView cluster_view;
        std::size_t newest = 0;
        Micros now{1'000'000};
        Micros applied_at{};
        std::set<std::pair<std::string, std::uint64_t>> lost_attempts;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += Micros{*rc::gen::inRange(1, 90) * 1'000'000};
            const auto position = *rc::gen::inRange<std::size_t>(0, history.size());
            const bool applied =
                cluster_view.apply(history[position], now, Micros{0}, false, kStaleHeartbeatThreshold);
            RC_ASSERT(applied == (step == 0 || position > newest));
            if (applied) {
                newest = position;
                applied_at = now;
            }
            const auto* machine = cluster_view.find("n-1");
            RC_ASSERT(machine != nullptr && same_tasks(machine->last_heartbeat, history[newest]));
            RC_ASSERT(machine->last_heartbeat_at == applied_at);  // duplicates are ignored
            RC_ASSERT(!machine->confirmed);  // without an answer no heartbeat confirms the machine
            for (const auto& heartbeat : history) {
                for (const auto& task_status : heartbeat.tasks) {
                    const auto attempt =
                        core::view_attempt(cluster_view, task_status.job, task_status.task,
                                           {task_status.attempt, "n-1", heartbeat.incarnation});
                    const auto key = std::pair{task_status.job, task_status.attempt};
                    if (attempt.status == core::AttemptStatus::lost) lost_attempts.insert(key);
                    RC_ASSERT(!lost_attempts.contains(key) || attempt.status == core::AttemptStatus::lost);
                    const auto* listed = machine->task(task_status.job, task_status.task);
                    RC_ASSERT(attempt.status != core::AttemptStatus::live ||
                              (listed != nullptr && listed->attempt == task_status.attempt));
                }
            }
        }
    });
}

TEST(StaleHeartbeats, AMachineTakesTasksOnlyOnceItHasAnswered) {
    test::Cluster cluster;
    cluster.teams["x"] = {"x", 8, 24, 0, 0};
    cluster.job_table.put_job(test::job("req-1", "x", 1, 1), 1);
    core::PlacementInput input = test::placement_input(cluster);
    const auto starts = [&] {
        core::FreeCapacity capacity = cluster.free_capacity();
        return core::place(input, capacity).starts.size();
    };
    // The machine is unknown, so its first heartbeat may be a late duplicate from a machine that no longer
    // exists.
    cluster.cluster_view.apply(test::heartbeat("n-1", "small", "a"), cluster.now, cluster.now, false,
                               kStaleHeartbeatThreshold);
    EXPECT_EQ(starts(), 0U);
    auto heartbeat = test::heartbeat("n-1", "small", "a");
    heartbeat.heartbeat_sequence = 7;
    cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now, false, kStaleHeartbeatThreshold);
    EXPECT_EQ(starts(), 0U) << "two duplicates prove no more than one";
    auto answer = heartbeat;
    answer.heartbeat_sequence = 9;
    cluster.cluster_view.apply(answer, cluster.now, cluster.now, true, kStaleHeartbeatThreshold);
    EXPECT_EQ(starts(), 1U);
    // A heartbeat after a long gap may be a late duplicate from a machine that has failed since.
    cluster.now += kStaleHeartbeatThreshold * 2;
    input.now = input.wall_clock_now = cluster.now;
    heartbeat.heartbeat_sequence = 11;
    cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now, false, kStaleHeartbeatThreshold);
    EXPECT_EQ(starts(), 0U);
    cluster.cluster_view.confirm("n-1");
    EXPECT_EQ(starts(), 1U);
}

TEST(StaleHeartbeats, ReleasedMachineListIsBoundedAndDroppedMachinesTakeNoTasks) {
    core::ClusterView cluster_view;
    const auto name = [](int i) { return "n-" + std::to_string(100000 + i); };
    const int max_entries = static_cast<int>(core::ReleasedMachines::kMaxEntries);
    for (int i = 0; i <= max_entries; ++i) cluster_view.release(name(i), Micros{1});
    EXPECT_TRUE(cluster_view.released(name(max_entries)));
    EXPECT_TRUE(cluster_view.released(name(1)));
    EXPECT_FALSE(cluster_view.released(name(0))) << "kept for ever";
    EXPECT_FALSE(cluster_view.apply(test::heartbeat(name(max_entries), "small", "a"), Micros{1}, Micros{1},
                                    false, kStaleHeartbeatThreshold));
    EXPECT_EQ(cluster_view.find(name(max_entries)), nullptr);
    ASSERT_TRUE(cluster_view.apply(test::heartbeat(name(0), "small", "a"), Micros{1}, Micros{1}, false,
                                   kStaleHeartbeatThreshold));
    EXPECT_FALSE(cluster_view.find(name(0))->confirmed);
}

// A fleet of 4,000 machines is replaced five times within minutes, and late heartbeats of all of them may
// still arrive. Guards against a list that drops ids before the retention period is over.
TEST(ReleasedMachines, AreRetainedByTimeInLargeFleets) {
    constexpr int kFleet = 4'000;
    constexpr int kFleets = 5;
    const auto name = [](int i) { return "n-" + std::to_string(100000 + i); };
    core::ReleasedMachines released;
    for (int i = 0; i < kFleet * kFleets; ++i) EXPECT_TRUE(released.add(name(i), Micros{1}));
    EXPECT_FALSE(released.add(name(0), Micros{2}));
    for (int i = 0; i < kFleet * kFleets; ++i) ASSERT_TRUE(released.contains(name(i)));
    released.add("later", core::ReleasedMachines::kRetention + Micros{2});
    EXPECT_FALSE(released.contains(name(kFleet))) << "kept for ever";
    EXPECT_TRUE(released.contains("later"));
}

TEST(ReleasedMachines, AreReportedInBatchesExactlyOnce) {
    check_property("pieces", [] {
        core::ReleasedMachines released;
        std::vector<std::string> reported;
        std::uint64_t position = 0;
        int added = 0;
        const int steps = *rc::gen::inRange(1, 30);
        for (int step = 0; step < steps; ++step) {
            for (int more = *rc::gen::inRange(0, 20); more > 0; --more)
                released.add("n-" + std::to_string(added++), Micros{step});
            const auto update = released.since(position, *rc::gen::inRange<std::size_t>(0, 15));
            reported.insert(reported.end(), update.machines.begin(), update.machines.end());
            position = update.position;
        }
        const auto rest = released.since(position, core::ReleasedMachines::kMaxEntries);
        reported.insert(reported.end(), rest.machines.begin(), rest.machines.end());
        RC_ASSERT(static_cast<int>(reported.size()) == added);
        for (int i = 0; i < added; ++i)
            RC_ASSERT(reported[static_cast<std::size_t>(i)] == "n-" + std::to_string(i));
    });
}

// A controller receives full heartbeats and keep-alives from a peer; some are lost, some duplicated. Guards
// against a keep-alive that advances the heartbeat sequence past a task change that the controller has not
// received.
TEST(PeerMesh, KeepAlivesNeverHideAMissedChange) {
    check_property("lossy stream of whole and short reports", [] {
        const auto history = draw_history("n-1");
        core::ClusterView source;
        core::ClusterView replica;
        Micros now{1'000'000};
        std::map<std::pair<std::uint64_t, std::uint64_t>, core::WorkerHeartbeat> sent_heartbeats;
        for (const auto& heartbeat : history) {
            now += Micros{1'000'000};
            sent_heartbeats[{heartbeat.incarnation, heartbeat.heartbeat_sequence}] = heartbeat;
            source.apply(heartbeat, now, now);
            const auto& source_machine = *source.find("n-1");
            const bool full_heartbeat = source_machine.content_sequence == heartbeat.heartbeat_sequence;
            const int copies = *rc::gen::inRange(0, 3);
            for (int copy = 0; copy < copies; ++copy) {
                if (full_heartbeat) {
                    replica.apply(source_machine.last_heartbeat, now, now);
                } else {
                    replica.apply_keep_alive("n-1", heartbeat.incarnation, heartbeat.heartbeat_sequence,
                                             heartbeat.fencing_token, source_machine.content_sequence, now,
                                             now);
                }
            }
            if (const auto* replicated = replica.find("n-1")) {
                const auto& expected = sent_heartbeats.at(
                    {replicated->last_heartbeat.incarnation, replicated->last_heartbeat.heartbeat_sequence});
                RC_ASSERT(same_tasks(replicated->last_heartbeat, expected));
            }
        }
    });
}

// Guards against requests that overtake earlier ones, and against bursts above the limit.
TEST(TokenBucket, GrantsInOrderWithinItsRate) {
    check_property("arrivals at any times", [] {
        controller::TokenBucket bucket{10, 5};
        Micros now{1'000'000};
        std::vector<Micros> grant_times;
        const int count = *rc::gen::inRange(1, 80);
        for (int i = 0; i < count; ++i) {
            now += Micros{*rc::gen::inRange(0, 200'000)};
            const Micros wait = bucket.wait(1, now);
            bucket.spend(1, now);
            grant_times.push_back(now + wait);
        }
        RC_ASSERT(std::is_sorted(grant_times.begin(), grant_times.end()));
        for (std::size_t i = 0; i < grant_times.size(); ++i) {
            for (std::size_t k = i + 1; k < grant_times.size(); ++k) {
                const double span_s = static_cast<double>((grant_times[k] - grant_times[i]).count()) / 1e6;
                RC_ASSERT(static_cast<double>(k - i) <= 10 * span_s + 5 + 1e-3);
            }
        }
    });
}

// Four machines with 28 CPUs in total, to which about twice as much work is submitted as they can run: jobs
// of different priorities, small tasks, tasks as large as a machine, gangs, and jobs that have missed their
// objective.
class OverloadedCluster {
  public:
    OverloadedCluster() {
        cluster_.teams["x"] = {"x", 8, 400, 0, 0};
        cluster_.teams["y"] = {"y", 8, 400, 0, 0};
        cluster_.objectives = {{"finished", "c", 40, 0.9, 1}};
        for (int i = 0; i < 4; ++i) {
            const std::string id = "n-" + std::to_string(100 + i);
            heartbeats_[id] = test::heartbeat(id, i == 0 ? "big" : "small", i % 2 == 0 ? "a" : "b");
        }
    }

    // Simulates one second. Submits a job if `submits` is true.
    void step(bool submits) {
        cluster_.now += Micros{1'000'000};
        if (submits) submit(draw_job());
        end_tasks();
        commit();
        receive_heartbeats();
        place();
        commit();
        check_waiting_jobs();
    }

  private:
    // Maximum wait of a job before its first task starts: four minutes.
    static constexpr Micros kBound{240'000'000};

    core::Job draw_job() {
        auto job = test::job("req-" + std::to_string(1000 + jobs_++),
                             *rc::gen::element<std::string>("x", "y"), 1, 1);
        const int kind = *rc::gen::inRange(0, 10);
        job.accepted = cluster_.now;
        job.estimate_s = 10;
        job.priority = static_cast<core::Priority>(*rc::gen::inRange(0, 3));
        if (kind == 0) {  // as large as the largest machine
            job.resources = {16, 0, 16};
            job.priority = core::Priority::best_effort;
        } else if (kind == 1) {
            job.kind = core::JobKind::gang;
            job.resources = {4, 0, 4};
            job.tasks = 3;
        } else {
            job.resources = {*rc::gen::element(1.0, 2.0, 4.0), 0, 1};
            job.tasks = static_cast<std::uint32_t>(*rc::gen::inRange(4, 20));
        }
        return job;
    }
    void submit(const core::Job& job) {
        accepted_[job.id] = cluster_.now;
        cluster_.job_table.put_job(job, ++revision_);
    }
    void end_tasks() {
        for (auto& [id, heartbeat] : heartbeats_) {
            std::erase_if(heartbeat.tasks, [this](const core::TaskStatus& status) {
                const auto end = ends_at_.find({status.job, status.task});
                if (end == ends_at_.end() || end->second > cluster_.now) return false;
                ends_at_.erase(end);
                auto& chunk = changed_chunk(status.job);
                chunk.open.erase(status.task);
                chunk.done.insert(status.task);
                return true;
            });
        }
    }
    void receive_heartbeats() {
        for (auto& [id, heartbeat] : heartbeats_) {
            ++heartbeat.heartbeat_sequence;
            cluster_.cluster_view.apply(heartbeat, cluster_.now, cluster_.now);
        }
    }
    void place() {
        core::PlacementInput input = test::placement_input(cluster_);
        input.reservations = reservations_;
        input.max_stops = 0;
        core::FreeCapacity capacity = cluster_.free_capacity();
        auto result = core::place(input, capacity);
        reservations_ = std::move(result.reservations);
        for (const auto& start : result.starts) {
            auto& chunk = changed_chunk(start.job);
            chunk.open[start.task] = start.attempt;
            chunk.last_attempt = std::max(chunk.last_attempt, start.attempt.number);
            heartbeats_[start.attempt.machine].tasks.push_back(
                test::task_status(start.job, start.task, start.attempt.number));
            ends_at_[{start.job, start.task}] = cluster_.now + Micros{*rc::gen::inRange(5, 20) * 1'000'000};
            accepted_.erase(start.job);
        }
    }
    // Returns the job's first chunk with the changes that the next commit() writes.
    core::Chunk& changed_chunk(const std::string& job) {
        const auto& recorded = cluster_.job_table.find(job)->chunks;
        const auto it = recorded.find(0);
        return changed_.try_emplace(job, it == recorded.end() ? core::Chunk{} : it->second).first->second;
    }
    void commit() {
        for (auto& [job, chunk] : changed_) {
            chunk.mod_revision = ++revision_;
            cluster_.job_table.put_chunk(job, 0, chunk);
            if (cluster_.job_table.find(job)->finished()) cluster_.job_table.erase_job(job, ++revision_);
        }
        changed_.clear();
    }
    void check_waiting_jobs() const {
        for (const auto& [id, since] : accepted_) {
            if (cluster_.now - since > kBound) RC_FAIL(describe(cluster_.job_table.find(id)->job));
        }
    }
    std::string describe(const core::Job& job) const {
        std::ostringstream text;
        text << job.id << " has not begun: " << job.resources.cpus << " CPUs x " << job.tasks
             << (job.kind == core::JobKind::gang ? " gang" : "") << " at " << cluster_.now.count() << " us";
        for (const auto& [task, reservation] : reservations_)
            text << " reserved " << task.job << "/" << task.task << "@" << reservation.machine;
        const core::FreeCapacity capacity = cluster_.free_capacity();
        for (const auto& machine : capacity.machines())
            text << " free " << machine.id << "=" << machine.free.cpus;
        return text.str();
    }

    test::Cluster cluster_;
    std::map<std::string, core::WorkerHeartbeat> heartbeats_;
    std::map<core::TaskRef, Micros> ends_at_;
    std::map<std::string, Micros> accepted_;  // acceptance time of each job without a started task
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<std::string, core::Chunk> changed_;
    core::Revision revision_ = 0;
    int jobs_ = 0;
};

// Guards against starvation: every job has to start within four minutes, during the overload and after it.
TEST(Queue, EveryJobStartsWithinABoundUnderSustainedOverload) {
    check_property("begins within four minutes", [] {
        OverloadedCluster cluster;
        for (int second = 0; second < 420; ++second) cluster.step(second % 3 == 0 && second < 300);
    });
}

}  // namespace
}  // namespace hatchwind
