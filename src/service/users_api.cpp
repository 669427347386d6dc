#include "service/users_api.hpp"

#include <spdlog/spdlog.h>

#include <set>

namespace hatchwind::service {

using io::HttpResponse;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {

constexpr std::size_t kSubmitting = 64;
constexpr std::size_t kPolling = 256;
constexpr std::size_t kJsonLimit = std::size_t{64} * 1024;

HttpResponse plain(int status) {
    HttpResponse r;
    r.status = status;
    return r;
}
HttpResponse retry_later(int status = 503) {
    HttpResponse r;
    r.status = status;
    r.retry_after_s = 1;
    return r;
}
HttpResponse with_body(int status, const wire::Json& v) {
    HttpResponse r;
    r.status = status;
    r.body = wire::encode(v);
    return r;
}

struct Counted {
    std::size_t& n;
    explicit Counted(std::size_t& c) : n(c) { ++n; }
    ~Counted() { --n; }
    Counted(const Counted&) = delete;
    Counted& operator=(const Counted&) = delete;
};

}  // namespace

std::optional<std::string> UsersApi::impossible(const core::Job& j) const {
    const auto team = node_.settings.teams.find(j.team);
    if (team == node_.settings.teams.end()) return "unknown team";
    std::set<std::string> zones;  // with machines that fit
    for (const auto& [name, t] : *node_.catalog) {
        if (!j.allows_type(name) || !j.need.fits_in(t.size)) continue;
        for (const auto& z : t.zones) {
            if (!j.zone || *j.zone == z) zones.insert(z);
        }
    }
    if (zones.empty()) return "fits no allowed machine type";
    // All tasks of a gang run at once; of other jobs as many may run as one zone takes.
    const bool one_zone = j.one_zone || zones.size() == 1;
    if (j.kind == core::JobKind::gang && one_zone && j.zone_cap() < j.tasks) return "can not be spread";
    const double k = j.kind == core::JobKind::array ? 1.0 : static_cast<double>(j.tasks);
    if (j.need.cpus * k > team->second.cpus_max + core::kSlack ||
        j.need.gpus * k > team->second.gpus_max + core::kSlack) {
        return "needs more than the team's limit";
    }
    return std::nullopt;
}

HttpResponse UsersApi::describe(const core::JobEntry& e, int status) const {
    std::uint32_t running = 0;
    for (const auto& [i, c] : e.chunks) {
        for (const auto& [task, a] : c.open) {
            const auto v = core::view_attempt(node_.cluster_view, e.job.id, task, a);
            running += v.fate == core::Fate::live && v.state == core::TaskState::running ? 1 : 0;
        }
    }
    const auto s = e.job.cancelled ? wire::JobStatus::cancelled
                   : running > 0   ? wire::JobStatus::running
                                   : wire::JobStatus::queued;
    return with_body(status, wire::job_answer(e.job.id, s, e.done, running));
}

HttpResponse UsersApi::confirm_cancel(const std::string& id) const {
    const core::JobEntry* entry = node_.ledger.find(id);
    if (entry != nullptr && entry->job.cancelled && node_.announce_cancel) {
        node_.announce_cancel({{{id, entry->stamp, entry->job.cancelled_at.count()}}});
    }
    return with_body(200, wire::job_answer(id, wire::JobStatus::cancelled));
}

Task<Lookup> UsersApi::describe_unfinished(std::string id, HttpResponse& answer, Micros deadline) {
    const core::JobEntry* entry = node_.ledger.find(id);
    if (entry != nullptr && entry->job.waiting() && !entry->job.cancelled) {
        auto task = waiting_jobs_.cancelled_by_need(id, deadline);
        const auto verdict = co_await std::move(task);
        if (verdict == WaitingJobs::Verdict::undecided) co_return Lookup::failed;
        if (verdict == WaitingJobs::Verdict::cancelled) {
            answer = with_body(200, wire::job_answer(id, wire::JobStatus::cancelled, 0, 0));
            co_return Lookup::found;
        }
        entry = node_.ledger.find(id);
    }
    if (entry == nullptr) co_return Lookup::absent;
    answer = describe(*entry, 200);
    co_return Lookup::found;
}

Task<Lookup> UsersApi::current_state(std::string id, HttpResponse& answer, Micros deadline) {
    if (finals_.known(id) == nullptr && node_.ledger.find(id) != nullptr) {
        auto index = replica_.caught_up(deadline);
        const bool current = co_await std::move(index);
        if (!current) co_return Lookup::failed;
        auto describing = describe_unfinished(id, answer, deadline);
        const Lookup described = co_await std::move(describing);
        if (described != Lookup::absent) co_return described;
    }
    // Final states never change, so one read serves what has ended. With a read index before it, a slow state
    // service took longer than users wait, and only they were never answered
    // (UserAnswers.AnEndedJobIsAnsweredWhileTheStateServiceIsSlow).
    FinalState final_state;
    core::Stamp revision = 0;
    auto first = finals_.find(id, final_state, revision, deadline);
    Lookup found = co_await std::move(first);
    if (found == Lookup::absent) {
        // That answer is a read index itself: what was accepted before it and had not ended is in the copy.
        auto reach = replica_.reach(revision, deadline);
        const bool current = co_await std::move(reach);
        if (!current) co_return Lookup::failed;
        auto describing = describe_unfinished(id, answer, deadline);
        const Lookup described = co_await std::move(describing);
        if (described != Lookup::absent) co_return described;
        // The copy may be past that revision by now, and the job may have come and ended in between.
        auto second = finals_.find(id, final_state, revision, deadline);
        found = co_await std::move(second);
    }
    if (found == Lookup::found)
        answer = with_body(200, wire::job_answer(id, final_state.status, final_state.done, 0));
    co_return found;
}

Task<HttpResponse> UsersApi::refuse_unless_accepted(std::string id, HttpResponse refusal) {
    if (finals_.known(id) == nullptr && (!node_.synced || !node_.state.reachable(steady_now())))
        co_return retry_later();
    HttpResponse answer;
    auto lookup = current_state(id, answer, steady_now() + Micros{2'500'000});
    const Lookup found = co_await std::move(lookup);
    if (found == Lookup::found) co_return answer;
    // Unknown is never "no".
    co_return found == Lookup::absent ? refusal : retry_later();
}

// Not split yet: one check after the other, each with its answer.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
Task<HttpResponse> UsersApi::submit(io::HttpRequest request) {
    if (request.body_too_large) co_return plain(400);
    if (submitting_ >= kSubmitting) co_return retry_later(429);
    const Counted counted{submitting_};
    const auto v = wire::decode(request.body);
    if (!v) co_return plain(400);
    // Limits count the JSON form, which is never much shorter than the CBOR form.
    if (request.body.size() > kJsonLimit / 8 &&
        v->dump(-1, ' ', false, wire::Json::error_handler_t::replace).size() > kJsonLimit) {
        co_return plain(400);
    }
    auto parsed = wire::parse_submission(*v);
    if (const auto* wrong = std::get_if<std::string>(&parsed)) {
        HttpResponse refusal = with_body(400, {{"error", "invalid field " + *wrong}});
        std::string named = wire::text(*v, "id").value_or("");
        if (!wire::is_job_id(named)) co_return refusal;
        auto answer = refuse_unless_accepted(std::move(named), std::move(refusal));
        HttpResponse response = co_await std::move(answer);
        co_return response;
    }
    core::Job job = std::get<core::Job>(std::move(parsed));
    const std::string id = job.id;
    // What was accepted once is neither refused nor accepted anew, whatever the settings and the catalog say
    // of it by now.
    const bool known = finals_.known(id) != nullptr || node_.ledger.find(id) != nullptr;
    const std::optional<std::string> why = known || !node_.catalog ? std::nullopt : impossible(job);
    if (known || !node_.catalog || why) {
        HttpResponse refusal = why ? with_body(422, {{"error", *why}}) : retry_later();
        auto answer = refuse_unless_accepted(id, std::move(refusal));
        HttpResponse response = co_await std::move(answer);
        co_return response;
    }
    if (!node_.synced) co_return retry_later();
    if (job.types) {
        // Types that the cloud does not have add nothing, and a long list would pass the value limit.
        std::set<std::string> named;
        std::erase_if(*job.types, [&](const std::string& type) {
            return !node_.catalog->contains(type) || !named.insert(type).second;
        });
    }
    if (!node_.state.reachable(steady_now())) co_return retry_later();
    const Micros deadline = steady_now() + Micros{2'500'000};
    bool cancelled_by_need = false;
    if (!job.awaits.empty()) {
        auto settling = waiting_jobs_.settle_needs(job, deadline);
        const auto needs = co_await std::move(settling);
        if (needs == WaitingJobs::Needs::undecided) co_return retry_later();
        if (needs == WaitingJobs::Needs::never_accepted) {
            HttpResponse refusal = with_body(422, {{"error", "awaits a job that was never accepted"}});
            auto answer = refuse_unless_accepted(id, std::move(refusal));
            HttpResponse response = co_await std::move(answer);
            co_return response;
        }
        cancelled_by_need = needs == WaitingJobs::Needs::cancelled;
    }
    job.accepted = io::wall_now();
    wire::Transaction t;
    t.conditions = {{keys::job(id), 0}, {keys::final(id), 0}};
    if (cancelled_by_need) {
        t.writes.push_back({keys::final(id), wire::final_record(wire::JobStatus::cancelled, 0), 0});
    } else {
        t.writes.push_back({keys::job(id), wire::job_record(job), 0});
    }
    auto task = node_.state.commit(std::move(t), deadline, CommitPriority{true, std::nullopt});
    const CommitResult r = co_await std::move(task);
    if (r.outcome == Commit::done && cancelled_by_need) {
        finals_.note(id, {wire::JobStatus::cancelled, 0});
        co_return with_body(201, wire::job_answer(id, wire::JobStatus::cancelled));
    }
    if (r.outcome == Commit::done) {
        replica_.committed({keys::job(id), wire::job_record(job), r.revision});
        node_.work.notify_all();
        node_.fleet_work.notify_all();
        co_return with_body(201, wire::job_answer(id, wire::JobStatus::queued));
    }
    // Whether an unanswered commit was carried out, the user's next try will find out.
    if (r.outcome != Commit::conflict) co_return retry_later();
    auto reach = replica_.reach(r.revision, deadline);
    const bool reached = co_await std::move(reach);
    if (!reached) co_return retry_later();
    HttpResponse answer;
    auto describing = describe_unfinished(id, answer, deadline);
    const Lookup described = co_await std::move(describing);
    if (described == Lookup::found) co_return answer;
    if (described == Lookup::failed) co_return retry_later();
    FinalState f;
    core::Stamp revision = 0;
    auto lookup = finals_.find(id, f, revision, deadline);
    const Lookup found = co_await std::move(lookup);
    if (found != Lookup::found) co_return retry_later();
    co_return with_body(200, wire::job_answer(id, f.status, f.done, 0));
}

Task<HttpResponse> UsersApi::poll(std::string id) {
    if (!wire::is_job_id(id)) co_return plain(404);
    if (const FinalState* state = finals_.known(id)) {
        co_return with_body(200, wire::job_answer(id, state->status, state->done, 0));
    }
    if (polling_ >= kPolling) co_return retry_later(429);
    const Counted counted{polling_};
    if (!node_.synced || !node_.state.reachable(steady_now())) co_return retry_later();
    HttpResponse answer;
    auto lookup = current_state(std::move(id), answer, steady_now() + Micros{1'700'000});
    const Lookup found = co_await std::move(lookup);
    if (found == Lookup::failed) co_return retry_later();
    co_return found == Lookup::absent ? plain(404) : answer;
}

// Not split yet: likewise.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
Task<HttpResponse> UsersApi::cancel(std::string id) {
    if (!wire::is_job_id(id)) co_return plain(404);
    if (const FinalState* ended = finals_.known(id))
        co_return with_body(200, wire::job_answer(id, ended->status));
    if (submitting_ >= kSubmitting) co_return retry_later(429);
    const Counted counted{submitting_};
    if (!node_.synced || !node_.state.reachable(steady_now())) co_return retry_later();
    const Micros deadline = steady_now() + Micros{2'500'000};
    for (int attempt = 0; attempt < 4; ++attempt) {
        const core::JobEntry* e = node_.ledger.find(id);
        if (e == nullptr) {
            auto index = replica_.caught_up(deadline);
            const bool current = co_await std::move(index);
            if (!current) co_return retry_later();
            e = node_.ledger.find(id);
        }
        if (e == nullptr) {
            FinalState f;
            core::Stamp revision = 0;
            auto lookup = finals_.find(id, f, revision, deadline);
            const Lookup found = co_await std::move(lookup);
            if (found == Lookup::failed) co_return retry_later();
            if (found == Lookup::absent) co_return plain(404);
            co_return with_body(200, wire::job_answer(id, f.status));
        }
        if (e->job.cancelled) co_return confirm_cancel(id);
        core::Job job = e->job;
        job.cancelled = true;
        job.cancelled_at = io::wall_now();
        // What a waiting job needed does not matter any more.
        job.awaits.clear();
        job.await_parts = 0;
        // Accepted under larger limits. Nothing of a cancelled job is placed any more.
        if (wire::job_record(job).dump().size() > node_.settings.value_limit()) {
            job.types.reset();
            job.image.clear();
            job.job_class.clear();
        }
        wire::Transaction t;
        const core::Stamp stamp = e->stamp;
        t.conditions = {{keys::job(id), stamp}};
        t.writes.push_back({keys::job(id), wire::job_record(job), 0});
        auto task = node_.state.commit(std::move(t), deadline, CommitPriority{true, std::nullopt});
        const CommitResult r = co_await std::move(task);
        if (r.outcome == Commit::done) {
            replica_.committed({keys::job(id), wire::job_record(job), r.revision});
            node_.work.notify_all();
            co_return confirm_cancel(id);
        }
        if (r.outcome != Commit::conflict) co_return retry_later();
        // It was finished or cancelled elsewhere in between.
        auto reach = replica_.reach_conflict({{keys::job(id), stamp}}, r, deadline);
        const bool reached = co_await std::move(reach);
        if (!reached) co_return retry_later();
    }
    co_return retry_later();
}

HttpResponse UsersApi::health() const {
    const Micros now = steady_now();
    if (!node_.synced || !node_.catalog) return plain(503);
    if (!node_.state.reachable(now)) {
        // With every node in the same trouble, leaving the load balancer's list only makes the return slower.
        // A node that hears none of the others either is more likely the only one in trouble: its users were
        // sent to it for as long as it lasted.
        bool alone = !node_.peers.empty();
        for (const auto& [label, p] : node_.peers) {
            if (!node_.peer_fresh(label, now)) continue;
            alone = false;
            if (p.heartbeat.state_ok) return plain(503);
        }
        if (alone) return plain(503);
    }
    return plain(200);
}

}  // namespace hatchwind::service
