// Submissions: checked, then accepted by a commit that is conditional on the id being new.
#include <algorithm>
#include <set>

#include "api/user_api.hpp"
#include "api/user_responses.hpp"
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
namespace http_status = io::http_status;

namespace {
constexpr std::size_t kJsonLimit = std::size_t{64} * 1024;
// The JSON form of a body is at the most so many times as long as its CBOR form.
constexpr std::size_t kJsonPerCbor = 8;
constexpr Micros kSubmissionTime{2'500'000};

// Nothing when it is no CBOR, or too large: limits count the JSON form.
std::optional<wire::Json> submission_body(const io::HttpRequest& request) {
    auto body = wire::decode(request.body);
    if (!body || request.body.size() <= kJsonLimit / kJsonPerCbor) return body;
    const std::string text = body->dump(-1, ' ', false, wire::Json::error_handler_t::replace);
    return text.size() > kJsonLimit ? std::nullopt : std::move(body);
}
}  // namespace

std::optional<std::string> UserApi::impossible(const core::Job& j) const {
    const auto team = context_.settings.teams.find(j.team);
    if (team == context_.settings.teams.end()) return "unknown team";
    std::set<std::string> zones;  // with machines that fit
    for (const auto& [name, t] : *context_.catalog) {
        if (!j.allows_type(name) || !j.resources.fits_in(t.size)) continue;
        for (const auto& z : t.zones) {
            if (!j.zone || *j.zone == z) zones.insert(z);
        }
    }
    if (zones.empty()) return "fits no allowed machine type";
    // All tasks of a gang run at once; of other jobs as many may run as one zone takes.
    const bool one_zone = j.one_zone || zones.size() == 1;
    if (j.kind == core::JobKind::gang && one_zone && j.zone_cap() < j.tasks) return "can not be spread";
    const double k = j.kind == core::JobKind::array ? 1.0 : static_cast<double>(j.tasks);
    if (j.resources.cpus * k > team->second.cpus_max + core::kResourceTolerance ||
        j.resources.gpus * k > team->second.gpus_max + core::kResourceTolerance) {
        return "needs more than the team's limit";
    }
    return std::nullopt;
}

void UserApi::drop_unknown_types(core::Job& job) const {
    if (!job.types) return;
    std::set<std::string> named;
    std::erase_if(*job.types, [&](const std::string& type) {
        return !context_.catalog->contains(type) || !named.insert(type).second;
    });
}

Task<HttpResponse> UserApi::submit(io::HttpRequest request) {
    if (request.body_too_large) co_return plain_response(http_status::kBadRequest);
    if (submitting_ >= kMostSubmitting) co_return retry_later(http_status::kTooManyRequests);
    const RequestCount counted{submitting_};
    const auto body = submission_body(request);
    if (!body) co_return plain_response(http_status::kBadRequest);
    auto parsed = wire::parse_submission(*body);
    if (!parsed) {
        HttpResponse refusal = cbor_response(http_status::kBadRequest, wire::error_answer(parsed.error()));
        std::string named = wire::submitted_id(*body);
        if (!wire::is_job_id(named)) co_return refusal;
        auto refusing = refuse_unless_accepted(std::move(named), std::move(refusal));
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
    const std::optional<std::string> why = known || !context_.catalog ? std::nullopt : impossible(job);
    if (known || !context_.catalog || why) {
        HttpResponse refusal =
            why ? cbor_response(http_status::kUnprocessableContent, wire::error_answer(*why)) : retry_later();
        auto refusing = refuse_unless_accepted(job.id, std::move(refusal));
        HttpResponse response = co_await std::move(refusing);
        co_return response;
    }
    if (!context_.replicated.is_loaded() || !context_.store.reachable(steady_now())) co_return retry_later();
    // Types that the cloud does not have add nothing, and a long list would pass the value limit.
    drop_unknown_types(job);
    const Micros deadline = steady_now() + kSubmissionTime;
    bool cancelled_by_dependency = false;
    if (!job.dependencies.empty()) {
        auto settling = dependency_admission_.resolve_dependencies(job, deadline);
        const auto dependencies = co_await std::move(settling);
        if (dependencies == DependencyAdmission::DependencyStatus::undecided) co_return retry_later();
        if (dependencies == DependencyAdmission::DependencyStatus::never_accepted) {
            HttpResponse refusal = cbor_response(http_status::kUnprocessableContent,
                                                 wire::error_answer("awaits a job that was never accepted"));
            auto refusing = refuse_unless_accepted(job.id, std::move(refusal));
            HttpResponse response = co_await std::move(refusing);
            co_return response;
        }
        cancelled_by_dependency = dependencies == DependencyAdmission::DependencyStatus::cancelled;
    }
    job.accepted = io::wall_now();
    auto accepting = accept(std::move(job), cancelled_by_dependency, deadline);
    HttpResponse response = co_await std::move(accepting);
    co_return response;
}

Task<HttpResponse> UserApi::accept(core::Job job, bool cancelled_by_dependency, Micros deadline) {
    const wire::Json record =
        cancelled_by_dependency ? wire::final_record(wire::JobStatus::cancelled, 0) : wire::job_record(job);
    wire::Transaction transaction;
    transaction.conditions = {{keys::job(job.id), 0}, {keys::final(job.id), 0}};
    const std::string key = cancelled_by_dependency ? keys::final(job.id) : keys::job(job.id);
    transaction.writes.push_back({key, record, 0});
    const CommitPriority priority{true, std::nullopt};
    auto committing = context_.store.commit(std::move(transaction), deadline, priority);
    const CommitResult result = co_await std::move(committing);
    if (result.outcome == CommitOutcome::committed && cancelled_by_dependency) {
        context_.final_states.note(job.id, {wire::JobStatus::cancelled, 0});
        co_return cbor_response(http_status::kCreated, wire::job_answer(job.id, wire::JobStatus::cancelled));
    }
    if (result.outcome == CommitOutcome::committed) {
        context_.replica.apply_own_commit({key, record, result.revision});
        context_.signals.scheduling_needed.notify_all();
        context_.signals.scaling_needed.notify_all();
        co_return cbor_response(http_status::kCreated, wire::job_answer(job.id, wire::JobStatus::queued));
    }
    // Whether an unanswered commit was carried out, the user's next try will find out.
    if (result.outcome != CommitOutcome::conflict) co_return retry_later();
    auto describing = describe_known(job.id, result.revision, deadline);
    HttpResponse response = co_await std::move(describing);
    co_return response;
}

Task<HttpResponse> UserApi::describe_known(std::string id, core::Revision revision, Micros deadline) {
    auto reaching = context_.replica.wait_for_revision(revision, deadline);
    const bool reached = co_await std::move(reaching);
    if (!reached) co_return retry_later();
    HttpResponse answer;
    auto describing = describe_unfinished(id, answer, deadline);
    const Lookup described = co_await std::move(describing);
    if (described == Lookup::found) co_return answer;
    if (described == Lookup::failed) co_return retry_later();
    FinalState final_state;
    core::Revision read_at = 0;
    auto reading = context_.final_states.find(id, final_state, read_at, deadline);
    const Lookup found = co_await std::move(reading);
    if (found != Lookup::found) co_return retry_later();
    co_return cbor_response(http_status::kOk, wire::job_answer(id, final_state.status, final_state.done, 0));
}

}  // namespace hatchwind::controller
