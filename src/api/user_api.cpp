#include "api/user_api.hpp"

#include "api/user_responses.hpp"
#include "wire/identifiers.hpp"
#include "wire/user_api.hpp"

namespace hatchwind::controller {

using io::HttpResponse;
using io::Micros;
using io::plain_response;
using io::retry_later;
using io::steady_now;
using io::Task;
namespace http_status = io::http_status;

namespace {

constexpr std::size_t kPolling = 256;

}  // namespace

HttpResponse UserApi::describe(const core::JobEntry& e, int status) const {
    std::uint32_t running = 0;
    for (const auto& [i, c] : e.chunks) {
        for (const auto& [task, a] : c.open) {
            const auto v = core::view_attempt(context_.workers.cluster_view(), e.job.id, task, a);
            running += v.status == core::AttemptStatus::live && v.state == core::TaskState::running ? 1 : 0;
        }
    }
    const auto s = e.job.cancelled ? wire::JobStatus::cancelled
                   : running > 0   ? wire::JobStatus::running
                                   : wire::JobStatus::queued;
    return cbor_response(status, wire::job_answer(e.job.id, s, e.done, running));
}

Task<Lookup> UserApi::describe_unfinished(std::string id, HttpResponse& answer, Micros deadline) {
    const core::JobEntry* entry = context_.replicated.job_table().find(id);
    if (entry != nullptr && entry->job.waiting() && !entry->job.cancelled) {
        auto task = dependency_admission_.cancelled_by_dependency(id, deadline);
        const auto verdict = co_await std::move(task);
        if (verdict == DependencyAdmission::Verdict::undecided) co_return Lookup::failed;
        if (verdict == DependencyAdmission::Verdict::cancelled) {
            answer = cbor_response(http_status::kOk, wire::job_answer(id, wire::JobStatus::cancelled, 0, 0));
            co_return Lookup::found;
        }
        entry = context_.replicated.job_table().find(id);
    }
    if (entry == nullptr) co_return Lookup::absent;
    answer = describe(*entry, http_status::kOk);
    co_return Lookup::found;
}

Task<Lookup> UserApi::current_state(std::string id, HttpResponse& answer, Micros deadline) {
    if (context_.final_states.known(id) == nullptr && context_.replicated.job_table().find(id) != nullptr) {
        auto index = context_.replica.wait_for_read_index(deadline);
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
    core::Revision revision = 0;
    auto first = context_.final_states.find(id, final_state, revision, deadline);
    Lookup found = co_await std::move(first);
    if (found == Lookup::absent) {
        // That answer is a read index itself: what was accepted before it and had not ended is in the
        // replica.
        auto wait_for_revision = context_.replica.wait_for_revision(revision, deadline);
        const bool current = co_await std::move(wait_for_revision);
        if (!current) co_return Lookup::failed;
        auto describing = describe_unfinished(id, answer, deadline);
        const Lookup described = co_await std::move(describing);
        if (described != Lookup::absent) co_return described;
        // The replica may be past that revision by now, and the job may have come and ended in between.
        auto second = context_.final_states.find(id, final_state, revision, deadline);
        found = co_await std::move(second);
    }
    if (found == Lookup::found)
        answer =
            cbor_response(http_status::kOk, wire::job_answer(id, final_state.status, final_state.done, 0));
    co_return found;
}

Task<HttpResponse> UserApi::refuse_unless_accepted(std::string id, HttpResponse refusal) {
    if (context_.final_states.known(id) == nullptr &&
        (!context_.replicated.is_loaded() || !context_.store.reachable(steady_now())))
        co_return retry_later();
    HttpResponse answer;
    auto lookup = current_state(id, answer, steady_now() + Micros{2'500'000});
    const Lookup found = co_await std::move(lookup);
    if (found == Lookup::found) co_return answer;
    // Unknown is never "no".
    co_return found == Lookup::absent ? refusal : retry_later();
}

Task<HttpResponse> UserApi::poll(std::string id) {
    if (!wire::is_job_id(id)) co_return plain_response(http_status::kNotFound);
    if (const FinalState* state = context_.final_states.known(id)) {
        co_return cbor_response(http_status::kOk, wire::job_answer(id, state->status, state->done, 0));
    }
    if (polling_ >= kPolling) co_return retry_later(http_status::kTooManyRequests);
    const RequestCount counted{polling_};
    if (!context_.replicated.is_loaded() || !context_.store.reachable(steady_now())) co_return retry_later();
    HttpResponse answer;
    auto lookup = current_state(std::move(id), answer, steady_now() + Micros{1'700'000});
    const Lookup found = co_await std::move(lookup);
    if (found == Lookup::failed) co_return retry_later();
    co_return found == Lookup::absent ? plain_response(http_status::kNotFound) : answer;
}

HttpResponse UserApi::health() const {
    const Micros now = steady_now();
    if (!context_.replicated.is_loaded() || !context_.catalog)
        return plain_response(http_status::kServiceUnavailable);
    if (!context_.store.reachable(now)) {
        // With every node in the same trouble, leaving the load balancer's list only makes the return slower.
        // A node that hears none of the others either is more likely the only one in trouble: its users were
        // sent to it for as long as it lasted.
        bool alone = context_.peers.size() != 0;
        for (const auto& [label, peer] : context_.peers.all()) {
            if (!context_.peers.is_fresh(label, now)) continue;
            alone = false;
            if (peer.heartbeat.state_ok) return plain_response(http_status::kServiceUnavailable);
        }
        if (alone) return plain_response(http_status::kServiceUnavailable);
    }
    return plain_response(http_status::kOk);
}

}  // namespace hatchwind::controller
