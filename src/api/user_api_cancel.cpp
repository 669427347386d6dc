// Cancellations: committed by whichever controller gets the request, and broadcast to its peers before the
// user is answered.
#include <utility>

#include "api/user_api.hpp"
#include "api/user_responses.hpp"
#include "io/scoped_count.hpp"
#include "store/store_keys.hpp"
#include "wire/cbor.hpp"
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
constexpr Micros kCancelTime{2'500'000};
// Of that, kept for the commit when the job's starts are slow to be fenced.
constexpr Micros kCommitTime{1'200'000};
constexpr int kMaxCommitAttempts = 4;  // each but the last ended in a conflict

// The job as cancelled now, in a record of at most so many bytes.
core::Job cancelled_copy(core::Job job, std::size_t max_record_bytes) {
    job.cancelled = true;
    job.cancelled_at = io::wall_now();
    // What a waiting job depended on does not matter any more.
    job.dependencies.clear();
    job.dependency_parts = 0;
    if (wire::json_bytes(wire::job_record(job)) <= max_record_bytes) return job;
    // Accepted under larger limits. Nothing of a cancelled job is placed any more.
    job.types.reset();
    job.image.clear();
    job.job_class.clear();
    return job;
}
}  // namespace

HttpResponse UserApi::confirm_cancel(const std::string& id) const {
    const core::JobEntry* entry = context_.replicated.job_table().find(id);
    if (entry != nullptr && entry->job.cancelled) {
        context_.links.broadcast(wire::CancellationBroadcast{
            {{id, entry->cancellation_revision(), entry->job.cancelled_at.count()}}});
    }
    return cbor_response(http_status::kOk, wire::job_answer(id, wire::JobStatus::cancelled));
}

Task<HttpResponse> UserApi::cancel(std::string id) {
    if (!wire::is_job_id(id)) co_return plain_response(http_status::kNotFound);
    if (const FinalState* ended = context_.final_states.known(id))
        co_return cbor_response(http_status::kOk, wire::job_answer(id, ended->status));
    if (writes_under_way_ >= kMaxWritesUnderWay) co_return retry_later(http_status::kTooManyRequests);
    const io::ScopedCount counted{writes_under_way_};
    if (!is_ready()) co_return retry_later();
    const Micros deadline = steady_now() + kCancelTime;
    for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
        if (context_.replicated.job_table().find(id) == nullptr) {
            auto waiting = context_.replica.wait_for_read_index(deadline);
            const bool current = co_await std::move(waiting);
            if (!current) co_return retry_later();
        }
        const core::JobEntry* entry = context_.replicated.job_table().find(id);
        if (entry == nullptr) {
            auto answering = answer_ended(id, deadline);
            HttpResponse response = co_await std::move(answering);
            co_return response;
        }
        if (entry->job.cancelled) co_return confirm_cancel(id);
        auto committing = commit_cancel(*entry, deadline);
        const auto response = co_await std::move(committing);
        if (response) co_return *response;
    }
    co_return retry_later();
}

Task<HttpResponse> UserApi::answer_ended(std::string id, Micros deadline) {
    auto reading = context_.final_states.find(id, deadline);
    const FinalStateResult ended = co_await std::move(reading);
    if (ended.lookup == Lookup::failed) co_return retry_later();
    if (ended.lookup == Lookup::absent) co_return plain_response(http_status::kNotFound);
    co_return cbor_response(http_status::kOk, wire::job_answer(id, ended.state.status));
}

// The entry is not touched after the first suspension: it may be gone by then.
Task<std::optional<HttpResponse>> UserApi::commit_cancel(const core::JobEntry& entry, Micros deadline) {
    const std::string id = entry.job.id;
    const core::Revision mod_revision = entry.mod_revision;
    const wire::Json record = wire::job_record(cancelled_copy(entry.job, context_.settings.value_limit()));
    const core::Revision epoch = context_.replicated.epoch().mod_revision;
    // A waiting job's team has no shard owner, so there is nobody to ask and nothing to wait for.
    std::string team = entry.job.team;
    auto fencing = context_.start_fence.fence(id, std::move(team), deadline - kCommitTime);
    const bool fenced = co_await std::move(fencing);
    wire::Transaction transaction;
    transaction.conditions = {{keys::job(id), mod_revision}};
    // The next epoch's shard owner has not fenced the job.
    if (fenced) transaction.conditions.push_back({keys::kEpoch, epoch});
    const std::vector<wire::Condition> conditions = transaction.conditions;
    transaction.writes.push_back({keys::job(id), record, 0});
    auto committing = context_.store.commit(std::move(transaction), deadline, kUserCommit);
    const CommitResult result = co_await std::move(committing);
    if (result.outcome == CommitOutcome::committed) {
        context_.replica.apply_own_commit({keys::job(id), record, result.revision});
        context_.signals.scheduling_needed.notify_all();
        co_return confirm_cancel(id);
    }
    if (result.outcome != CommitOutcome::conflict) co_return retry_later();
    // It has ended, was cancelled by way of another controller, or a new epoch began, in between.
    auto waiting = context_.replica.wait_for_conflict(conditions, result, deadline);
    const bool reached = co_await std::move(waiting);
    if (!reached) co_return retry_later();
    co_return std::nullopt;
}

}  // namespace hatchwind::controller
