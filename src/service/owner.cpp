#include "service/owner.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "service/attempt_page_split.hpp"

namespace hatchwind::service {

using core::ExitCause;
using core::Fate;
using core::TaskState;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kResendStart{1'200'000};
constexpr Micros kResendStop{1'000'000};
constexpr Micros kCompletionsWait{4'000'000};
constexpr Micros kEmptyPages{3'000'000};
constexpr double kChunksPerPage = 4;  // about so many are written together
// A page is written and read whole on every node for each change: larger ones save writes and cost time. So
// much may be read a second by a node with a whole core, at the store's full rate of writes; a small node
// with 14 KiB to each page spent its time on reading.
constexpr double kReadBytes = 2.4e6;
constexpr std::size_t kLeastPageBytes = 5 * 1024;

constexpr Micros kRefusedGroup{10'000'000};  // how long units go one by one after a group was refused
constexpr Micros kRefusedUnit{2'000'000};    // how long a unit waits that was refused by itself

// What a page is filled up to, for writes and reads to cost little.
std::size_t affordable_page_bytes(const Settings& s) {
    const auto affordable = static_cast<std::size_t>(kReadBytes * s.cpu_share / s.state_write_rps);
    return std::min(std::max(affordable, kLeastPageBytes), s.value_bytes());
}
constexpr std::size_t kTxnBytes = 56 * 1024;  // of the JSON form
}  // namespace

Owner::Record& Owner::stage(Staged& s, const core::JobEntry& e, std::uint32_t chunk) {
    const auto [it, fresh] = s.chunks.try_emplace({e.job.id, chunk});
    if (fresh) {
        if (const auto c = e.chunks.find(chunk); c != e.chunks.end()) it->second.chunk = c->second;
    }
    return it->second;
}

void Owner::close(Staged& s, const core::JobEntry& e, std::uint32_t chunk, std::uint32_t task,
                  const core::Attempt& a, bool done) {
    Record& r = stage(s, e, chunk);
    r.closed.push_back({e.job.id, task, a});
    // A task that has to start again waits for this record; one that is done waits for nothing.
    r.urgent = r.urgent || !done;
    if (done) r.chunk.done.insert(task);
    r.chunk.open.erase(task);
}

void Owner::note_exit(const core::JobEntry& e, const core::Attempt& a, ExitCause cause) {
    const Micros now = steady_now();
    FailureRecord& m = machine_failures_[a.machine];
    switch (cause) {
        case ExitCause::done:
            machine_failures_.erase(a.machine);
            job_failures_.erase(e.job.id);
            break;
        case ExitCause::no_room:
            // Another owner was faster; its record arrives by the watch.
            m.until = std::max(m.until, now + Micros{1'000'000});
            break;
        case ExitCause::busy:
            spdlog::info("event=start_refused cause=in_use job={} machine={}", e.job.id, a.machine);
            m.until = std::max(m.until, now + Micros{5'000'000});
            break;
        case ExitCause::unknown:
            job_failures_[e.job.id].until = now + Micros{3'000'000};
            break;
        case ExitCause::error: {
            // A faulty machine fails many jobs' tasks, a job with a mistake fails on many machines: both are
            // tried ever more seldom, and neither stops the other for long.
            FailureRecord& j = job_failures_[e.job.id];
            j.errors = std::min(j.errors + 1, 6);
            j.jobs.insert(a.machine);
            if (j.jobs.size() >= 2) j.until = now + Micros{500'000} * (1 << j.errors);
            m.jobs.insert(e.job.id);
            m.errors = std::min(m.errors + 1, 6);
            // Errors of jobs that fail elsewhere too say little about this machine.
            const bool machine_suspect = m.jobs.size() >= 2 || j.jobs.size() < 2;
            if (machine_suspect) m.until = now + Micros{2'000'000} * (1 << m.errors);
            spdlog::info("event=task_error job={} machine={} job_errors={} machine_errors={}", e.job.id,
                         a.machine, j.errors, m.errors);
            break;
        }
        default:
            break;
    }
}

void Owner::stop(const std::string& job, std::uint32_t task, const core::Attempt& a, double grace_s,
                 Micros every) {
    Memo& memo = memos_[{job, task}];
    const Micros now = steady_now();
    if (memo.number != a.number) memo = Memo{a.number, Micros{0}, Micros{0}};
    if (now - memo.last_stop < every) return;
    memo.last_stop = now;
    workers_.order(a.machine, a.session, {core::OrderKind::stop, job, task, a.number, grace_s});
}

Owner::Place Owner::look_at(const core::MachineView* view, Micros now) const {
    // Whatever its last report said of its tasks: when many machines fall silent at once nobody releases
    // them, and what ran on them has ended with their leases. One that reports has a lease.
    const Micros since{static_cast<std::int64_t>(std::max(3.0, node_.settings.report_s * 1.5) * 1e6)};
    const bool quiet = view == nullptr || now - view->changed > since;
    return {view, quiet, now};
}

bool Owner::settle_attempt(Staged& s, const core::JobEntry& e, std::uint32_t task, const core::Attempt& a,
                           const Place& at) {
    const Micros now = at.now;
    const core::MachineView* view = at.view;
    const std::uint32_t chunk = task / core::kChunkTasks;
    const auto v = view == nullptr ? core::view_attempt(node_.picture, e.job.id, task, a)
                                   : core::view_attempt(*view, e.job.id, task, a.number, a.session);
    const bool ended = v.fate == Fate::exited || v.fate == Fate::gone;
    if (at.quiet && !ended && node_.lease_over(a.machine, a.session, io::wall_now())) {
        spdlog::info("event=lease_over job={} task={} machine={}", e.job.id, task, a.machine);
        close(s, e, chunk, task, a, false);
        return false;
    }
    switch (v.fate) {
        case Fate::exited:
            note_exit(e, a, v.cause);
            close(s, e, chunk, task, a, v.cause == ExitCause::done && e.job.kind != core::JobKind::service);
            return false;
        case Fate::gone:
            close(s, e, chunk, task, a, false);
            return false;
        case Fate::silent:
        case Fate::unlisted: {
            if (v.fate == Fate::silent) return false;
            Memo& memo = memos_[{e.job.id, task}];
            if (memo.number != a.number) memo = Memo{a.number, Micros{0}, Micros{0}};
            if (e.job.cancelled) {
                // Not started, and nothing of it under way under any token that the worker still takes.
                if (!workers_.start_pending(e.job.id, task, a.number) &&
                    view->last.token >= node_.epoch.number) {
                    close(s, e, chunk, task, a, false);
                } else if (now - memo.last_stop >= kResendStop) {
                    // Brings the worker to this token, and ends a start that is under way as soon as it
                    // arrives: the same start first, so that the stop has something to end.
                    memo.last_stop = now;
                    if (workers_.start_pending(e.job.id, task, a.number)) {
                        workers_.order(a.machine, a.session,
                                       {core::OrderKind::start, e.job.id, task, a.number, 0});
                    }
                    workers_.order(a.machine, a.session,
                                   {core::OrderKind::stop, e.job.id, task, a.number, 0});
                }
                return false;
            }
            // A repeated start is harmless until a reap, and reaps follow the committed end only.
            if (now - memo.last_start >= kResendStart) {
                memo.last_start = now;
                workers_.order(a.machine, a.session, {core::OrderKind::start, e.job.id, task, a.number, 0});
            }
            return false;
        }
        case Fate::live:
            break;
    }
    if (e.job.cancelled) {
        stop(e.job.id, task, a, 0, kResendStop);
        return false;
    }
    const bool saves = e.job.checkpoint_s > 0 && v.state == TaskState::running;
    if (view->notice_until && v.state != TaskState::saving) {
        // The cloud takes the machine: save at the last moment that surely suffices; what cannot save runs
        // on.
        const Micros need{static_cast<std::int64_t>((e.job.save_s + 3.0) * 1e6)};
        if (saves && *view->notice_until - now < need)
            stop(e.job.id, task, a, e.job.save_s + 1.0, kResendStop * 5);
        if (v.state == TaskState::fetching) stop(e.job.id, task, a, 0, kResendStop);
    } else if (node_.draining.contains(a.machine) && v.state != TaskState::saving) {
        // Draining: what saves is moved, services are moved, plain tasks may finish what they have done.
        if (saves) stop(e.job.id, task, a, e.job.save_s + 1.0, kResendStop * 5);
        if (e.job.kind == core::JobKind::service || v.state == TaskState::fetching)
            stop(e.job.id, task, a, 0, kResendStop);
    }
    return v.state != TaskState::saving && !view->notice_until && !node_.draining.contains(a.machine);
}

void Owner::settle_machines(Staged& s) {
    const Micros time = steady_now();
    spare_settled_.clear();
    spare_settled_.reserve(node_.ledger.by_machine().size());
    auto view = node_.picture.machines().begin();
    const auto views_end = node_.picture.machines().end();
    auto old = settled_.cbegin();
    for (const auto& [id, recorded] : node_.ledger.by_machine()) {
        while (view != views_end && view->first < id) ++view;
        while (old != settled_.cend() && old->machine < id) ++old;
        const bool known = view != views_end && view->first == id;
        const Place at = look_at(known ? &view->second : nullptr, time);
        Settled now{id, 0, 0, recorded.version, false};
        if (known) {
            now.session = view->second.last.session;
            now.content_tick = view->second.content_tick;
            now.calm = old != settled_.cend() && old->machine == id && old->calm &&
                       old->session == now.session && old->content_tick == now.content_tick &&
                       old->version == now.version && !at.quiet && !view->second.notice_until &&
                       !node_.draining.contains(id);
        }
        if (!now.calm) {
            now.calm = known;
            const core::JobEntry* last = nullptr;
            bool mine = false;
            for (const auto& [ref, held] : recorded.tasks) {
                // One machine's tasks are in the order of their jobs.
                if (held.entry != last) {
                    last = held.entry;
                    mine = node_.owns(last->job.team) && !last->job.cancelled;
                }
                if (!mine) continue;
                const core::Attempt a{held.number, id, held.session};
                if (!settle_attempt(s, *last, ref.task, a, at)) now.calm = false;
            }
        }
        spare_settled_.push_back(std::move(now));
    }
    std::swap(settled_, spare_settled_);
}

void Owner::settle_cancelled(Staged& s) {
    for (const auto& [id, e] : node_.ledger.jobs()) {
        if (!e.job.cancelled || e.open == 0 || !node_.owns(e.job.team)) continue;
        for (const auto& [i, c] : e.chunks) {
            for (const auto& [task, a] : c.open)
                settle_attempt(s, e, task, a, look_at(node_.picture.find(a.machine), steady_now()));
        }
    }
}

void Owner::settle(Staged& s) {
    // A node without a team has nobody's tasks to look after.
    if (std::none_of(node_.epoch.owners.begin(), node_.epoch.owners.end(),
                     [&](const auto& o) { return o.second == node_.self.label; }))
        return;
    settle_machines(s);
    settle_cancelled(s);
    for (const auto& [id, e] : node_.ledger.jobs()) {
        if (!node_.owns(e.job.team)) continue;
        std::uint32_t done = e.done;
        std::uint32_t open = e.open;
        for (auto it = s.chunks.lower_bound({id, 0}); it != s.chunks.end() && it->first.first == id; ++it) {
            const auto& c = it->second.chunk;
            const auto old = e.chunks.find(it->first.second);
            done += c.done.size() - (old == e.chunks.end() ? 0 : old->second.done.size());
            open -= static_cast<std::uint32_t>((old == e.chunks.end() ? 0 : old->second.open.size()) -
                                               c.open.size());
        }
        if (done == e.job.tasks || (e.job.cancelled && open == 0)) s.finished.push_back(id);
    }
}

std::size_t Owner::place(Staged& s, std::size_t records) {
    core::PlacementInput in;
    in.most_records = records;
    // A pass starts what one transaction records; more would hold up what comes after it.
    in.most_starts = std::max<std::size_t>(in.most_starts, node_.settings.txn_ops * 8);
    in.most_stops = std::max<std::size_t>(in.most_stops, node_.picture.machines().size() / 100);
    in.ledger = &node_.ledger;
    in.picture = &node_.picture;
    in.teams = &node_.settings.teams;
    in.objectives = &node_.settings.objectives;
    for (const auto& [name, team] : node_.settings.teams) {
        if (node_.owns(name)) in.own_teams.insert(name);
    }
    in.now = steady_now();
    in.wall = io::wall_now();
    bool any = false;
    for (const auto& [id, e] : node_.ledger.jobs()) {
        any = any || (e.unstarted() > 0 && !e.job.cancelled && in.own_teams.contains(e.job.team));
    }
    if (!any) return 0;
    for (const auto& [id, t] : job_failures_) in.job_backoff[id] = t.until;
    in.reservations = reservations_;
    std::erase_if(stopping_, [&](const auto& s) { return s.second <= in.now; });
    for (const auto& [ref, until] : stopping_) in.stopping.insert(ref);
    auto availability = node_.availability();
    for (const auto& [id, t] : machine_failures_) {
        if (t.until > in.now) availability.banned_until[id] = t.until;
    }
    core::FreeCapacity room = core::FreeCapacity::build(node_.picture, node_.ledger, *node_.catalog,
                                                        availability, &node_.free_capacity_cache);
    // FreeCapacity that another owner has cleared: without this the victim's owner, which hears of the exit
    // as soon as anyone, puts the task right back and is stopped again, over and over.
    std::erase_if(node_.foreign_holds, [&](const auto& h) {
        const core::Attempt* a = node_.ledger.open_attempt(h.first.job, h.first.task);
        return h.second.until <= in.now || (a != nullptr && a->machine == h.second.machine);
    });
    for (const auto& [ref, h] : node_.foreign_holds) in.foreign.push_back(h);
    auto result = core::place(in, room);
    room.recycle(node_.free_capacity_cache);
    for (const auto& [ref, r] : result.reservations) {
        // Told again before it runs out on the others' side.
        auto& told = announced_[ref];
        if (!node_.announce_hold || r.until - told < Micros{3'000'000}) continue;
        told = r.until;
        node_.announce_hold({r.machine, ref.job, ref.task, r.need.cpus, r.need.gpus, r.need.memory_gb,
                             static_cast<std::uint64_t>((r.until - in.now).count()), r.waiting});
    }
    reservations_ = std::move(result.reservations);
    std::erase_if(announced_, [&](const auto& a) { return !reservations_.contains(a.first); });
    for (const auto& st : result.starts) {
        const core::JobEntry& e = *node_.ledger.find(st.job);
        Record& r = stage(s, e, st.task / core::kChunkTasks);
        r.chunk.open[st.task] = st.attempt;
        r.chunk.last_attempt = std::max(r.chunk.last_attempt, st.attempt.number);
        r.started.push_back({st.job, st.task, st.attempt});
    }
    for (const auto& st : result.stops) {
        spdlog::debug("event=preempt job={} task={} machine={}", st.job, st.task, st.attempt.machine);
        stopping_[{st.job, st.task}] =
            in.now + Micros{2'000'000 + static_cast<std::int64_t>(st.grace_s * 1e6)};
        workers_.order(st.attempt.machine, st.attempt.session,
                       {core::OrderKind::stop, st.job, st.task, st.attempt.number, st.grace_s});
    }
    return result.deferred;
}

std::vector<Owner::Unit> Owner::units(Staged& s) {
    std::vector<Unit> out;
    const Micros now = steady_now();
    std::set<std::string> ending(s.finished.begin(), s.finished.end());
    // Finished jobs: the end state replaces the job's record in one step. What its pages say of it leaves
    // with their next writes.
    for (const auto& id : s.finished) {
        const core::JobEntry& e = *node_.ledger.find(id);
        const auto status = e.job.cancelled ? wire::JobStatus::cancelled : wire::JobStatus::done;
        std::uint32_t done = 0;
        Unit u;
        u.rank = 1;
        u.conditions.emplace_back(keys::job(id), e.stamp);
        u.effects.push_back({keys::job(id), std::nullopt, 0});
        for (const auto& [i, c] : e.chunks) {
            const auto st = s.chunks.find({id, i});
            done += st == s.chunks.end() ? c.done.size() : st->second.chunk.done.size();
        }
        u.extra.push_back({keys::final(id), wire::final_record(status, done), 0});
        for (auto it = s.chunks.lower_bound({id, 0}); it != s.chunks.end() && it->first.first == id;) {
            u.closed.insert(u.closed.end(), it->second.closed.begin(), it->second.closed.end());
            it = s.chunks.erase(it);
        }
        u.bytes = 300;
        out.push_back(std::move(u));
    }
    std::erase_if(waiting_since_, [&](const auto& w) { return !s.chunks.contains(w.first); });
    if (s.chunks.empty()) return out;

    // What the pages of this node's teams hold, at the most that their chunks may grow to.
    const std::size_t name = node_.picture.longest_name();
    const auto reserve = [&](const core::JobEntry& e, std::uint32_t chunk) {
        const std::uint32_t tasks = std::min(core::kChunkTasks, e.job.tasks - chunk * core::kChunkTasks);
        // What is done stays done, and takes less.
        const auto c = e.chunks.find(chunk);
        const std::uint32_t done = c == e.chunks.end() ? 0 : c->second.done.size();
        return 90 + e.job.id.size() + (tasks - done) * (name + 20) + done * 10;
    };
    const std::size_t room = affordable_page_bytes(node_.settings);
    // A transaction compares four keys for each that it writes: the epoch, the pages, and the rest for jobs.
    const std::size_t most_conditions = 3 * node_.settings.txn_ops - 1;
    std::map<core::AttemptPageKey, std::size_t> load;
    for (const auto& [key, page] : node_.ledger.pages()) {
        if (!node_.owns(key.first)) continue;
        std::size_t& sum = load[key];
        for (const auto& [job, chunk] : page.chunks) {
            const core::JobEntry* e = node_.ledger.find(job);
            if (e != nullptr && !ending.contains(job)) sum += reserve(*e, chunk);
        }
    }
    std::map<core::AttemptPageKey, std::vector<const core::ChunkKey*>> touched;
    for (const auto& [key, r] : s.chunks) {
        if (r.chunk.page != 0)
            touched[{node_.ledger.find(key.first)->job.team, r.chunk.page}].push_back(&key);
    }
    for (auto& [key, r] : s.chunks) {
        if (r.chunk.page != 0) continue;
        const core::JobEntry& e = *node_.ledger.find(key.first);
        const std::size_t need = reserve(e, key.second);
        // Pages that are written anyway first, then the emptiest, then a new one.
        const core::AttemptPageKey* at = nullptr;
        for (const auto& [page, chunks] : touched) {
            if (page.first == e.job.team && load[page] + need <= room) at = &page;
        }
        core::AttemptPageKey fresh{e.job.team, 1};
        if (at == nullptr) {
            std::size_t least = room;
            for (const auto& [page, sum] : load) {
                if (page.first != e.job.team) continue;
                if (page.second == fresh.second) ++fresh.second;
                if (sum + need <= least) {
                    least = sum + need;
                    at = &page;
                }
            }
        }
        const core::AttemptPageKey page = at == nullptr ? fresh : *at;
        load[page] += need;
        r.chunk.page = page.second;
        touched[page].push_back(&key);
    }
    for (const auto& [page, keys_here] : touched) {
        Unit u;
        u.rank = 5;
        std::map<core::ChunkKey, const core::Chunk*> content;
        const auto known = node_.ledger.pages().find(page);
        u.conditions.emplace_back(keys::page(page),
                                  known == node_.ledger.pages().end() ? 0 : known->second.stamp);
        if (known != node_.ledger.pages().end()) {
            for (const auto& chunk : known->second.chunks) {
                const core::JobEntry* e = node_.ledger.find(chunk.first);
                if (e != nullptr && !ending.contains(chunk.first))
                    content[chunk] = &e->chunks.at(chunk.second);
            }
        }
        for (const core::ChunkKey* key : keys_here) {
            Record& r = s.chunks.at(*key);
            const core::JobEntry& e = *node_.ledger.find(key->first);
            const bool production = e.job.priority == core::Priority::production;
            int rank = 0;
            if (!r.started.empty()) {
                if (u.conditions.size() >= most_conditions) continue;  // the next pass takes it
                rank = production ? 0 : 2;
                // A cancel that comes first must keep the start from being recorded; and so must the job's
                // end.
                const std::pair<std::string, core::Stamp> condition{keys::job(key->first), e.stamp};
                if (u.conditions.back() != condition) u.conditions.push_back(condition);
            } else {
                // Ends of tasks alone are told by the worker until they are reaped. They wait for company,
                // since each write of a page counts the same however much it says.
                const Micros since = waiting_since_.try_emplace(*key, now).first->second;
                rank = r.urgent ? (production ? 0 : 1) : now - since > kCompletionsWait ? 3 : 4;
            }
            u.rank = std::min(u.rank, rank);
            content[*key] = &r.chunk;
            u.keys.push_back(*key);
            u.closed.insert(u.closed.end(), r.closed.begin(), r.closed.end());
            u.started.insert(u.started.end(), r.started.begin(), r.started.end());
        }
        for (const auto& [key, c] : content)
            u.bytes += 60 + key.first.size() + c->open.size() * (name + 14) + c->done.ranges().size() * 8;
        write_page(u, page, content, load);
        out.push_back(std::move(u));
    }
    std::stable_sort(out.begin(), out.end(), [](const Unit& a, const Unit& b) { return a.rank < b.rank; });
    return out;
}

void Owner::write_page(Unit& u, const core::AttemptPageKey& page, const PageContent& content,
                       std::map<core::AttemptPageKey, std::size_t>& load) {
    const std::size_t limit = node_.settings.value_limit();
    if (u.bytes <= limit || page_bytes(content) <= limit) {
        u.effects.push_back({keys::page(page), wire::page_record(content), 0});
        return;
    }
    const auto parts = split_page(content, limit, node_.settings.txn_ops);
    spdlog::info("event=page_split page={} bytes={} parts={}", keys::page(page), page_bytes(content),
                 parts.size());
    u.effects.push_back({keys::page(page), wire::page_record(parts.front()), 0});
    core::AttemptPageKey fresh{page.first, 1};
    for (std::size_t i = 1; i < parts.size(); ++i) {
        while (load.contains(fresh) || node_.ledger.pages().contains(fresh)) ++fresh.second;
        load[fresh] = page_bytes(parts[i]);
        u.conditions.emplace_back(keys::page(fresh), 0);
        u.effects.push_back({keys::page(fresh), wire::page_record(parts[i]), 0});
    }
}

Task<bool> Owner::commit(std::vector<Unit> all) {
    std::erase_if(refused_, [now = steady_now()](const auto& r) { return r.second <= now; });
    std::erase_if(all, [&](const Unit& u) { return refused_.contains(u.effects.front().key); });
    const std::size_t most = node_.settings.txn_ops;
    std::size_t next = 0;
    while (next < all.size()) {
        Group group;
        wire::Transaction& t = group.transaction;
        t.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
        std::size_t bytes = 0;
        const std::size_t first = next;
        for (; next < all.size(); ++next) {
            Unit& u = all[next];
            const std::size_t writes = u.effects.size() + u.extra.size();
            if (next != first &&
                (steady_now() < single_units_until_ || t.writes.size() + writes > most ||
                 t.conditions.size() + u.conditions.size() > 4 * most || bytes + u.bytes > kTxnBytes)) {
                break;
            }
            t.conditions.insert(t.conditions.end(), u.conditions.begin(), u.conditions.end());
            for (const auto& w : u.extra) t.writes.push_back({w.key, w.value, 0});
            for (const auto& w : u.effects) t.writes.push_back({w.key, w.value, 0});
            bytes += u.bytes;
            group.units.push_back(std::move(u));
        }
        auto sending = send(std::move(group));
        const bool done = co_await std::move(sending);
        if (!done) co_return false;
    }
    co_return true;
}

Task<bool> Owner::send(Group group) {
    const core::Stamp epoch = group.transaction.conditions.front().second;
    const bool sent_before = in_doubt_.has_value();
    auto task = node_.state.commit(group.transaction, steady_now() + Micros{3'000'000});
    const CommitResult r = co_await std::move(task);
    if (r.outcome == Commit::done) {
        in_doubt_.reset();
        carried_out(group, r.revision);
        co_return true;
    }
    if (r.outcome == Commit::refused) {
        // Over a limit that is lower than known. One unit too large must not hold up the others.
        in_doubt_.reset();
        const Micros now = steady_now();
        if (group.units.size() > 1) {
            single_units_until_ = now + kRefusedGroup;
        } else {
            refused_[group.units.front().effects.front().key] = now + kRefusedUnit;
        }
        co_return false;
    }
    if (r.outcome == Commit::conflict) {
        in_doubt_.reset();
        auto reach =
            replica_.reach_conflict(group.transaction.conditions, r, steady_now() + Micros{2'000'000});
        const bool reached = co_await std::move(reach);
        if (reached && sent_before) reap_what_is_recorded(group);
        co_return false;
    }
    // Without an answer it may have been carried out, or may be later: the same again until there is an
    // answer. Its conditions make all but one copy fail. A refusal of the repeat says nothing about the first
    // copy (UserAnswers.ALateGroupCommitOfTheSameOwnerRecordsNothing).
    if (r.outcome == Commit::unknown || (sent_before && r.outcome == Commit::not_now)) {
        if (epoch == node_.epoch.stamp) in_doubt_ = std::move(group);
    } else {
        in_doubt_.reset();
    }
    co_await node_.loop.sleep(Micros{r.outcome == Commit::unknown ? 100'000 : 150'000});
    co_return false;
}

void Owner::carried_out(Group& group, core::Stamp revision) {
    const core::Stamp epoch = group.transaction.conditions.front().second;
    for (auto& unit : group.units) {
        for (auto& e : unit.effects) {
            e.stamp = revision;
            replica_.committed(e);
        }
        for (const auto& key : unit.keys) waiting_since_.erase(key);
        for (auto& c : unit.closed) to_reap_.push_back(std::move(c));
        // Recorded, so it may start; if this node is the owner no more, its order is void.
        if (!node_.acting() || epoch != node_.epoch.stamp) continue;
        for (const auto& st : unit.started) {
            // The answer may come long after the record, and a confirmed cancel in between
            // (UserAnswers.ACancelConfirmedBeforeTheStartsRecordIsAnsweredStartsNothing).
            const core::JobEntry* entry = node_.ledger.find(st.job);
            if (entry == nullptr || entry->job.cancelled) continue;
            memos_[{st.job, st.task}] = Memo{st.attempt.number, steady_now(), Micros{0}};
            workers_.order(st.attempt.machine, st.attempt.session,
                           {core::OrderKind::start, st.job, st.task, st.attempt.number, 0});
        }
    }
}

void Owner::reap_what_is_recorded(const Group& group) {
    for (const auto& unit : group.units) {
        for (const auto& c : unit.closed) {
            const core::Attempt* open = node_.ledger.open_attempt(c.job, c.task);
            if (open == nullptr || open->number != c.attempt.number) to_reap_.push_back(c);
        }
    }
}

void Owner::reap() {
    // The end is committed. The exited attempt leaves the worker's list once no copy of its start can arrive.
    std::erase_if(to_reap_, [&](const Closed& c) {
        if (workers_.start_pending(c.job, c.task, c.attempt.number)) return false;
        const auto v = core::view_attempt(node_.picture, c.job, c.task, c.attempt);
        if (v.fate == Fate::exited) {
            workers_.order(c.attempt.machine, c.attempt.session,
                           {core::OrderKind::forget, c.job, c.task, c.attempt.number, 0});
        }
        return true;
    });
    const Micros now = steady_now();
    if (now - last_sweep_ < Micros{2'000'000}) return;
    last_sweep_ = now;
    // Leftovers of earlier epochs. What is listed without an open record was closed by an earlier owner; its
    // starts carried a lower token, so once the worker has ours none of them can still take effect.
    std::map<std::tuple<std::string, std::string, std::uint32_t, std::uint64_t>, std::uint64_t> seen;
    for (const auto& [id, m] : node_.picture.machines()) {
        if (m.last.token < node_.epoch.number) continue;
        // A silent machine's last report may list what its lease has ended since.
        const bool heard = now - m.changed < node_.doubt_after();
        for (const auto& t : m.last.tasks) {
            const core::JobEntry* e = node_.ledger.find(t.job);
            if (e != nullptr ? !node_.owns(e->job.team) : !node_.leads()) continue;
            const core::Attempt* a = node_.ledger.open_attempt(t.job, t.task);
            if (a != nullptr && a->number == t.attempt && a->machine == id) continue;
            if (workers_.start_pending(t.job, t.task, t.attempt)) continue;
            const auto key = std::tuple{id, t.job, t.task, t.attempt};
            const auto before = strays_.find(key);
            // Nobody else has sent starts of this node's tasks under this epoch, and those of earlier ones
            // are void. Of a job that is over the owner's may be under way: only when first seen before this
            // epoch.
            const std::uint64_t first = before == strays_.end() ? node_.epoch.number : before->second;
            seen[key] = first;
            if (t.state == TaskState::exited) {
                if (e != nullptr || first < node_.epoch.number) {
                    workers_.order(id, m.last.session,
                                   {core::OrderKind::forget, t.job, t.task, t.attempt, 0});
                }
            } else if (before != strays_.end() && heard) {
                spdlog::warn("event=stray_task job={} task={} attempt={} machine={}", t.job, t.task,
                             t.attempt, id);
                workers_.order(id, m.last.session, {core::OrderKind::stop, t.job, t.task, t.attempt, 0});
            }
        }
    }
    strays_ = std::move(seen);
    std::erase_if(memos_, [&](const auto& m) {
        return node_.ledger.open_attempt(m.first.job, m.first.task) == nullptr;
    });
    std::erase_if(job_failures_, [&](const auto& t) { return node_.ledger.find(t.first) == nullptr; });
    std::erase_if(machine_failures_, [&](const auto& t) { return node_.picture.find(t.first) == nullptr; });
}

Task<void> Owner::run() {
    while (true) {
        co_await node_.work.wait(steady_now() + Micros{400'000});
        // Close changes share one pass and one group commit. A pass that takes long on this machine leaves
        // the time of four more to reports, users and renewals.
        co_await node_.loop.sleep(std::max(node_.tunables.pass_gap, 4 * last_pass_));
        if (!node_.acting() || !node_.catalog) continue;
        if (epoch_seen_ != node_.epoch.number) {
            epoch_seen_ = node_.epoch.number;
            memos_.clear();
            reservations_.clear();
            waiting_since_.clear();
            settled_.clear();
        }
        const Micros began = steady_now();
        Staged s;
        settle(s);
        // No copy of a transaction of an earlier epoch can be carried out any more.
        if (in_doubt_ && in_doubt_->transaction.conditions.front().second != node_.epoch.stamp)
            in_doubt_.reset();
        // Nothing new is placed in an outage.
        if (in_doubt_) {
            last_pass_ = steady_now() - began;
            if (node_.state.reachable(steady_now())) {
                Group again = *in_doubt_;
                auto task = send(std::move(again));
                co_await std::move(task);
                node_.work.notify_all();
            }
        } else if (node_.state.reachable(steady_now())) {
            // What the budget bears within half a second, but enough for one record of each sort.
            const double spare = std::max(0.0, node_.state.spare_writes());
            const double bear = std::max(6.0, spare + node_.state.write_rate() * 0.5);
            const std::size_t pressing = s.finished.size() * 2;
            const std::size_t deferred =
                place(s, static_cast<std::size_t>(
                             std::max(6.0, kChunksPerPage * (bear - static_cast<double>(pressing)))));
            auto all = units(s);
            double sum = 0;
            double left_out = 0;
            std::erase_if(all, [&](const Unit& u) {
                const auto writes = static_cast<double>(u.effects.size() + u.extra.size());
                // The last rank takes what would else go to waste.
                const bool out = sum > 0 && sum + writes > (u.rank >= 4 ? spare * 0.5 : bear);
                (out ? left_out : sum) += writes;
                return out;
            });
            node_.state.set_backlog(left_out + static_cast<double>(deferred));
            last_pass_ = std::min(steady_now() - began, Micros{1'000'000});
            spdlog::debug(
                "event=pass took_us={} units={} writes={} left_out={} deferred={} spare={:.1f} rate={:.1f}",
                last_pass_.count(), all.size(), sum, left_out, deferred, spare, node_.state.write_rate());
            if (!all.empty()) {
                auto task = commit(std::move(all));
                const bool ok = co_await std::move(task);
                // The room of the pass is used up by then: another pass sees what is left to do.
                if (ok) node_.work.notify_all();
            }
        } else {
            last_pass_ = steady_now() - began;
        }
        reap();
        // Pages that only speak of jobs that are over.
        if (steady_now() - last_emptied_ < kEmptyPages || !node_.acting() || node_.state.spare_writes() < 4)
            continue;
        last_emptied_ = steady_now();
        wire::Transaction t;
        std::vector<wire::StoreItem> effects;
        t.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
        for (const auto& [key, page] : node_.ledger.pages()) {
            if (!node_.owns(key.first) || t.writes.size() >= std::min<std::size_t>(3, node_.settings.txn_ops))
                continue;
            const bool used = std::any_of(page.chunks.begin(), page.chunks.end(), [&](const auto& c) {
                return node_.ledger.find(c.first) != nullptr;
            });
            if (used) continue;
            t.conditions.emplace_back(keys::page(key), page.stamp);
            t.writes.push_back({keys::page(key), std::nullopt, 0});
            effects.push_back({keys::page(key), std::nullopt, 0});
        }
        if (effects.empty()) continue;
        auto task = node_.state.commit(std::move(t), steady_now() + Micros{1'000'000});
        const CommitResult r = co_await std::move(task);
        if (r.outcome == Commit::done) {
            for (auto& e : effects) {
                e.stamp = r.revision;
                replica_.committed(e);
            }
        }
    }
}

}  // namespace hatchwind::service
