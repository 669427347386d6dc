// Stand-ins for the state service, the cloud and workers, speaking their protocols on loopback.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::test {

using wire::Json;

// Each test process has a loopback address of its own and counts its ports. A free port that the kernel named
// could be taken between the asking and the listening, by another test or by an outgoing connection, which
// are given ports at 127.0.0.1.
inline io::Address local(std::uint16_t port) {
    const auto pid = static_cast<std::uint32_t>(::getpid());
    return {0x7f000000U | (0x010000U + pid % 0xfe0000U), port};
}
inline std::uint16_t free_port() {
    static std::uint16_t last = 10'000;
    return ++last;
}
inline std::string text_of(io::Address a) {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
        out += std::to_string(a.ip >> shift & 0xffU) + (shift > 0 ? "." : ":");
    return out + std::to_string(a.port);
}

inline io::HttpResponse reply(int status, const Json& v = Json::object()) {
    io::HttpResponse r;
    r.status = status;
    r.body = wire::encode(v);
    return r;
}

inline std::string query(const std::string& target, const std::string& key) {
    const auto at = target.find(key + "=");
    if (at == std::string::npos) return "";
    const auto from = at + key.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

// Passes connections on to somebody else until it is cut: then nothing more arrives on either side.
// The body of a response; empty when there is no response.
inline std::string body_of(const io::HttpResult& result) { return result ? result->body : std::string{}; }

class Relay {
  public:
    Relay(io::Loop& loop, io::Address to)
        : address(local(free_port())), loop_(loop), to_(to), listener_(loop, address) {
        scope_.spawn(serve());
    }
    const io::Address address;
    bool cut = false;

  private:
    io::Task<void> serve() {
        while (true) {
            io::Socket socket = co_await listener_.accept();
            if (!cut) scope_.spawn(join(std::move(socket)));
        }
    }
    io::Task<void> join(io::Socket near) {
        const io::Micros soon = io::steady_now() + io::Micros{1'000'000};
        auto task = io::connect(loop_, to_, soon);
        auto far = co_await std::move(task);
        if (!far) co_return;
        auto a = std::make_shared<io::Socket>(std::move(near));
        auto b = std::make_shared<io::Socket>(std::move(*far));
        scope_.spawn(pump(a, b));
        auto back = pump(b, a);
        co_await std::move(back);
    }
    io::Task<void> pump(std::shared_ptr<io::Socket> from, std::shared_ptr<io::Socket> to) {
        std::array<char, 16384> buffer;
        while (true) {
            const io::Micros long_after = io::steady_now() + io::Micros{60'000'000};
            const auto n = co_await from->read(buffer.data(), buffer.size(), long_after);
            if (!n || *n == 0 || cut) co_return;
            const std::string_view data{buffer.data(), *n};
            auto sent = to->write(data, long_after);
            const auto written = co_await std::move(sent);
            if (!written) co_return;
        }
    }
    io::Loop& loop_;
    io::Address to_;
    io::Listener listener_;
    io::Scope scope_;
};

class StateStandIn {
  public:
    explicit StateStandIn(io::Loop& loop)
        : address(local(free_port())),
          loop_(loop),
          changed_(loop),
          server_(loop, address, {}, [this](io::HttpRequest r) { return handle(std::move(r)); }) {
        scope_.spawn(server_.serve());
        scope_.spawn(expire());
    }
    const io::Address address;
    bool down = false;
    bool drop_next_commit_answer = false;  // carried out, but the answer is a 500
    struct Item {
        Json value;
        std::uint64_t mod_revision = 0;
        std::uint64_t store_lease = 0;
    };
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::size_t most_writes = 0;
    std::uint64_t oldest = 0;  // changes up to it are not kept: whoever watches from before gets 410
    std::size_t page = 1000;
    std::function<void(const Json&)> on_commit;           // sees every transaction before it is carried out
    std::function<io::Micros(const Json&)> answer_after;  // how long a transaction's answer takes
    std::function<bool(const Json&)> hidden;              // changes that no watch brings
    enum class Treatment : std::uint8_t {
        carry_out,
        refuse,       // 503
        lose_answer,  // carried out, but the answer is a 500
        hold,         // not carried out, a 500, and kept in `held`
    };
    std::function<Treatment(const Json&)> treat;  // of transactions
    std::vector<Json> recorded_attempts;          // late_commit() carries them out
    io::Micros read_latency{0};                   // of single keys
    io::Micros watch_latency{0};                  // the answer is as old as that when it arrives
    io::Micros list_latency{0};                   // likewise a page of keys
    bool hold_watches = false;
    std::size_t lists = 0;
    std::size_t writes = 0;  // puts and deletes carried out
    // What a transaction may hold; 400 otherwise. No limits at first.
    std::size_t value_bytes_limit = SIZE_MAX;
    std::size_t transaction_limit = SIZE_MAX;
    std::vector<std::string> oversized;  // what was refused for its size, in words
    std::size_t conflicts = 0;

    // A copy of an old request arrives.
    int late_commit(const Json& t) { return commit(t).status; }

  private:
    struct Grant {
        io::Micros life{}, until{};
    };
    io::Task<void> expire() {
        while (true) {
            co_await loop_.sleep(io::Micros{20'000});
            if (down) {
                for (auto& [id, g] : grants_) g.until = io::steady_now() + g.life;
                continue;
            }
            for (auto it = grants_.begin(); it != grants_.end();) {
                if (it->second.until > io::steady_now()) {
                    ++it;
                    continue;
                }
                const auto id = it->first;
                it = grants_.erase(it);
                drop(id);
            }
        }
    }
    void drop(std::uint64_t store_lease) {
        for (auto i = items.begin(); i != items.end();) {
            if (i->second.store_lease != store_lease) {
                ++i;
                continue;
            }
            log_.push_back({{"delete", i->first}, {"stamp", ++revision}});
            i = items.erase(i);
        }
        changed_.notify_all();
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest q) {
        if (q.target.starts_with("/watch")) {
            const auto after = std::stoull(query(q.target, "after"));
            const auto prefix = query(q.target, "starts");
            const auto end = io::steady_now() + io::Micros{std::stoll(query(q.target, "blockMs")) * 1000};
            while (true) {
                if (after < oldest) co_return reply(410);
                Json log = Json::array();
                for (const auto& e : log_) {
                    const std::string key = e.contains("write") ? e["write"] : e["delete"];
                    if (hidden && hidden(e)) continue;
                    if (e["stamp"].get<std::uint64_t>() > after && key.starts_with(prefix)) log.push_back(e);
                }
                if (!down && !hold_watches && (!log.empty() || io::steady_now() >= end)) {
                    auto out = reply(200, {{"ledger", revision}, {"log", log}});
                    if (watch_latency.count() > 0) co_await loop_.sleep(watch_latency);
                    co_return out;
                }
                co_await changed_.wait(down || hold_watches ? io::steady_now() + io::Micros{50'000} : end);
            }
        }
        if (down) co_return reply(503, {{"error", "trouble"}});
        const auto body = wire::decode(q.body);
        if (q.target.starts_with("/store?")) {
            Json pairs = Json::array();
            bool more = false;
            for (const auto& [k, i] : items) {
                if (!k.starts_with(query(q.target, "starts")) || k <= query(q.target, "after")) continue;
                more = pairs.size() == page;
                if (more) break;
                pairs.push_back({{"path", k}, {"v", i.value}, {"stamp", i.mod_revision}});
            }
            auto out = reply(200, {{"pairs", pairs}, {"hasNext", more}, {"ledger", revision}});
            ++lists;
            if (list_latency.count() > 0) co_await loop_.sleep(list_latency);
            co_return out;
        }
        if (q.target.starts_with("/store/")) {
            if (read_latency.count() > 0) co_await loop_.sleep(read_latency);
            const auto it = items.find(q.target.substr(7));
            if (it == items.end()) co_return reply(404, {{"ledger", revision}});
            co_return reply(
                200, {{"path", it->first}, {"v", it->second.value}, {"stamp", it->second.mod_revision}});
        }
        if (q.target == "/commit") {
            const Treatment treatment = treat ? treat(*body) : Treatment::carry_out;
            if (treatment == Treatment::refuse) co_return reply(503, {{"error", "trouble"}});
            if (treatment == Treatment::hold) {
                recorded_attempts.push_back(*body);
                co_return reply(500);
            }
            auto out = commit(*body);
            if (treatment == Treatment::lose_answer) out = reply(500);
            const io::Micros wait = answer_after ? answer_after(*body) : io::Micros{0};
            if (wait.count() > 0) co_await loop_.sleep(wait);
            co_return out;
        }
        if (q.target == "/grants") {
            const io::Micros life{(*body)["lifeMs"].get<std::int64_t>() * 1000};
            grants_[++next_grant_] = {life, io::steady_now() + life};
            co_return reply(200, {{"tenure", next_grant_}});
        }
        if (q.target.starts_with("/grants/")) {
            const auto it = grants_.find(std::stoull(q.target.substr(8)));
            if (it == grants_.end()) co_return reply(404);
            it->second.until = io::steady_now() + it->second.life;
            co_return reply(200);
        }
        co_return reply(400);
    }
    std::string exceeds_limits(const Json& t) const {
        if (t["writes"].size() > transaction_limit)
            return std::to_string(t["writes"].size()) + " writes: " + t["writes"].dump();
        if (t["when"].size() / 4 >= transaction_limit && t["when"].size() > 4 * transaction_limit)
            return std::to_string(t["when"].size()) + " conditions";
        for (const auto& w : t["writes"]) {
            if (w.contains("write") && w["v"].dump().size() > value_bytes_limit)
                return std::to_string(w["v"].dump().size()) + " bytes: " + w["write"].get<std::string>();
        }
        return "";
    }
    io::HttpResponse commit(const Json& t) {
        if (on_commit) on_commit(t);
        if (const std::string reason = exceeds_limits(t); !reason.empty()) {
            oversized.push_back(reason);
            return reply(400, {{"error", reason}});
        }
        Json failed = Json::array();
        for (const auto& c : t["when"]) {
            const auto it = items.find(c["path"]);
            if ((it == items.end() ? 0 : it->second.mod_revision) != c["stamp"].get<std::uint64_t>())
                failed.push_back(c["path"]);
        }
        most_writes = std::max(most_writes, t["writes"].size());
        for (const auto& w : t["writes"]) {
            if (w.contains("tenure") && !grants_.contains(w["tenure"].get<std::uint64_t>()))
                return reply(400, {{"error", "no such lease"}});
        }
        if (!failed.empty()) {
            ++conflicts;
            return reply(409, {{"failed", failed}, {"ledger", revision}});
        }
        ++revision;
        writes += t["writes"].size();
        for (const auto& w : t["writes"]) {
            if (w.contains("write")) {
                items[w["write"]] = {w["v"], revision, w.value("tenure", std::uint64_t{0})};
                log_.push_back({{"write", w["write"]}, {"v", w["v"]}, {"stamp", revision}});
            } else if (items.erase(w["delete"]) != 0) {
                log_.push_back({{"delete", w["delete"]}, {"stamp", revision}});
            }
        }
        changed_.notify_all();
        if (std::exchange(drop_next_commit_answer, false)) return reply(500);
        return reply(200, {{"ledger", revision}});
    }

    io::Loop& loop_;
    io::Signal changed_;
    io::Scope scope_;
    std::vector<Json> log_;
    std::map<std::uint64_t, Grant> grants_;
    std::uint64_t next_grant_ = 0;
    io::HttpServer server_;
};

// A worker that runs its tasks for as long as it is told, and checks that no task runs on two of them.
class WorkerStandIn {
  public:
    struct World {
        std::map<std::string, std::string> running;  // task -> machine
        std::map<std::string, int> started;
        std::map<std::string, int> completed;
        std::vector<std::string> broken_rules;
        io::Micros run_time{300'000};
        std::set<std::string> endless;  // jobs whose tasks never end
        // Tasks that must have completed before any task of a job starts.
        std::map<std::string, std::vector<std::string>> needs;
        double lease_s = 3;
    };
    WorkerStandIn(io::Loop& loop, World& w, std::string id, std::string zone, std::vector<io::Address> nodes,
                  std::vector<std::string> labels)
        : loop_(loop),
          world_(w),
          id_(std::move(id)),
          zone_(std::move(zone)),
          nodes_(std::move(nodes)),
          labels_(std::move(labels)),
          address_(local(free_port())),
          client_(loop),
          began_(io::steady_now()),
          server_(loop, address_, {}, [this](io::HttpRequest r) { return handle(std::move(r)); }) {
        scope_.spawn(server_.serve());
        scope_.spawn(report());
        scope_.spawn(run());
    }
    ~WorkerStandIn() {
        for (auto& [name, t] : tasks_) leave(name, t);
    }
    const std::string& id() const { return id_; }
    io::Address address() const { return address_; }
    const std::string& zone() const { return zone_; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    std::size_t home() const { return at_ % nodes_.size(); }  // the node that it reports to
    bool hung = false;
    bool deaf = false;         // its reports arrive, but neither answers nor orders reach it
    bool hold_orders = false;  // requests are kept, and get no answer
    std::vector<Json> recorded_attempts;
    Json last_report;
    std::uint64_t incarnation() const { return session_; }
    // A copy of orders arrives late.
    bool late_orders(const Json& b) {
        if (b["baton"].get<std::uint64_t>() < fencing_token_ || b["stint"] != session_) return false;
        execute(b["calls"]);
        return true;
    }

  private:
    struct TaskState {
        std::uint64_t attempt = 0;
        std::string state, cause;
        io::Micros until{};
    };
    void leave(const std::string& name, TaskState& t) {
        if (t.state == "running" && world_.running[name] == id_) world_.running.erase(name);
    }
    Json describe() {
        Json legs = Json::array();
        for (const auto& [name, t] : tasks_) {
            Json l{{"leg", name}, {"try", t.attempt}, {"status", t.state}};
            if (!t.cause.empty()) l["cause"] = t.cause;
            legs.push_back(l);
        }
        return {{"perch", id_},        {"address", text_of(address_)},
                {"build", "c4"},       {"roost", zone_},
                {"borrowed", false},   {"stint", session_},
                {"tick", ++tick_},     {"baton", fencing_token_},
                {"warningS", nullptr}, {"legs", legs}};
    }
    void execute(const Json& calls) {
        for (const auto& c : calls) {
            const std::string name = c["leg"];
            const auto attempt = c["try"].get<std::uint64_t>();
            const auto it = tasks_.find(name);
            if (c["call"] == "start") {
                if (it != tasks_.end() && it->second.attempt == attempt) continue;
                if (it != tasks_.end() && it->second.state != "exited") continue;
                if (world_.running.contains(name)) world_.broken_rules.push_back("ran_twice " + name);
                for (const auto& resources : world_.needs[name.substr(0, name.find('/'))]) {
                    if (world_.completed[resources] == 0)
                        world_.broken_rules.push_back("too_early " + name + " before " + resources);
                }
                world_.running[name] = id_;
                ++world_.started[name];
                tasks_[name] = {attempt, "running", "", io::steady_now() + world_.run_time};
            } else if (it != tasks_.end() && it->second.attempt == attempt) {
                if (c["call"] == "halt" && it->second.state != "exited") {
                    leave(name, it->second);
                    it->second.state = "exited";
                    it->second.cause = "stopped";
                } else if (c["call"] == "reap" && it->second.state == "exited") {
                    tasks_.erase(it);
                }
            }
        }
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest q) {
        while (hung || deaf) co_await loop_.sleep(io::Micros{20'000});
        if (hold_orders && q.target == "/orders") {
            recorded_attempts.push_back(*wire::decode(q.body));
            while (hold_orders) co_await loop_.sleep(io::Micros{20'000});
            co_await loop_.sleep(io::Micros{3'000'000});  // beyond the caller's patience
        }
        if (q.target == "/status") co_return reply(200, describe());
        const auto b = wire::decode(q.body);
        if (!b || !b->contains("baton") || !b->contains("stint")) co_return reply(400);
        const auto fencing_token = (*b)["baton"].get<std::uint64_t>();
        if (fencing_token < fencing_token_ || (*b)["stint"] != session_) co_return reply(409, describe());
        fencing_token_ = fencing_token;
        execute((*b)["calls"]);
        co_return reply(200, describe());
    }
    io::Task<void> report() {
        while (true) {
            co_await loop_.sleep(io::Micros{100'000});
            while (hung) co_await loop_.sleep(io::Micros{20'000});
            const auto sent = io::steady_now();
            if (sent - began_ > io::Micros{static_cast<std::int64_t>(world_.lease_s * 1e6)}) {
                for (auto& [name, t] : tasks_) leave(name, t);
                tasks_.clear();
                ++session_;
                began_ = sent;
            }
            last_report = describe();
            auto task = client_.send(nodes_[at_ % nodes_.size()], "POST", "/hello", wire::encode(last_report),
                                     sent + io::Micros{700'000});
            auto r = co_await std::move(task);
            if (deaf) r = io::HttpError::timed_out;
            const auto v = r.has_status(200) || r.has_status(421) ? wire::decode(r->body) : std::nullopt;
            if (r.has_status(200) && v && (*v)["baton"].get<std::uint64_t>() >= fencing_token_) {
                fencing_token_ = (*v)["baton"].get<std::uint64_t>();
                began_ = sent;
                execute((*v)["calls"]);
                continue;
            }
            ++at_;
            if (r.has_status(421) && v && v->contains("home")) {
                for (std::size_t i = 0; i < labels_.size(); ++i) {
                    if (labels_[i] == (*v)["home"]) at_ = i;
                }
            }
        }
    }
    io::Task<void> run() {
        while (true) {
            co_await loop_.sleep(io::Micros{20'000});
            if (hung) continue;
            for (auto& [name, t] : tasks_) {
                if (t.state != "running" || t.until > io::steady_now() ||
                    world_.endless.contains(name.substr(0, name.find('/'))))
                    continue;
                leave(name, t);
                t.state = "exited";
                t.cause = "done";
                ++world_.completed[name];
            }
        }
    }

    io::Loop& loop_;
    World& world_;
    std::string id_, zone_;
    std::vector<io::Address> nodes_;
    std::vector<std::string> labels_;
    io::Address address_;
    io::HttpClient client_;
    io::Scope scope_;
    std::map<std::string, TaskState> tasks_;
    std::uint64_t session_ = 1, tick_ = 0, fencing_token_ = 0;
    std::size_t at_ = 0;
    io::Micros began_;
    io::HttpServer server_;
};

class CloudStandIn {
  public:
    using MakeWorker = std::function<std::unique_ptr<WorkerStandIn>(std::string id, std::string zone)>;
    CloudStandIn(io::Loop& loop, MakeWorker make)
        : address(local(free_port())),
          make_(std::move(make)),
          server_(loop, address, {}, [this](io::HttpRequest r) { return handle(std::move(r)); }) {
        scope_.spawn(server_.serve());
    }
    const io::Address address;
    std::map<std::string, std::unique_ptr<WorkerStandIn>> workers;
    std::set<std::string> asks;
    double cores = 4.0;  // of the only machine type, as the catalog says

  private:
    io::Task<io::HttpResponse> handle(io::HttpRequest q) {
        const auto b = wire::decode(q.body);
        if (q.target == "/catalog") {
            co_return reply(200, {{"builds",
                                   {{{"name", "c4"},
                                     {"cores", cores},
                                     {"accelerators", 0.0},
                                     {"memGb", 16.0},
                                     {"localGb", 20.0},
                                     {"fetchGbPerS", 1.0},
                                     {"price", 0.2},
                                     {"marketPrice", 0.1},
                                     {"startupS", 1.0},
                                     {"roosts", {"a", "b"}}}}}});
        }
        if (q.target == "/rentals" && q.method == "POST") {
            if (!asks.insert((*b)["ask"]).second) co_return reply(503, {{"error", "no capacity"}});
            if (workers.size() >= 8 || (*b)["borrowed"].get<bool>())
                co_return reply(503, {{"error", "no capacity"}});
            char id[16];
            std::snprintf(id, sizeof id, "n-%06d", ++last_);
            workers[id] = make_(id, (*b)["roost"]);
            co_return reply(200, {{"perches", {id}}});
        }
        if (q.target == "/rentals/release") {
            for (const auto& m : (*b)["perches"]) workers.erase(m.get<std::string>());
            co_return reply(200);
        }
        Json list = Json::array();
        for (const auto& [id, w] : workers) {
            list.push_back({{"id", id},
                            {"address", text_of(w->address())},
                            {"build", "c4"},
                            {"roost", w->zone()},
                            {"borrowed", false},
                            {"status", "running"},
                            {"heldS", 5.0}});
        }
        co_return reply(200, {{"perches", list}, {"hasNext", false}});
    }
    MakeWorker make_;
    int last_ = 0;
    io::Scope scope_;
    io::HttpServer server_;
};

}  // namespace hatchwind::test
