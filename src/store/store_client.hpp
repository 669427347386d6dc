/// Client of the store: rate limits, and a typed outcome for each call.
///
/// Owns the connections to the store, the request and write budgets, and the reachability of the store. Calls
/// are not retried here: only the caller knows whether a call without an answer may be repeated.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "store/token_bucket.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// The outcome of a transaction, as far as it is certain after the call.
enum class CommitOutcome : std::uint8_t {
    committed,
    conflict,     ///< not executed: a condition failed
    refused,      ///< not executed: malformed, or the store lease has expired
    unavailable,  ///< not executed: the store is unavailable, or the budget does not allow the call
    unknown,      ///< no answer: may have been executed, or may still be
};

/// The outcome of a transaction, with details from the store's answer.
struct CommitResult {
    CommitOutcome outcome = CommitOutcome::unknown;
    core::Revision revision = 0;      ///< of the commit; after a conflict, of the store
    std::vector<std::string> failed;  ///< after a conflict: keys whose conditions did not hold
};

/// The answer to a read of one key.
struct GetResult {
    bool answered = false;            ///< false: the read failed, and the other fields mean nothing
    std::optional<wire::Json> value;  ///< empty if the key does not exist
    core::Revision mod_revision = 0;
    core::Revision revision = 0;  ///< of the store; set only if the key does not exist
};

/// The answer to a watch.
struct WatchResult {
    bool answered = false;   ///< the store answered, possibly without changes
    bool compacted = false;  ///< the changes were compacted, or are too large to read: reload the store
    wire::StorePage page;    ///< the changes, in the order of their revisions
};

/// Priority of a commit, and its contribution to the write demand.
struct CommitPriority {
    /// A user waits for the commit: within limits, it takes precedence over this controller's own queued
    /// writes.
    bool for_user = false;
    /// The number of its writes that count as demand; nothing: all of them. Writes that only use budget left
    /// over by others do not count.
    std::optional<double> demand;
};
/// Priority of a commit that a user waits for.
inline constexpr CommitPriority kUserCommit{true, std::nullopt};

/// All deadlines are monotonic times. A call that the budget does not allow before its deadline is not sent.
class StoreClient {
  public:
    /// The outcome of renewing a store lease. `failed`: no answer, so the lease may or may not be renewed.
    enum class Renewal : std::uint8_t { renewed, expired, failed };

    StoreClient(io::Loop& loop, const Settings& settings);

    /// Reads one key.
    io::Task<GetResult> get(std::string key, io::Micros deadline);
    /// Reads a page of the keys with `prefix` that sort after `after`, in order. Returns nothing if the call
    /// failed.
    io::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
    /// Commits a compare-and-swap transaction.
    io::Task<CommitResult> commit(wire::Transaction transaction, io::Micros deadline,
                                  CommitPriority priority = {});
    /// Creates a store lease and returns its id; nothing if the call failed.
    io::Task<std::optional<std::uint64_t>> create_lease(io::Micros time_to_live);
    /// Renews a store lease for its full time to live.
    io::Task<Renewal> renew_lease(std::uint64_t store_lease, io::Micros deadline);
    /// Waits for changes after revision `after`. The store answers after `block` at the latest.
    io::Task<WatchResult> watch(std::string prefix, core::Revision after, io::Micros block);

    /// Sets this controller's budgets from the limits, which hold for all controllers together.
    /// `write_share`: this controller's share of the write limit, 0 to 1.
    void set_budgets(std::size_t controllers, double write_share);
    /// Sets the number of writes that are deferred because the budget does not allow them yet.
    void set_backlog(double writes) { backlog_ = writes; }
    /// Returns the demand in writes a second: recent writes plus the backlog.
    double demand() const { return demand_ / kDemandSpanSeconds + backlog_; }
    /// Returns the number of writes that the budget allows immediately; negative while it is overdrawn.
    double available_writes();
    /// Returns this controller's write budget, in writes a second.
    double write_rate() const { return writes_.rate(); }
    /// Returns the writes a second that all controllers together may make, excluding the part reserved for
    /// user requests.
    double write_capacity() const;
    /// Returns false once calls have failed for `kUnreachableAfter`.
    bool reachable(io::Micros monotonic_now) const;

  private:
    static constexpr double kDemandSpanSeconds = 3;
    static constexpr std::size_t kMaxResponseBytes = std::size_t{4} << 20U;

    struct Call {
        std::string method;
        std::string target;
        std::string body;
        io::Micros deadline{0};
        double writes = 0;      // charged to the write budget
        bool urgent = false;    // sent even if the budgets do not allow it
        bool for_user = false;  // see CommitPriority
        std::size_t max_response_bytes = kMaxResponseBytes;
    };

    /// Sends the call once the budgets allow it. A call that they do not allow before its deadline is not
    /// sent and returns status 429.
    io::Task<io::HttpResult> send(Call call);
    /// Charges the call to the budgets. Returns the time to wait before it may be sent, or nothing, without
    /// charging it, if that would be after its deadline.
    std::optional<io::Micros> reserve_budget(const Call& call);
    void record_reachability(const io::HttpResult& reply);
    /// Returns the decoded body. Logs a body that cannot be decoded and returns nothing.
    std::optional<wire::Json> decode(const io::HttpResponse& response, const char* call);
    /// Adds writes to the demand, which decays exponentially.
    void record_demand(double writes);

    io::Loop& loop_;
    const Settings& settings_;
    io::HttpClient http_;
    TokenBucket requests_;
    TokenBucket writes_;
    TokenBucket user_writes_;
    io::Micros failing_since_{0};  // monotonic; 0: the last call succeeded
    std::uint64_t malformed_responses_ = 0;
    double demand_ = 0;                // writes, decaying over kDemandSpanSeconds
    double backlog_ = 0;               // writes
    io::Micros demand_updated_at_{0};  // monotonic; 0: never
};

}  // namespace hatchwind::controller
