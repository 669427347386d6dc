// Stale heartbeats, one-way partitions, instant restarts and long overload, without input or output.
#include <sstream>

#include "store/token_bucket.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using test::holds;

constexpr Micros kDoubt{26'000'000};

// One machine's true history: its heartbeats in order.
std::vector<core::WorkerHeartbeat> draw_history(const std::string& machine) {
    std::vector<core::WorkerHeartbeat> out;
    auto r = test::heartbeat(machine, "small", "a");
    std::uint64_t attempt = 0;
    const int n = *rc::gen::inRange(2, 25);
    for (int i = 0; i < n; ++i) {
        ++r.heartbeat_sequence;
        switch (*rc::gen::inRange(0, 6)) {
            case 0:
                r.tasks.push_back(
                    test::task_status("req-" + std::to_string(*rc::gen::inRange(0, 3)), 0, ++attempt));
                break;
            case 1:
                if (!r.tasks.empty()) r.tasks.back().state = core::TaskState::exited;
                break;
            case 2:
                if (!r.tasks.empty()) r.tasks.erase(r.tasks.begin());
                break;
            case 3:
                ++r.incarnation;
                r.tasks.clear();
                break;
            case 4:
                ++r.fencing_token;
                break;
            default:
                break;
        }
        out.push_back(r);
    }
    return out;
}

bool same_tasks(const core::WorkerHeartbeat& a, const core::WorkerHeartbeat& b) {
    return a.incarnation == b.incarnation && a.tasks == b.tasks;
}

// Duplicates of heartbeats come late, from seconds to well over a lease, and more than once.
TEST(StaleHeartbeats, ChangeNothingThatANewerOneSaid) {
    holds("copies in any order", [] {
        const auto history = draw_history("n-1");
        core::ClusterView p;
        std::size_t newest = 0;
        Micros now{1'000'000};
        Micros changed{};
        std::set<std::pair<std::string, std::uint64_t>> gone;
        const int steps = *rc::gen::inRange(1, 60);
        for (int s = 0; s < steps; ++s) {
            now += Micros{*rc::gen::inRange(1, 90) * 1'000'000};
            const auto i = *rc::gen::inRange<std::size_t>(0, history.size());
            const bool news = p.apply(history[i], now, Micros{0}, false, kDoubt);
            RC_ASSERT(news == (s == 0 || i > newest));
            if (news) {
                newest = i;
                changed = now;
            }
            const auto* m = p.find("n-1");
            RC_ASSERT(m != nullptr && same_tasks(m->last_heartbeat, history[newest]));
            RC_ASSERT(m->last_heartbeat_at == changed);  // a duplicate proves nothing
            RC_ASSERT(!m->confirmed);                    // and however many come, they prove none
            for (const auto& r : history) {
                for (const auto& t : r.tasks) {
                    const auto v = core::view_attempt(p, t.job, t.task, {t.attempt, "n-1", r.incarnation});
                    const auto key = std::pair{t.job, t.attempt};
                    if (v.status == core::AttemptStatus::gone) gone.insert(key);
                    RC_ASSERT(!gone.contains(key) || v.status == core::AttemptStatus::gone);
                    const auto* listed = m->task(t.job, t.task);
                    RC_ASSERT(v.status != core::AttemptStatus::live ||
                              (listed != nullptr && listed->attempt == t.attempt));
                }
            }
        }
    });
}

TEST(StaleHeartbeats, AMachineTakesTasksOnlyOnceItHasAnswered) {
    test::Cluster c;
    c.teams["x"] = {"x", 8, 24, 0, 0};
    c.job_table.put_job(test::job("req-1", "x", 1, 1), 1);
    core::PlacementInput in = test::placement_input(c);
    const auto starts = [&] {
        core::FreeCapacity capacity = c.free_capacity();
        return core::place(in, capacity).starts.size();
    };
    // Nobody here knows this machine: its heartbeat may be a minute old, and the machine gone.
    c.cluster_view.apply(test::heartbeat("n-1", "small", "a"), c.now, c.now, false, kDoubt);
    EXPECT_EQ(starts(), 0U);
    auto copy = test::heartbeat("n-1", "small", "a");
    copy.heartbeat_sequence = 7;
    c.cluster_view.apply(copy, c.now, c.now, false, kDoubt);
    EXPECT_EQ(starts(), 0U) << "two duplicates prove no more than one";
    auto answer = copy;
    answer.heartbeat_sequence = 9;
    c.cluster_view.apply(answer, c.now, c.now, true, kDoubt);
    EXPECT_EQ(starts(), 1U);
    // Heard again after a long silence: it may be the last word of a machine that died then.
    c.now += kDoubt * 2;
    in.now = in.wall_clock_now = c.now;
    copy.heartbeat_sequence = 11;
    c.cluster_view.apply(copy, c.now, c.now, false, kDoubt);
    EXPECT_EQ(starts(), 0U);
    c.cluster_view.confirm("n-1");
    EXPECT_EQ(starts(), 1U);
}

TEST(StaleHeartbeats, MemoryOfReleasedMachinesIsBoundedAndWhatIsForgottenIsNotUsed) {
    core::ClusterView p;
    const auto name = [](int i) { return "n-" + std::to_string(100000 + i); };
    const int most = static_cast<int>(core::ReleasedMachines::kMaxEntries);
    for (int i = 0; i <= most; ++i) p.release(name(i), Micros{1});
    EXPECT_TRUE(p.released(name(most)));
    EXPECT_TRUE(p.released(name(1)));
    EXPECT_FALSE(p.released(name(0))) << "kept for ever";
    EXPECT_FALSE(p.apply(test::heartbeat(name(most), "small", "a"), Micros{1}, Micros{1}, false, kDoubt));
    EXPECT_EQ(p.find(name(most)), nullptr);
    ASSERT_TRUE(p.apply(test::heartbeat(name(0), "small", "a"), Micros{1}, Micros{1}, false, kDoubt));
    EXPECT_FALSE(p.find(name(0))->confirmed);
}

// A fleet of 4,000 machines that is replaced several times over within minutes: late heartbeats of all of
// them may still be under way.
TEST(ReleasedMachines, AreKeptByTimeAndNotByNumber) {
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

TEST(ReleasedMachines, ArePassedOnPieceByPieceAndOnce) {
    holds("pieces", [] {
        core::ReleasedMachines released;
        std::vector<std::string> told;
        std::uint64_t position = 0;
        int added = 0;
        const int steps = *rc::gen::inRange(1, 30);
        for (int step = 0; step < steps; ++step) {
            for (int more = *rc::gen::inRange(0, 20); more > 0; --more)
                released.add("n-" + std::to_string(added++), Micros{step});
            const auto news = released.since(position, *rc::gen::inRange<std::size_t>(0, 15));
            told.insert(told.end(), news.machines.begin(), news.machines.end());
            position = news.position;
        }
        const auto rest = released.since(position, core::ReleasedMachines::kMaxEntries);
        told.insert(told.end(), rest.machines.begin(), rest.machines.end());
        RC_ASSERT(static_cast<int>(told.size()) == added);
        for (int i = 0; i < added; ++i)
            RC_ASSERT(told[static_cast<std::size_t>(i)] == "n-" + std::to_string(i));
    });
}

// Another controller receives whole heartbeats and keep-alives; some are lost, some come again. Whatever it
// believes of a machine's tasks at a heartbeat sequence must be what they were then.
TEST(PeerMesh, KeepAlivesNeverHideAMissedChange) {
    holds("lossy stream of whole and short reports", [] {
        const auto history = draw_history("n-1");
        core::ClusterView source;
        core::ClusterView mirror;
        Micros now{1'000'000};
        std::map<std::pair<std::uint64_t, std::uint64_t>, core::WorkerHeartbeat> truth;
        for (const auto& r : history) {
            now += Micros{1'000'000};
            truth[{r.incarnation, r.heartbeat_sequence}] = r;
            source.apply(r, now, now);
            const auto& m = *source.find("n-1");
            const bool whole = m.content_sequence == r.heartbeat_sequence;
            const int copies = *rc::gen::inRange(0, 3);
            for (int k = 0; k < copies; ++k) {
                if (whole) {
                    mirror.apply(m.last_heartbeat, now, now);
                } else {
                    mirror.apply_keep_alive("n-1", r.incarnation, r.heartbeat_sequence, r.fencing_token,
                                            m.content_sequence, now, now);
                }
            }
            if (const auto* seen = mirror.find("n-1")) {
                const auto& then =
                    truth.at({seen->last_heartbeat.incarnation, seen->last_heartbeat.heartbeat_sequence});
                RC_ASSERT(same_tasks(seen->last_heartbeat, then));
            }
        }
    });
}

// Later requests wait longer, however many there are; and the limit holds.
TEST(TokenBucket, KeepsItsOrderAndItsRate) {
    holds("arrivals at any times", [] {
        controller::TokenBucket b{10, 5};
        Micros now{1'000'000};
        std::vector<Micros> turns;
        const int n = *rc::gen::inRange(1, 80);
        for (int i = 0; i < n; ++i) {
            now += Micros{*rc::gen::inRange(0, 200'000)};
            const Micros wait = b.wait(1, now);
            b.spend(1, now);
            turns.push_back(now + wait);
        }
        RC_ASSERT(std::is_sorted(turns.begin(), turns.end()));
        for (std::size_t i = 0; i < turns.size(); ++i) {
            for (std::size_t k = i + 1; k < turns.size(); ++k) {
                const double span = static_cast<double>((turns[k] - turns[i]).count()) / 1e6;
                RC_ASSERT(static_cast<double>(k - i) <= 10 * span + 5 + 1e-3);
            }
        }
    });
}

// Four machines of 28 CPUs in all, to which about twice as much is submitted as they can do: production,
// small urgent tasks, wide ones, gangs, and jobs that have missed their objective.
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

    // One second, in which a job may be submitted.
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
    // Four minutes, and what the longest of the tasks then running takes.
    static constexpr Micros kBound{240'000'000};

    core::Job draw_job() {
        auto job = test::job("req-" + std::to_string(1000 + jobs_++),
                             *rc::gen::element<std::string>("x", "y"), 1, 1);
        const int kind = *rc::gen::inRange(0, 10);
        job.accepted = cluster_.now;
        job.estimate_s = 10;
        job.priority = static_cast<core::Priority>(*rc::gen::inRange(0, 3));
        if (kind == 0) {  // as wide as the largest machine
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
        input.most_stops = 0;
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
    // The first chunk of the job, as it will be committed.
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
    std::map<std::string, Micros> accepted_;  // jobs that have not begun
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<std::string, core::Chunk> changed_;
    core::Revision revision_ = 0;
    int jobs_ = 0;
};

// Each job begins within a bound, for as long as the overload lasts and after it.
TEST(Queue, UnderLastingOverloadEveryJobBeginsWithinABound) {
    holds("begins within four minutes", [] {
        OverloadedCluster cluster;
        for (int second = 0; second < 420; ++second) cluster.step(second % 3 == 0 && second < 300);
    });
}

}  // namespace
}  // namespace hatchwind
