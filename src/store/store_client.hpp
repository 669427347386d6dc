/// Calls to the store: their budgets, and what each answer proves.
///
/// Owns the connections to the store, the budgets of requests and writes, and whether the store is reachable.
/// Nothing is retried here: after an answer that did not come, only the caller knows whether to repeat.
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

/// What is certain about a transaction after the call.
enum class CommitOutcome : std::uint8_t {
    committed,
    conflict,     ///< not executed, and a condition failed
    refused,      ///< not executed: malformed, or the store lease has ended
    unavailable,  ///< not executed: outage or budget
    unknown,      ///< no answer: may have been executed, or may be later
};

/// The outcome of a transaction, with what the store said of it.
struct CommitResult {
    CommitOutcome outcome = CommitOutcome::unknown;
    core::Revision revision = 0;      ///< of the commit, or of the store when a condition failed
    std::vector<std::string> failed;  ///< after a conflict: keys whose conditions did not hold
};

/// The answer to a read of one key.
struct GetResult {
    bool answered = false;  ///< an answer came: the value, or certainty that there is none
    std::optional<wire::Json> value;
    core::Revision mod_revision = 0;
    core::Revision revision = 0;  ///< of the store, when there is no value
};

/// The answer to a watch.
struct WatchResult {
    bool answered = false;  ///< an answer came, possibly without a change
    bool too_old = false;   ///< the store no longer has these changes, or too many: it must be read anew
    wire::StorePage page;   ///< the changes in order
};

/// How urgent a commit is.
struct CommitPriority {
    /// A user waits for it: it goes ahead of what this controller has queued itself, within limits.
    bool for_user = false;
    /// How many of its writes count as demand; nothing: all of them. Those that only use up spare writes do
    /// not.
    std::optional<double> demand;
};
/// The priority of what a user waits for.
inline constexpr CommitPriority kUserCommit{true, std::nullopt};

/// Deadlines are monotonic times. A call that its budget does not allow before its deadline is not sent.
class StoreClient {
  public:
    /// What a renewal of a store lease came to; `failed`: no answer, so the lease may or may not be renewed.
    enum class Renewal : std::uint8_t { done, ended, failed };

    StoreClient(io::Loop& loop, const Settings& settings);

    /// Reads one key.
    io::Task<GetResult> get(std::string key, io::Micros deadline);
    /// Reads keys with that prefix which come after `after`, in order; nothing when no answer came.
    io::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
    /// Commits a compare-and-swap transaction.
    io::Task<CommitResult> commit(wire::Transaction transaction, io::Micros deadline,
                                  CommitPriority priority = {});
    /// A new store lease; nothing when no answer came.
    io::Task<std::optional<std::uint64_t>> create_lease(io::Micros time_to_live);
    /// Renews a store lease for its whole time to live.
    io::Task<Renewal> renew_lease(std::uint64_t store_lease, io::Micros deadline);
    /// Waits for changes after that revision; the store answers at the latest after `block`.
    io::Task<WatchResult> watch(std::string prefix, core::Revision after, io::Micros block);

    /// Sets the budgets: the limits are for all controllers together. `write_share`: this one's share of the
    /// write limit, 0 to 1.
    void share(std::size_t controllers, double write_share);
    /// Writes that are held back for want of budget.
    void set_backlog(double writes) { backlog_ = writes; }
    /// Writes wanted a second: those made recently, and the backlog.
    double demand() const { return demand_ / kDemandSpanSeconds + backlog_; }
    /// Writes that could be made at once; negative while the budget is overdrawn.
    double spare_writes();
    /// This controller's writes a second.
    double write_rate() const { return writes_.rate(); }
    /// Writes a second that all controllers together may make, less what users' requests are kept for.
    double write_capacity() const;
    /// False once calls have gone unanswered for a while.
    bool reachable(io::Micros monotonic_now) const;

  private:
    static constexpr double kDemandSpanSeconds = 3;
    static constexpr std::size_t kMaxResponseBytes = std::size_t{4} << 20U;

    struct Call {
        std::string method;
        std::string target;
        std::string body;
        io::Micros deadline{0};
        double writes = 0;      // taken from the write budget
        bool urgent = false;    // sent whatever the budgets allow
        bool for_user = false;  // as for CommitPriority
        std::size_t max_response_bytes = kMaxResponseBytes;
    };

    /// Sends the call when the budgets allow it. A call that they don't allow before its deadline gets status
    /// 429 and `never_sent`.
    io::Task<io::HttpResult> send(Call call);
    /// Takes the call from the budgets. Returns how long to wait before it may be sent; nothing if that is
    /// later than its deadline.
    std::optional<io::Micros> reserve_budget(const Call& call);
    void record_reachability(const io::HttpResult& reply);
    /// The decoded body; one that can't be decoded is logged.
    std::optional<wire::Json> decode(const io::HttpResponse& response, const char* call);
    /// Adds writes to the demand, which decays over time.
    void record_demand(double writes);

    io::Loop& loop_;
    const Settings& settings_;
    io::HttpClient http_;
    TokenBucket requests_;
    TokenBucket writes_;
    TokenBucket user_writes_;
    io::Micros failing_since_{0};  // monotonic; 0: the last call was answered
    std::uint64_t malformed_responses_ = 0;
    double demand_ = 0;                // writes, decaying over kDemandSpanSeconds
    double backlog_ = 0;               // writes
    io::Micros demand_updated_at_{0};  // monotonic; 0: never
};

}  // namespace hatchwind::controller
