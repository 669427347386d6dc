// The store: its calls, its budgets, and what each answer proves.
#pragma once

#include <optional>
#include <string>

#include "config/settings.hpp"
#include "io/http.hpp"
#include "store/token_bucket.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

enum class CommitOutcome : std::uint8_t {
    committed,
    conflict,     // not executed, and a condition failed
    refused,      // not executed: malformed, or the store lease has ended
    unavailable,  // not executed: outage or budget
    unknown,      // no answer: may have been executed, or may be later
};

struct CommitResult {
    CommitOutcome outcome = CommitOutcome::unknown;
    core::Revision revision = 0;
    std::vector<std::string> failed;  // after a conflict: keys whose conditions did not hold
};

struct GetResult {
    bool ok = false;  // an answer came: the value, or certainty that there is none
    std::optional<wire::Json> value;
    core::Revision mod_revision = 0;
    core::Revision revision = 0;  // with no value
};

struct WatchResult {
    bool ok = false;
    bool too_old = false;
    wire::StorePage page;
};

// Who waits for a commit, and how much of it cannot wait.
struct CommitPriority {
    // What a user waits for goes ahead of what this node has queued itself, within limits.
    bool for_user = false;
    // Of its writes, those that count as demand; all when nothing is said. What only takes unused writes is
    // none.
    std::optional<double> demand;
};

class StoreClient {
  public:
    StoreClient(io::Loop& loop, const Settings& s);

    io::Task<GetResult> get(std::string key, io::Micros deadline);
    io::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
    io::Task<CommitResult> commit(wire::Transaction t, io::Micros deadline, CommitPriority priority = {});
    io::Task<std::optional<std::uint64_t>> grant_lease(io::Micros life);
    enum class Renewal : std::uint8_t { done, ended, failed };
    io::Task<Renewal> renew_lease(std::uint64_t store_lease, io::Micros deadline);
    io::Task<void> revoke_lease(std::uint64_t store_lease);
    io::Task<WatchResult> watch(std::string prefix, core::Revision after, io::Micros block);

    // The limits are for all nodes together. `writes`: this node's part of them.
    void share(std::size_t member_records, double writes);
    // Writes that somebody holds back for want of budget.
    void set_backlog(double writes) { backlog_ = writes; }
    // Writes wanted a second: those made of late, and what waits.
    double demand() const { return demand_ / kDemandSpan + backlog_; }
    double spare_writes();
    double write_rate() const { return writes_.rate(); }
    // Writes a second that all nodes together may make, less what users' requests are kept for.
    double write_capacity() const;
    bool reachable(io::Micros now) const;
    io::Micros last_ok() const { return last_ok_; }
    io::Micros failing_since() const { return failing_since_; }
    std::uint64_t malformed() const { return malformed_; }

  private:
    io::Task<io::HttpReply> call(std::string method, std::string target, std::string body,
                                 io::Micros deadline, double writes, bool urgent,
                                 std::size_t most = 4U << 20U, bool for_user = false);
    std::optional<wire::Json> parse(const io::HttpReply& r, const char* what);

    io::Loop& loop_;
    const Settings& settings_;
    io::HttpClient http_;
    TokenBucket requests_;
    TokenBucket writes_;
    TokenBucket user_writes_;
    io::Micros last_ok_{0};
    io::Micros failing_since_{0};  // 0: the last call was answered
    std::uint64_t malformed_ = 0;
    static constexpr double kDemandSpan = 3;  // seconds
    void want(double writes);
    double demand_ = 0;
    double backlog_ = 0;
    io::Micros demand_at_{0};
};

}  // namespace hatchwind::controller
