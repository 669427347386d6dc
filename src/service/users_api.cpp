#include "service/users_api.hpp"

#include "service/user_responses.hpp"

namespace hatchwind::service {

using io::HttpResponse;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {

constexpr std::size_t kPolling = 256;

}  // namespace

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
    return response_with(status, wire::job_answer(e.job.id, s, e.done, running));
}

Task<Lookup> UsersApi::describe_unfinished(std::string id, HttpResponse& answer, Micros deadline) {
    const core::JobEntry* entry = node_.ledger.find(id);
    if (entry != nullptr && entry->job.waiting() && !entry->job.cancelled) {
        auto task = waiting_jobs_.cancelled_by_need(id, deadline);
        const auto verdict = co_await std::move(task);
        if (verdict == WaitingJobs::Verdict::undecided) co_return Lookup::failed;
        if (verdict == WaitingJobs::Verdict::cancelled) {
            answer = response_with(200, wire::job_answer(id, wire::JobStatus::cancelled, 0, 0));
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
        answer = response_with(200, wire::job_answer(id, final_state.status, final_state.done, 0));
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

Task<HttpResponse> UsersApi::poll(std::string id) {
    if (!wire::is_job_id(id)) co_return plain_response(404);
    if (const FinalState* state = finals_.known(id)) {
        co_return response_with(200, wire::job_answer(id, state->status, state->done, 0));
    }
    if (polling_ >= kPolling) co_return retry_later(429);
    const RequestCount counted{polling_};
    if (!node_.synced || !node_.state.reachable(steady_now())) co_return retry_later();
    HttpResponse answer;
    auto lookup = current_state(std::move(id), answer, steady_now() + Micros{1'700'000});
    const Lookup found = co_await std::move(lookup);
    if (found == Lookup::failed) co_return retry_later();
    co_return found == Lookup::absent ? plain_response(404) : answer;
}

HttpResponse UsersApi::health() const {
    const Micros now = steady_now();
    if (!node_.synced || !node_.catalog) return plain_response(503);
    if (!node_.state.reachable(now)) {
        // With every node in the same trouble, leaving the load balancer's list only makes the return slower.
        // A node that hears none of the others either is more likely the only one in trouble: its users were
        // sent to it for as long as it lasted.
        bool alone = !node_.peers.empty();
        for (const auto& [label, p] : node_.peers) {
            if (!node_.peer_fresh(label, now)) continue;
            alone = false;
            if (p.heartbeat.state_ok) return plain_response(503);
        }
        if (alone) return plain_response(503);
    }
    return plain_response(200);
}

}  // namespace hatchwind::service
