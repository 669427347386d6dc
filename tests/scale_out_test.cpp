// Four thousand machines against a model of what truly runs: a zone is partitioned and comes back, hundreds
// restart at once, delayed commands and duplicates of heartbeats arrive late. No sockets and no clocks:
// seconds are counted.
#include <random>

#include "core/failure_detection.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using core::TaskRef;
using core::TaskState;

constexpr int kLease = 12;  // seconds
constexpr int kReport = 2;

Micros at(int second) { return Micros{1'000'000LL * (100 + second)}; }

struct Run {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    core::ExitCause cause = core::ExitCause::none;
    int ends = 0;
};

struct Worker {
    core::WorkerHeartbeat report;  // as last sent
    core::Resources free;
    std::map<TaskRef, Run> tasks;
    bool dark = false;
    int heard = 0;  // when it last got an answer
    std::vector<core::Start> recorded_attempts;
};

class Fleet {
  public:
    explicit Fleet(int machines) {
        for (int i = 0; i < machines; ++i) {
            Worker w;
            const std::string id = "n-" + std::to_string(10'000 + i);
            w.report = test::heartbeat(id, i % 10 == 0 ? "big" : "small", i % 2 == 0 ? "a" : "b", i % 3 == 0);
            w.free = c.types.at(w.report.type).size;
            workers.emplace(id, std::move(w));
        }
        for (const char* team : {"x", "y", "z"}) c.teams[team] = {team, 2'000, 2'600, 0, 0};
    }

    void submit(int number) {
        auto j = test::job("req-" + std::to_string(1'000 + number), std::string(1, "xyz"[number % 3]),
                           number % 4 == 0 ? 8U : 60U, number % 4 == 0 ? 2.0 : 1.0);
        j.accepted = at(now);
        if (number % 4 == 0) {
            j.kind = core::JobKind::service;
            j.priority = core::Priority::production;
            j.spot = false;
            j.spread = true;
        }
        c.job_table.put_job(j, ++mod_revision);
    }

    void step() {
        ++now;
        run_tasks();
        hear();
        reconcile();
        for (const char* team : {"x", "y", "z"}) place(team);
        for (auto& [id, w] : workers) {
            if (!w.dark) deliver(w, std::exchange(w.recorded_attempts, {}));
        }
        check();
    }

    void darken(const std::string& zone, bool dark) {
        for (auto& [id, w] : workers) {
            if (w.report.zone == zone) w.dark = dark;
        }
    }
    // The machine is back at once, with nothing on it.
    void restart(Worker& w) {
        w.tasks.clear();
        w.free = c.types.at(w.report.type).size;
        ++w.report.incarnation;
        w.heard = now;
    }

    std::size_t silent_to_release() const {
        std::vector<core::SilentMachine> all;
        for (const auto& [id, m] : c.cluster_view.machines())
            all.push_back({id, at(now) - m.last_heartbeat_at, !c.job_table.on_machine(id).empty()});
        return core::releasable(all, Micros{1'000'000LL * (2 * kReport + 8)}, 0).size();
    }
    std::uint32_t left() const {
        std::uint32_t n = 0;
        for (const auto& [id, e] : c.job_table.jobs())
            n += e.job.kind == core::JobKind::service ? e.unstarted() : e.job.tasks - e.done;
        return n;
    }

    test::Cluster c;
    std::map<std::string, Worker> workers;
    std::vector<core::WorkerHeartbeat> copies;  // of heartbeats, that arrive late
    std::map<std::string, int> started;         // of each zone in this second
    int now = 0;

  private:
    void run_tasks() {
        for (auto& [id, w] : workers) {
            if (now - w.heard > kLease) restart(w);  // its lease is over: it kills what it has
            for (auto& [ref, r] : w.tasks) {
                if (r.state != TaskState::running || r.ends > now) continue;
                r.state = TaskState::exited;
                r.cause = core::ExitCause::done;
                w.free += c.job_table.find(ref.job)->job.resources;
            }
        }
    }
    void hear() {
        int turn = 0;
        for (auto& [id, w] : workers) {
            if (w.dark || (++turn + now) % kReport != 0) continue;
            w.heard = now;
            ++w.report.heartbeat_sequence;
            w.report.tasks.clear();
            for (const auto& [ref, r] : w.tasks) {
                core::TaskStatus t;
                t.job = ref.job;
                t.task = ref.task;
                t.attempt = r.attempt;
                t.state = r.state;
                t.cause = r.cause;
                w.report.tasks.push_back(t);
            }
            if (turn % 7 == 0) copies.push_back(w.report);
            EXPECT_TRUE(c.cluster_view.apply(w.report, at(now), at(now)));
        }
    }
    // What a shard owner does with what it hears, and with leases.
    void reconcile() {
        std::vector<std::pair<std::string, core::Chunk>> changed;
        for (const auto& [id, e] : c.job_table.jobs()) {
            for (const auto& [index, chunk] : e.chunks) {
                core::Chunk next = chunk;
                for (const auto& [task, a] : chunk.open) {
                    const auto v = core::view_attempt(c.cluster_view, id, task, a);
                    const bool over =
                        at(now) - c.cluster_view.find(a.machine)->heard > at(kLease + 1) - at(0);
                    if (v.status == core::AttemptStatus::unlisted && !over) {
                        workers.at(a.machine).recorded_attempts.push_back(
                            {id, task, a});  // the same start again
                    } else if (v.status == core::AttemptStatus::exited ||
                               v.status == core::AttemptStatus::gone || over) {
                        next.open.erase(task);
                        if (v.status == core::AttemptStatus::exited && v.cause == core::ExitCause::done)
                            next.done.insert(task);
                        if (v.status == core::AttemptStatus::exited)
                            workers.at(a.machine).tasks.erase({id, task});
                    }
                }
                if (next.open.size() == chunk.open.size()) continue;
                next.mod_revision = ++mod_revision;
                changed.emplace_back(id, std::move(next));
            }
        }
        for (auto& [id, chunk] : changed) c.job_table.put_chunk(id, 0, std::move(chunk));
    }
    void place(const std::string& team) {
        core::Availability a;
        a.now = at(now);
        a.silent_after = Micros{1'000'000LL * (kReport + 2)};
        auto capacity = c.free_capacity(&a);
        core::PlacementInput in = test::placement_input(c);
        in.own_teams = {team};
        in.now = in.wall_clock_now = at(now);
        in.most_starts = 1'000;
        in.most_records = 1'000;
        const auto out = core::place(in, capacity);
        std::map<std::string, core::Chunk> chunks;
        for (const auto& s : out.starts) {
            const auto& e = *c.job_table.find(s.job);
            const auto [it, fresh] = chunks.try_emplace(s.job);
            if (const auto old = e.chunks.find(0); fresh && old != e.chunks.end()) it->second = old->second;
            it->second.open[s.task] = s.attempt;
            it->second.last_attempt = std::max(it->second.last_attempt, s.attempt.number);
            workers.at(s.attempt.machine).recorded_attempts.push_back(s);
            ++started[workers.at(s.attempt.machine).report.zone];
        }
        for (auto& [id, chunk] : chunks) {
            chunk.mod_revision = ++mod_revision;
            c.job_table.put_chunk(id, 0, std::move(chunk));
        }
    }
    void deliver(Worker& w, std::vector<core::Start> starts) {
        for (const auto& s : starts) {
            const TaskRef ref{s.job, s.task};
            if (s.attempt.incarnation != w.report.incarnation || w.tasks.contains(ref)) continue;
            Run r;
            r.attempt = s.attempt.number;
            const auto& j = c.job_table.find(s.job)->job;
            if (!j.resources.fits_in(w.free)) {
                r.state = TaskState::exited;
                r.cause = core::ExitCause::no_room;
            } else {
                w.free -= j.resources;
                r.ends =
                    j.kind == core::JobKind::service ? 1'000'000 : now + 5 + static_cast<int>(s.task % 9);
            }
            w.tasks[ref] = r;
        }
    }
    // The rules, by what truly runs.
    void check() {
        std::map<TaskRef, std::string> where;
        std::map<std::string, core::Resources> use;
        for (const auto& [id, w] : workers) {
            for (const auto& [ref, r] : w.tasks) {
                if (r.state == TaskState::exited) continue;
                const auto& j = c.job_table.find(ref.job)->job;
                ASSERT_TRUE(where.emplace(ref, id).second) << ref.job << "/" << ref.task << " runs twice";
                ASSERT_TRUE(j.spot || !w.report.spot);
                use[j.team] += j.resources;
            }
        }
        for (const auto& [name, u] : use) ASSERT_LE(u.cpus, c.teams.at(name).cpus_max + 1e-6);
    }
    core::Revision mod_revision = 0;
};

TEST(FleetSize, APartitionedZoneAndHundredsOfRestartsBreakNoRuleAndLoseNothing) {
    std::mt19937 random{20261};
    Fleet f{4'000};
    int jobs = 0;
    for (int s = 0; s < 170; ++s) {
        for (int k = 0; k < 12 && s < 64; ++k) f.submit(jobs++);
        if (s == 10) f.darken("b", true);
        if (s == 18) f.darken("b", false);  // within the leases: what ran there has gone on
        if (s == 14 || s == 30) {
            for (auto& [id, w] : f.workers) {
                if (random() % 6 == 0 && !w.dark) f.restart(w);
            }
        }
        if (s == 34) f.darken("b", true);
        if (s == 64) f.darken("b", false);  // long after them
        f.started.clear();
        f.step();
        if (::testing::Test::HasFatalFailure()) return;
        // Nothing is placed on unresponsive machines, and nobody releases half the fleet.
        if (s >= 40 && s < 64) {
            EXPECT_EQ(f.started["b"], 0) << s;
            EXPECT_GT(f.started["a"], 0) << s;
            EXPECT_EQ(f.silent_to_release(), 0U) << s;
        }
        // Stale heartbeats change nothing, however late.
        if (s % 20 == 19) {
            for (const auto& r : f.copies) EXPECT_FALSE(f.c.cluster_view.apply(r, at(f.now), at(f.now)));
            f.copies.clear();
        }
    }
    EXPECT_EQ(f.left(), 0U) << "of " << jobs << " jobs";
    EXPECT_EQ(f.c.cluster_view.machines().size(), 4'000U);
}

}  // namespace
}  // namespace hatchwind
