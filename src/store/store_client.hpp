/// Calls to the store: its budgets, and what each answer proves.
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

enum class CommitOutcome : std::uint8_t {
    committed,
    conflict,     ///< not executed, and a condition failed
    refused,      ///< not executed: malformed, or the store lease has ended
    unavailable,  ///< not executed: outage or budget
    unknown,      ///< no answer: may have been executed, or may be later
};

struct CommitResult {
    CommitOutcome outcome = CommitOutcome::unknown;
    core::Revision revision = 0;      ///< of the commit, or of the store when a condition failed
    std::vector<std::string> failed;  ///< after a conflict: keys whose conditions did not hold
};

struct GetResult {
    bool ok = false;  ///< an answer came: the value, or certainty that there is none
    std::optional<wire::Json> value;
    core::Revision mod_revision = 0;
    core::Revision revision = 0;  ///< of the store, when there is no value
};

struct WatchResult {
    bool ok = false;
    bool too_old = false;  ///< the store must be read anew
    wire::StorePage page;
};

/// Who waits for a commit, and how much of it cannot wait.
struct CommitPriority {
    /// What a user waits for goes ahead of what this controller has queued itself, within limits.
    bool for_user = false;
    /// Of its writes, those that count as demand; all when nothing is said. What only takes unused writes is
    /// none.
    std::optional<double> demand;
};

/// Deadlines are monotonic times. A call that its budget can't bear before its deadline is not sent.
class StoreClient {
  public:
    enum class Renewal : std::uint8_t { done, ended, failed };

    StoreClient(io::Loop& loop, const Settings& settings);

    io::Task<GetResult> get(std::string key, io::Micros deadline);
    /// Keys with that prefix which come after `after`, in order; nothing when no answer came.
    io::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
    io::Task<CommitResult> commit(wire::Transaction transaction, io::Micros deadline,
                                  CommitPriority priority = {});
    /// A new store lease; nothing when no answer came.
    io::Task<std::optional<std::uint64_t>> grant_lease(io::Micros time_to_live);
    io::Task<Renewal> renew_lease(std::uint64_t store_lease, io::Micros deadline);
    /// Changes after that revision; the store holds its answer back for `block` while there are none.
    io::Task<WatchResult> watch(std::string prefix, core::Revision after, io::Micros block);

    /// The limits are for all controllers together. `writes`: this one's share of the write limit, 0 to 1.
    void share(std::size_t controllers, double writes);
    /// Writes that somebody holds back for want of budget.
    void set_backlog(double writes) { backlog_ = writes; }
    /// Writes wanted a second: those made of late, and what waits.
    double demand() const { return demand_ / kDemandSpan + backlog_; }
    /// Writes that could be made at once; negative while some are owed.
    double spare_writes();
    /// This controller's writes a second.
    double write_rate() const { return writes_.rate(); }
    /// Writes a second that all controllers together may make, less what users' requests are kept for.
    double write_capacity() const;
    /// False once calls have gone unanswered for a while.
    bool reachable(io::Micros monotonic_now) const;

  private:
    static constexpr double kDemandSpan = 3;  // seconds
    static constexpr std::size_t kMaxResponseBytes = std::size_t{4} << 20U;

    struct Call {
        std::string method;
        std::string target;
        std::string body;
        io::Micros deadline{0};
        double writes = 0;      // that it takes from the write budget
        bool urgent = false;    // sent whatever the budgets say
        bool for_user = false;  // as for CommitPriority
        std::size_t max_response_bytes = kMaxResponseBytes;
    };

    io::Task<io::HttpResult> send(Call call);
    /// Takes the call from the budgets; how long to wait before it may be sent, or nothing if that is too
    /// long.
    std::optional<io::Micros> reserve_budget(const Call& call);
    void record_reachability(const io::HttpResult& reply);
    /// The decoded body; one that can't be read is logged.
    std::optional<wire::Json> decode(const io::HttpResponse& response, const char* call);
    void record_demand(double writes);

    io::Loop& loop_;
    const Settings& settings_;
    io::HttpClient http_;
    TokenBucket requests_;
    TokenBucket writes_;
    TokenBucket user_writes_;
    io::Micros failing_since_{0};  // 0: the last call was answered
    std::uint64_t malformed_ = 0;
    double demand_ = 0;
    double backlog_ = 0;
    io::Micros demand_at_{0};
};

}  // namespace hatchwind::controller
