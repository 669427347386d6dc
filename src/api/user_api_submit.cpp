// Submissions: checked, then accepted by a commit that is conditional on the id being new.
#include <utility>

#include "api/feasibility.hpp"
#include "api/user_api.hpp"
#include "api/user_responses.hpp"
#include "io/scoped_count.hpp"
#include "store/store_keys.hpp"
#include "wire/identifiers.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"
#include "wire/user_api.hpp"

namespace hatchwind::controller {

using io::HttpResponse;
using io::Micros;
using io::plain_response;
using io::retry_later;
using io::steady_now;
using io::Task;
using DependencyStatus = DependencyAdmission::DependencyStatus;
namespace http_status = io::http_status;

namespace {
constexpr std::size_t kMaxJsonBytes = std::size_t{64} * 1024;
// The JSON form of a body is at the most so many times as long as its CBOR form.
constexpr std::size_t kMaxJsonPerCbor = 8;
constexpr Micros kSubmissionTime{2'500'000};

// Nothing when it is no CBOR, or too large: limits count the JSON form.
std::optional<wire::Json> submission_body(const io::HttpRequest& request) {
    auto body = wire::decode(request.body);
    if (!body || request.body.size() <= kMaxJsonBytes / kMaxJsonPerCbor) return body;
    return wire::json_bytes(*body) > kMaxJsonBytes ? std::nullopt : std::move(body);
}

HttpResponse unprocessable(const std::string& reason) {
    return cbor_response(http_status::kUnprocessableContent, wire::error_answer(reason));
}
}  // namespace

Task<HttpResponse> UserApi::submit(io::HttpRequest request) {
    if (request.body_too_large) co_return plain_response(http_status::kBadRequest);
    if (writes_under_way_ >= kMaxWritesUnderWay) co_return retry_later(http_status::kTooManyRequests);
    const io::ScopedCount counted{writes_under_way_};
    const auto body = submission_body(request);
    if (!body) co_return plain_response(http_status::kBadRequest);
    auto parsed = wire::parse_submission(*body);
    if (!parsed) {
        HttpResponse refusal = cbor_response(http_status::kBadRequest, wire::error_answer(parsed.error()));
        std::string id = wire::submitted_id(*body);
        if (!wire::is_job_id(id)) co_return refusal;
        auto refusing = refuse_unless_accepted(std::move(id), std::move(refusal));
        HttpResponse response = co_await std::move(refusing);
        co_return response;
    }
    auto deciding = decide_submission(*std::move(parsed));
    HttpResponse response = co_await std::move(deciding);
    co_return response;
}

Task<HttpResponse> UserApi::decide_submission(core::Job job) {
    // What was accepted once is neither refused nor accepted anew, whatever the settings and the catalog say
    // of it by now.
    const bool known = context_.final_states.known(job.id) != nullptr ||
                       context_.replicated.job_table().find(job.id) != nullptr;
    std::optional<HttpResponse> refusal;
    if (known || !context_.catalog) {
        refusal = retry_later();
    } else if (const auto reason = find_infeasibility(job, context_.settings.teams, *context_.catalog)) {
        refusal = unprocessable(infeasibility_text(*reason));
    }
    if (refusal) {
        auto refusing = refuse_unless_accepted(job.id, *std::move(refusal));
        HttpResponse response = co_await std::move(refusing);
        co_return response;
    }
    if (!is_ready()) co_return retry_later();
    remove_unknown_types(job, *context_.catalog);
    auto admitting = admit(std::move(job));
    HttpResponse response = co_await std::move(admitting);
    co_return response;
}

Task<HttpResponse> UserApi::admit(core::Job job) {
    const Micros deadline = steady_now() + kSubmissionTime;
    auto dependencies = DependencyStatus::none;
    if (!job.dependencies.empty()) {
        auto resolving = dependency_admission_.resolve_dependencies(job, deadline);
        dependencies = co_await std::move(resolving);
    }
    if (dependencies == DependencyStatus::undecided) co_return retry_later();
    if (dependencies == DependencyStatus::never_accepted) {
        HttpResponse refusal = unprocessable("awaits a job that was never accepted");
        auto refusing = refuse_unless_accepted(job.id, std::move(refusal));
        HttpResponse response = co_await std::move(refusing);
        co_return response;
    }
    job.accepted = io::wall_now();
    const auto initial_status =
        dependencies == DependencyStatus::cancelled ? wire::JobStatus::cancelled : wire::JobStatus::queued;
    auto accepting = accept(std::move(job), initial_status, deadline);
    HttpResponse response = co_await std::move(accepting);
    co_return response;
}

Task<HttpResponse> UserApi::accept(core::Job job, wire::JobStatus initial_status, Micros deadline) {
    const bool cancelled = initial_status == wire::JobStatus::cancelled;
    const wire::Json record =
        cancelled ? wire::final_record(wire::JobStatus::cancelled, 0) : wire::job_record(job);
    const std::string key = cancelled ? keys::final(job.id) : keys::job(job.id);
    wire::Transaction transaction;
    transaction.conditions = {{keys::job(job.id), 0}, {keys::final(job.id), 0}};
    transaction.writes.push_back({key, record, 0});
    auto committing = context_.store.commit(std::move(transaction), deadline, kUserCommit);
    const CommitResult result = co_await std::move(committing);
    if (result.outcome == CommitOutcome::committed) {
        if (cancelled) {
            context_.final_states.record(job.id, {wire::JobStatus::cancelled, 0});
        } else {
            context_.replica.apply_own_commit({key, record, result.revision});
            context_.signals.scheduling_needed.notify_all();
            context_.signals.scaling_needed.notify_all();
        }
        co_return cbor_response(http_status::kCreated, wire::job_answer(job.id, initial_status));
    }
    // Whether an unanswered commit was carried out, the user's next try will find out.
    if (result.outcome != CommitOutcome::conflict) co_return retry_later();
    auto describing = describe_known(job.id, result.revision, deadline);
    HttpResponse response = co_await std::move(describing);
    co_return response;
}

Task<HttpResponse> UserApi::describe_known(std::string id, core::Revision revision, Micros deadline) {
    auto waiting = context_.replica.wait_for_revision(revision, deadline);
    const bool reached = co_await std::move(waiting);
    if (!reached) co_return retry_later();
    auto describing = describe_unfinished(id, deadline);
    JobDescription unfinished = co_await std::move(describing);
    if (unfinished.lookup == Lookup::found) co_return std::move(unfinished.response);
    if (unfinished.lookup == Lookup::failed) co_return retry_later();
    auto reading = context_.final_states.find(id, deadline);
    const FinalStateResult ended = co_await std::move(reading);
    if (ended.lookup != Lookup::found) co_return retry_later();
    co_return final_state_response(id, ended.state);
}

}  // namespace hatchwind::controller
