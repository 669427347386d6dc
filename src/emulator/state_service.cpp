#include "emulator/state_service.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "emulator/world.hpp"

namespace hatchwind::emulator {

using io::HttpRequest;
using io::HttpResponse;
using io::Micros;
using io::Task;
using wire::Json;

namespace {

constexpr Micros kLateExpiry{100'000};   // a grant may end so much late, never early
constexpr Micros kNoAnswer{60'000'000};  // longer than anybody waits
constexpr std::uint64_t kMostBlockMs = 60'000;

HttpResponse response(const Store::Answer& answer) {
    HttpResponse made;
    made.status = answer.status;
    made.body = wire::encode(answer.body);
    return made;
}
HttpResponse trouble() { return response({503, {{"error", "trouble"}}}); }
HttpResponse bad_request() { return response({400, {{"error", "malformed"}}}); }

std::string parameter(const std::string& target, const std::string& name) {
    for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
        if (target.compare(at + 1, name.size() + 1, name + "=") != 0) continue;
        const auto from = at + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
    }
    return "";
}

std::optional<std::uint64_t> whole(const std::string& text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

io::HttpServerLimits http_limits() {
    io::HttpServerLimits limits;
    limits.max_body_bytes = 1U << 20U;
    limits.max_connections = 4096;
    limits.max_kept_connections = 4096;
    return limits;
}

double writes_of(const Json& transaction) {
    const Json* writes = wire::list(transaction, "writes");
    return writes == nullptr ? 0 : static_cast<double>(writes->size());
}

}  // namespace

bool RateLimit::take(double amount, Micros now) {
    tokens_ = std::min(rate_, tokens_ + rate_ * static_cast<double>((now - last_).count()) / 1e6);
    last_ = now;
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
}

StateLatency StateLatency::times(double factor) const {
    const auto scaled = [factor](Micros time) {
        return Micros{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
    };
    return {scaled(least), scaled(most), slow_share, scaled(slow_least), scaled(slow_most)};
}

StateService::StateService(World& world, Host& host, StateLimits limits)
    : world_(world),
      host_(host),
      limits_(limits),
      random_(world.random("state service")),
      request_rate_(limits.requests_per_s),
      write_rate_(limits.writes_per_s),
      changed_(host.loop()),
      grants_changed_(host.loop()) {
    world.run_as(host, [this] { scope_.spawn(expire_grants()); });
}

StateService::~StateService() = default;

io::Address StateService::address_for(const std::string& name) {
    auto& client = clients_[name];
    if (!client) {
        client = std::make_unique<Client>();
        client->name = name;
        client->address = host_.address(++last_port_);
        Client& made = *client;
        world_.run_as(host_, [&] {
            made.server = std::make_unique<io::HttpServer>(
                host_.loop(), made.address, http_limits(),
                [this, &made](HttpRequest request) { return handle(made, std::move(request)); });
            scope_.spawn(made.server->serve());
        });
    }
    return client->address;
}

void StateService::set_outage(bool on) {
    world_.note("state", on ? "event=outage" : "event=outage_over");
    outage_ = on;
    store_.refresh_grants(world_.now());
    grants_changed_.notify_all();
    changed_.notify_all();
}

void StateService::refuse(const std::string& client, bool on) {
    world_.note("state", fmt::format("event={} client={}", on ? "refuse" : "refuse_over", client));
    address_for(client);
    clients_.at(client)->refused = on;
    changed_.notify_all();
}

void StateService::set_limits(const StateLimits& limits) {
    world_.note("state",
                fmt::format("event=limits rps={} write_rps={} txn_ops={} value_kb={}", limits.requests_per_s,
                            limits.writes_per_s, limits.store.writes, limits.store.value_kb));
    limits_ = limits;
    request_rate_.set(limits.requests_per_s);
    write_rate_.set(limits.writes_per_s);
}

void StateService::late_commits(const std::string& client, double share, Micros least, Micros most) {
    for (auto& [name, chosen] : clients_) {
        if (!client.empty() && name != client) continue;
        chosen->late_share = share;
        chosen->late_least = least;
        chosen->late_most = most;
    }
}

void StateService::lose_answers(const std::string& client, double share) {
    for (auto& [name, chosen] : clients_)
        if (client.empty() || name == client) chosen->lost_share = share;
}

Micros StateService::between(Micros least, Micros most) {
    const auto range = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least + Micros{static_cast<std::int64_t>(random_() % range)};
}

bool StateService::chance(double share) {
    return share > 0 && static_cast<double>(random_() >> 11U) * 0x1.0p-53 < share;
}

Task<void> StateService::expire_grants() {
    while (true) {
        const Micros next = outage_ ? Micros::max() : store_.next_expiry();
        Micros until = Micros::max();
        if (next != Micros::max()) {
            const Micros late = between(Micros{0}, kLateExpiry);
            until = io::steady_now() + std::max(next + late - world_.now(), Micros{1});
        }
        const bool other_grants = co_await grants_changed_.wait(until);
        if (other_grants) continue;
        if (outage_ || !store_.expire(world_.now())) continue;
        world_.note("state", "event=grants_ended");
        changed_.notify_all();
    }
}

Task<HttpResponse> StateService::handle(Client& client, HttpRequest request) {
    ++requests_;
    Micros delay = between(latency_.least, latency_.most);
    if (chance(latency_.slow_share)) delay += between(latency_.slow_least, latency_.slow_most);
    // Half of the way before the request is carried out, half after.
    co_await host_.loop().sleep(delay / 2);
    auto task = answer(client, std::move(request));
    HttpResponse made = co_await std::move(task);
    co_await host_.loop().sleep(delay / 2);
    co_return made;
}

Task<HttpResponse> StateService::answer(Client& client, HttpRequest request) {
    if (unavailable(client)) co_return trouble();
    if (!request_rate_.take(1, world_.now())) {
        ++refused_by_rate_;
        co_return response({429, {{"error", "too many requests"}}});
    }
    const std::string& target = request.target;
    if (request.method == "GET" && target.starts_with("/watch")) {
        auto task = watch(client, target);
        HttpResponse made = co_await std::move(task);
        co_return made;
    }
    if (request.method == "POST" && target == "/commit") {
        auto task = commit(client, std::move(request.body));
        HttpResponse made = co_await std::move(task);
        co_return made;
    }
    if (request.method == "GET" && target.starts_with("/store?")) {
        const auto most = whole(parameter(target, "most"));
        co_return response(
            store_.list(parameter(target, "starts"), parameter(target, "after"), most.value_or(1000)));
    }
    if (request.method == "GET" && target.starts_with("/store/"))
        co_return response(store_.get(target.substr(7)));
    if (target.starts_with("/grants")) co_return store_leases(request);
    co_return bad_request();
}

HttpResponse StateService::create_grant(const std::string& body) {
    const auto request = wire::decode(body);
    const auto life_ms = request ? wire::whole(*request, "lifeMs") : std::nullopt;
    if (!life_ms || *life_ms < 100 || *life_ms > 600'000) return bad_request();
    const Micros life{static_cast<std::int64_t>(*life_ms) * 1000};
    const std::uint64_t store_lease = store_.grant_lease(life, world_.now());
    grants_changed_.notify_all();
    return response({200, {{"tenure", store_lease}}});
}

HttpResponse StateService::store_leases(const HttpRequest& request) {
    constexpr std::string_view prefix = "/grants/";
    constexpr std::string_view renewal = "/renew";
    if (request.method == "POST" && request.target == "/grants") return create_grant(request.body);
    if (!request.target.starts_with(prefix)) return bad_request();
    std::string id = request.target.substr(prefix.size());
    const bool renews = request.method == "POST" && id.ends_with(renewal);
    if (renews) id.resize(id.size() - renewal.size());
    const auto store_lease = whole(id);
    if (!store_lease || (!renews && request.method != "DELETE")) return bad_request();
    const bool found = renews ? store_.renew_lease(*store_lease, world_.now()) : store_.end(*store_lease);
    grants_changed_.notify_all();
    if (!renews && found) changed_.notify_all();
    return found ? response({200}) : response({404});
}

CommitFault StateService::draw_fault(Client& client, const Json& transaction) {
    if (commit_fault) {
        const CommitFault chosen = commit_fault(client.name, transaction);
        if (chosen.kind != CommitFault::Kind::none) return chosen;
    }
    if (chance(client.late_share))
        return {CommitFault::Kind::late, between(client.late_least, client.late_most)};
    if (chance(client.lost_share)) return {CommitFault::Kind::answer_lost, {}};
    return {};
}

Store::Answer StateService::apply(const std::string& client, const Json& transaction) {
    const std::uint64_t before = store_.revision();
    Store::Answer answer = store_.commit(transaction, limits_.store);
    world_.note("state",
                fmt::format("event=commit client={} status={} writes={} revision={}", client, answer.status,
                            static_cast<int>(writes_of(transaction)), store_.revision()));
    if (store_.revision() != before) changed_.notify_all();
    return answer;
}

Task<void> StateService::apply_late(std::string client, Json transaction, Micros delay) {
    co_await host_.loop().sleep(delay);
    // What an outage meets is not carried out at all.
    if (!outage_) apply(client + " (late)", transaction);
}

Task<HttpResponse> StateService::commit(Client& client, std::string body) {
    const auto transaction = wire::decode(body);
    if (!transaction || !transaction->is_object()) co_return bad_request();
    if (!write_rate_.take(writes_of(*transaction), world_.now())) {
        ++refused_by_rate_;
        co_return response({429, {{"error", "too many writes"}}});
    }
    const CommitFault fault = draw_fault(client, *transaction);
    if (fault.kind == CommitFault::Kind::late) {
        scope_.spawn(apply_late(client.name, *transaction, fault.delay));
    } else {
        const Store::Answer answer = apply(client.name, *transaction);
        if (fault.kind == CommitFault::Kind::none) co_return response(answer);
        world_.note("state", fmt::format("event=answer_lost client={}", client.name));
    }
    co_await host_.loop().sleep(kNoAnswer);
    co_return response({504});
}

Task<HttpResponse> StateService::watch(Client& client, std::string target) {
    const auto after = whole(parameter(target, "after"));
    const std::string prefix = parameter(target, "starts");
    const std::string block = parameter(target, "blockMs");
    const auto block_ms = block.empty() ? 0 : whole(block);
    if (!after || !block_ms || *block_ms > kMostBlockMs) co_return bad_request();
    const Micros end = io::steady_now() + Micros{static_cast<std::int64_t>(*block_ms) * 1000};
    while (true) {
        if (!unavailable(client)) {
            auto log = store_.changes(prefix, *after);
            if (!log) co_return response({410, {{"ledger", store_.revision()}}});
            if (!log->empty() || io::steady_now() >= end)
                co_return response({200, {{"ledger", store_.revision()}, {"log", std::move(*log)}}});
        }
        // In an outage an open watch outlasts its time.
        co_await changed_.wait(unavailable(client) ? Micros::max() : end);
    }
}

}  // namespace hatchwind::emulator
