#include "store/store_client.hpp"

#include <spdlog/spdlog.h>

#include <cmath>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCall{2'000'000};
constexpr double kUsersPart = 0.1;  // of the write limit
// A little below the limits: other nodes' bursts fall into the same second.
constexpr double kUsedOfWriteLimit = 0.92;
}  // namespace

StoreClient::StoreClient(io::Loop& loop, const Settings& s)
    : loop_(loop), settings_(s), http_(loop, 6), requests_(1, 1), writes_(1, 1), user_writes_(1, 1) {
    share(s.peers.size() + 1, 1.0 / static_cast<double>(s.peers.size() + 1));
}

void StoreClient::share(std::size_t member_records, double writes) {
    const double n = static_cast<double>(std::max<std::size_t>(member_records, 1));
    requests_.set(settings_.state_rps * 0.9 / n, std::max(4.0, settings_.state_rps * 0.5 / n));
    const double rate = write_capacity() * writes;
    writes_.set(rate, std::max(4.0, rate * 0.9));
    // Users' acceptances and cancels have a part of their own: behind an shard owner's transaction of dozens
    // of writes one that takes milliseconds waited for seconds.
    const double users = settings_.state_write_rps * kUsersPart / n;
    user_writes_.set(users, std::max(3.0, users * 3));
}

double StoreClient::write_capacity() const {
    return settings_.state_write_rps * kUsedOfWriteLimit * (1 - kUsersPart);
}

void StoreClient::want(double writes) {
    const Micros now = steady_now();
    if (demand_at_.count() != 0)
        demand_ *= std::exp(-static_cast<double>((now - demand_at_).count()) / 1e6 / kDemandSpan);
    demand_at_ = now;
    demand_ = std::min(demand_ + writes, settings_.state_write_rps * kDemandSpan);
}

double StoreClient::spare_writes() { return writes_.spare(steady_now()); }

bool StoreClient::reachable(Micros now) const {
    return failing_since_.count() == 0 || now - failing_since_ < Micros{600'000};
}

Task<io::HttpReply> StoreClient::call(std::string method, std::string target, std::string body,
                                      Micros deadline, double writes, bool urgent, std::size_t most,
                                      bool for_user) {
    io::HttpReply reply;
    if (!urgent) {
        const Micros now = steady_now();
        const double debt = for_user ? 0.7 : 0;
        TokenBucket* from = &writes_;
        Micros wait = writes > 0 ? writes_.wait(writes, now, debt) : Micros{0};
        if (const Micros own = user_writes_.wait(writes, now); for_user && own < wait) {
            from = &user_writes_;
            wait = own;
        }
        wait = std::max(wait, requests_.wait(1, now, debt));
        if (now + wait >= deadline) {
            reply.status = 429;  // our own budget: never sent
            reply.never_sent = true;
            co_return reply;
        }
        requests_.spend(1, now);
        if (writes > 0) from->spend(writes, now);
        if (wait.count() > 0) co_await loop_.sleep(wait);
    } else {
        requests_.spend(1, steady_now());
    }
    auto task =
        http_.send(settings_.state, std::move(method), std::move(target), std::move(body), deadline, most);
    reply = co_await std::move(task);
    const Micros now = steady_now();
    if (reply.status == 0 || reply.status == 503) {
        if (failing_since_.count() == 0) failing_since_ = now;
    } else {
        last_ok_ = now;
        failing_since_ = Micros{0};
    }
    co_return reply;
}

std::optional<wire::Json> StoreClient::parse(const io::HttpReply& r, const char* what) {
    auto v = wire::decode(r.body);
    if (!v) {
        ++malformed_;
        spdlog::warn("event=malformed_response from=state call={} count={}", what, malformed_);
    }
    return v;
}

Task<GetResult> StoreClient::get(std::string key, Micros deadline) {
    GetResult out;
    auto task = call("GET", "/store/" + key, "", deadline, 0, false);
    const io::HttpReply r = co_await std::move(task);
    if (r.status != 200 && r.status != 404) co_return out;
    const auto v = parse(r, "get");
    if (!v) co_return out;
    if (r.status == 404) {
        const auto revision = wire::whole(*v, "ledger");
        if (!revision) co_return out;
        out.ok = true;
        out.revision = *revision;
        co_return out;
    }
    const auto mod_revision = wire::whole(*v, "stamp");
    if (!mod_revision || !v->contains("v")) co_return out;
    out.ok = true;
    out.value = (*v)["v"];
    out.mod_revision = *mod_revision;
    co_return out;
}

Task<std::optional<wire::StorePage>> StoreClient::page(std::string prefix, std::string after) {
    std::string target = "/store?starts=" + prefix;
    if (!after.empty()) target += "&after=" + after;
    target += "&most=1000";
    auto task = call("GET", std::move(target), "", steady_now() + kCall, 0, false);
    const io::HttpReply r = co_await std::move(task);
    if (r.status != 200) co_return std::nullopt;
    const auto v = parse(r, "list");
    if (!v) co_return std::nullopt;
    co_return wire::parse_page(*v).optional();
}

Task<CommitResult> StoreClient::commit(wire::Transaction t, Micros deadline, CommitPriority priority) {
    CommitResult out;
    const auto writes = static_cast<double>(t.writes.size());
    want(priority.demand.value_or(writes));
    auto task = call("POST", "/commit", wire::encode(wire::transaction_request(t)), deadline, writes, false,
                     4U << 20U, priority.for_user);
    const io::HttpReply r = co_await std::move(task);
    if (r.status == 429 || r.status == 503 || r.never_sent) {
        out.outcome = CommitOutcome::unavailable;
        co_return out;
    }
    if (r.status == 400) {
        spdlog::warn("event=commit_rejected body={}", r.body.substr(0, 80));
        out.outcome = CommitOutcome::refused;
        co_return out;
    }
    if (r.status != 200 && r.status != 409) co_return out;
    const auto v = parse(r, "commit");
    const auto revision = v ? wire::whole(*v, "ledger") : std::nullopt;
    if (!revision) co_return out;
    out.outcome = r.status == 200 ? CommitOutcome::committed : CommitOutcome::conflict;
    out.revision = *revision;
    if (out.outcome == CommitOutcome::conflict) {
        out.failed = wire::failed_conditions(*v);
        spdlog::debug("event=commit_conflict revision={} failed={} first={}", out.revision, out.failed.size(),
                      out.failed.empty() ? "" : out.failed.front());
    }
    co_return out;
}

Task<std::optional<std::uint64_t>> StoreClient::grant_lease(Micros life) {
    wire::Json body{{"lifeMs", life.count() / 1000}};
    auto task = call("POST", "/grants", wire::encode(body), steady_now() + kCall, 0, true);
    const io::HttpReply r = co_await std::move(task);
    if (r.status != 200) co_return std::nullopt;
    const auto v = parse(r, "grant");
    if (!v) co_return std::nullopt;
    co_return wire::whole(*v, "tenure");
}

Task<StoreClient::Renewal> StoreClient::renew_lease(std::uint64_t store_lease, Micros deadline) {
    auto task = call("POST", "/grants/" + std::to_string(store_lease) + "/renew", "", deadline, 0, true);
    const io::HttpReply r = co_await std::move(task);
    if (r.status == 200) co_return Renewal::done;
    co_return r.status == 404 ? Renewal::ended : Renewal::failed;
}

Task<void> StoreClient::revoke_lease(std::uint64_t store_lease) {
    auto task = call("DELETE", "/grants/" + std::to_string(store_lease), "", steady_now() + kCall, 0, true);
    co_await std::move(task);
}

Task<WatchResult> StoreClient::watch(std::string prefix, core::Revision after, Micros block) {
    WatchResult out;
    std::string target = "/watch?starts=" + prefix + "&after=" + std::to_string(after) +
                         "&blockMs=" + std::to_string(block.count() / 1000);
    // Open watches stay open through an outage, so silence is no failure; but a watch behind a cut must end.
    auto task = call("GET", std::move(target), "", steady_now() + block + Micros{3'000'000}, 0, true,
                     std::max<std::size_t>(
                         256U << 10U, static_cast<std::size_t>(settings_.memory_mb * 1024 * 1024 / 128)));
    const io::HttpReply r = co_await std::move(task);
    // An answer has no bound: after a long cut it holds all that was written since, many times what the store
    // holds, and reading it once ended a small node for want of memory. The store itself comes in pages.
    if (r.status == 410 || r.too_large) {
        out.too_old = true;
        co_return out;
    }
    if (r.status != 200) co_return out;
    const auto v = parse(r, "watch");
    if (!v) co_return out;
    auto page = wire::parse_watch(*v);
    if (!page) co_return out;
    out.ok = true;
    out.page = std::move(*page);
    co_return out;
}

}  // namespace hatchwind::controller
