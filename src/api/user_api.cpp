#include "api/user_api.hpp"

#include <utility>

#include "api/user_responses.hpp"
#include "io/scoped_count.hpp"
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

constexpr std::size_t kMaxPollsUnderWay = 256;
constexpr Micros kPollTime{1'700'000};
constexpr Micros kRefusalTime{2'500'000};

}  // namespace

bool UserApi::is_ready() const {
    return context_.replicated.is_loaded() && context_.store.reachable(steady_now());
}

std::uint32_t UserApi::count_running_tasks(const core::JobEntry& entry) const {
    std::uint32_t running = 0;
    for (const auto& [index, chunk] : entry.chunks) {
        for (const auto& [task, attempt] : chunk.open) {
            const auto view =
                core::view_attempt(context_.workers.cluster_view(), entry.job.id, task, attempt);
            if (view.status == core::AttemptStatus::live && view.state == core::TaskState::running) ++running;
        }
    }
    return running;
}

HttpResponse UserApi::describe_entry(const core::JobEntry& entry) const {
    const std::uint32_t running = count_running_tasks(entry);
    wire::JobStatus status = running > 0 ? wire::JobStatus::running : wire::JobStatus::queued;
    if (entry.job.cancelled) status = wire::JobStatus::cancelled;
    return cbor_response(http_status::kOk, wire::job_answer(entry.job.id, status, entry.done, running));
}

Task<UserApi::JobDescription> UserApi::describe_unfinished(std::string id, Micros deadline) {
    const core::JobEntry* entry = context_.replicated.job_table().find(id);
    if (entry != nullptr && entry->job.waiting() && !entry->job.cancelled) {
        auto deciding = dependency_admission_.cancelled_by_dependency(id, deadline);
        const auto verdict = co_await std::move(deciding);
        if (verdict == DependencyAdmission::Verdict::undecided) co_return JobDescription{};
        if (verdict == DependencyAdmission::Verdict::cancelled) {
            const FinalState cancelled{wire::JobStatus::cancelled, 0};
            co_return JobDescription{Lookup::found, final_state_response(id, cancelled)};
        }
        entry = context_.replicated.job_table().find(id);
    }
    if (entry == nullptr) co_return JobDescription{Lookup::absent, {}};
    co_return JobDescription{Lookup::found, describe_entry(*entry)};
}

Task<UserApi::JobDescription> UserApi::current_state(std::string id, Micros deadline) {
    if (context_.final_states.known(id) == nullptr && context_.replicated.job_table().find(id) != nullptr) {
        auto waiting = context_.replica.wait_for_read_index(deadline);
        const bool current = co_await std::move(waiting);
        if (!current) co_return JobDescription{};
        auto describing = describe_unfinished(id, deadline);
        JobDescription unfinished = co_await std::move(describing);
        if (unfinished.lookup != Lookup::absent) co_return unfinished;
    }
    // Final states never change, so one read serves what has ended. With a read index before it, a slow store
    // took longer than users wait, and their polls of ended jobs were never answered
    // (UserAnswers.AnEndedJobIsAnsweredWhileTheStateServiceIsSlow).
    auto first_reading = context_.final_states.find(id, deadline);
    FinalStateResult final_state = co_await std::move(first_reading);
    if (final_state.lookup == Lookup::absent) {
        // That answer is a read index itself: what was accepted before it and had not ended is in the
        // replica.
        auto waiting = context_.replica.wait_for_revision(final_state.revision, deadline);
        const bool current = co_await std::move(waiting);
        if (!current) co_return JobDescription{};
        auto describing = describe_unfinished(id, deadline);
        JobDescription unfinished = co_await std::move(describing);
        if (unfinished.lookup != Lookup::absent) co_return unfinished;
        // The replica may be past that revision by now, and the job may have come and ended in between.
        auto second_reading = context_.final_states.find(id, deadline);
        final_state = co_await std::move(second_reading);
    }
    if (final_state.lookup != Lookup::found) co_return JobDescription{final_state.lookup, {}};
    co_return JobDescription{Lookup::found, final_state_response(id, final_state.state)};
}

Task<HttpResponse> UserApi::refuse_unless_accepted(std::string id, HttpResponse refusal) {
    if (context_.final_states.known(id) == nullptr && !is_ready()) co_return retry_later();
    auto describing = current_state(std::move(id), steady_now() + kRefusalTime);
    JobDescription description = co_await std::move(describing);
    // Only a certain "never accepted" allows the refusal.
    if (description.lookup == Lookup::absent) co_return refusal;
    if (description.lookup == Lookup::failed) co_return retry_later();
    co_return std::move(description.response);
}

Task<HttpResponse> UserApi::poll(std::string id) {
    if (!wire::is_job_id(id)) co_return plain_response(http_status::kNotFound);
    if (const FinalState* state = context_.final_states.known(id)) co_return final_state_response(id, *state);
    if (polls_under_way_ >= kMaxPollsUnderWay) co_return retry_later(http_status::kTooManyRequests);
    const io::ScopedCount counted{polls_under_way_};
    if (!is_ready()) co_return retry_later();
    auto describing = current_state(std::move(id), steady_now() + kPollTime);
    JobDescription description = co_await std::move(describing);
    if (description.lookup == Lookup::failed) co_return retry_later();
    if (description.lookup == Lookup::absent) co_return plain_response(http_status::kNotFound);
    co_return std::move(description.response);
}

bool UserApi::peers_are_no_better() const {
    const Micros now = steady_now();
    // A controller that hears none of its peers either is more likely the only one with a fault: its users
    // were sent to it for as long as the fault lasted.
    bool isolated = context_.peers.size() != 0;
    for (const auto& [label, peer] : context_.peers.all()) {
        if (!context_.peers.is_fresh(label, now)) continue;
        isolated = false;
        if (peer.heartbeat.state_ok) return false;
    }
    return !isolated;
}

HttpResponse UserApi::health() const {
    if (!context_.replicated.is_loaded() || !context_.catalog)
        return plain_response(http_status::kServiceUnavailable);
    // When no controller reaches the store, leaving the load balancer's list only delays the return to it.
    if (!context_.store.reachable(steady_now()) && !peers_are_no_better())
        return plain_response(http_status::kServiceUnavailable);
    return plain_response(http_status::kOk);
}

}  // namespace hatchwind::controller
