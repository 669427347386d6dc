/// Stand-ins for the state service, the cloud and workers, speaking their protocols on loopback. What a
/// stand-in does is set in its public members, at any time; what it counts is read there.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::test {

using wire::Json;

/// Each test process has a loopback address of its own and counts its ports. A free port that the kernel
/// named could be taken before somebody listens at it, by another test or by an outgoing connection, which
/// are given ports at 127.0.0.1.
inline io::Address local(std::uint16_t port) {
    const auto pid = static_cast<std::uint32_t>(::getpid());
    return {0x7f000000U | (0x010000U + pid % 0xfe0000U), port};
}
/// A port of local() that nobody in this process has used.
inline std::uint16_t free_port() {
    static std::uint16_t last = 10'000;
    return ++last;
}
/// The address as messages write it, "a.b.c.d:port".
inline std::string text_of(io::Address address) {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
        out += std::to_string(address.ip >> shift & 0xffU) + (shift > 0 ? "." : ":");
    return out + std::to_string(address.port);
}

/// A response with a CBOR body.
inline io::HttpResponse reply(int status, const Json& body = Json::object()) {
    io::HttpResponse response;
    response.status = status;
    response.body = wire::encode(body);
    return response;
}

/// The value of a key in the query of a target; empty without it.
inline std::string query(const std::string& target, const std::string& key) {
    const auto at = target.find(key + "=");
    if (at == std::string::npos) return "";
    const auto from = at + key.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

// The body of a response; empty when there is no response.
inline std::string body_of(const io::HttpResult& result) { return result ? result->body : std::string{}; }

/// Passes connections on to somebody else until it is cut: then nothing more arrives on either side.
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
        auto near_shared = std::make_shared<io::Socket>(std::move(near));
        auto far_shared = std::make_shared<io::Socket>(std::move(*far));
        scope_.spawn(pump(near_shared, far_shared));
        auto back = pump(far_shared, near_shared);
        co_await std::move(back);
    }
    io::Task<void> pump(std::shared_ptr<io::Socket> from, std::shared_ptr<io::Socket> to) const {
        std::array<char, 16384> buffer;
        while (true) {
            const io::Micros long_after = io::steady_now() + io::Micros{60'000'000};
            const auto length = co_await from->read(buffer.data(), buffer.size(), long_after);
            if (!length || *length == 0 || cut) co_return;
            const std::string_view data{buffer.data(), *length};
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

/// The state service: keys with revisions, transactions, leases and a watch, and the ways in which it fails.
class StateStandIn {
  public:
    explicit StateStandIn(io::Loop& loop)
        : address(local(free_port())),
          loop_(loop),
          changed_(loop),
          server_(loop, address, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
        scope_.spawn(expire());
    }
    const io::Address address;
    bool down = false;
    bool drop_next_commit_answer = false;  // carried out, but the answer is a 500
    // Version 14 takes the noexcept move of a Json for one that throws.
    // NOLINTNEXTLINE(bugprone-exception-escape)
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

    /// A duplicate of an old transaction arrives; returns the status of its answer.
    int late_commit(const Json& transaction) { return commit(transaction).status; }

  private:
    struct StoreLease {
        io::Micros ttl{};
        io::Micros expires_at{};
    };
    io::Task<void> expire() {
        while (true) {
            co_await loop_.sleep(io::Micros{20'000});
            if (down) {
                for (auto& [id, lease] : store_leases_) lease.expires_at = io::steady_now() + lease.ttl;
                continue;
            }
            for (auto it = store_leases_.begin(); it != store_leases_.end();) {
                if (it->second.expires_at > io::steady_now()) {
                    ++it;
                    continue;
                }
                const auto id = it->first;
                it = store_leases_.erase(it);
                delete_keys_of(id);
            }
        }
    }
    void delete_keys_of(std::uint64_t store_lease) {
        for (auto it = items.begin(); it != items.end();) {
            if (it->second.store_lease != store_lease) {
                ++it;
                continue;
            }
            log_.push_back({{"delete", it->first}, {"stamp", ++revision}});
            it = items.erase(it);
        }
        changed_.notify_all();
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest request) {
        if (request.target.starts_with("/watch")) {
            auto watching = watch(request.target);
            auto response = co_await std::move(watching);
            co_return response;
        }
        if (down) co_return reply(503, {{"error", "trouble"}});
        if (request.target.starts_with("/store?")) {
            auto out = page_of(request.target);
            ++lists;
            if (list_latency.count() > 0) co_await loop_.sleep(list_latency);
            co_return out;
        }
        if (request.target.starts_with("/store/")) {
            if (read_latency.count() > 0) co_await loop_.sleep(read_latency);
            co_return read(request.target.substr(std::string_view{"/store/"}.size()));
        }
        if (request.target == "/commit") {
            auto treated = treat_transaction(*wire::decode(request.body));
            auto response = co_await std::move(treated);
            co_return response;
        }
        if (request.target == "/grants") co_return acquire_lease(*wire::decode(request.body));
        if (request.target.starts_with("/grants/"))
            co_return renew_lease(std::stoull(request.target.substr(std::string_view{"/grants/"}.size())));
        co_return reply(400);
    }
    io::Task<io::HttpResponse> watch(std::string target) {
        const auto after = std::stoull(query(target, "after"));
        const auto prefix = query(target, "starts");
        const auto end = io::steady_now() + io::Micros{std::stoll(query(target, "blockMs")) * 1000};
        while (true) {
            if (after < oldest) co_return reply(410);
            const Json changes = changes_after(after, prefix);
            if (!down && !hold_watches && (!changes.empty() || io::steady_now() >= end)) {
                auto out = reply(200, {{"ledger", revision}, {"log", changes}});
                if (watch_latency.count() > 0) co_await loop_.sleep(watch_latency);
                co_return out;
            }
            co_await changed_.wait(down || hold_watches ? io::steady_now() + io::Micros{50'000} : end);
        }
    }
    Json changes_after(std::uint64_t after, const std::string& prefix) const {
        Json changes = Json::array();
        for (const auto& change : log_) {
            const std::string key = change.contains("write") ? change["write"] : change["delete"];
            if (hidden && hidden(change)) continue;
            if (change["stamp"].get<std::uint64_t>() > after && key.starts_with(prefix))
                changes.push_back(change);
        }
        return changes;
    }
    io::HttpResponse page_of(const std::string& target) const {
        const std::string prefix = query(target, "starts");
        const std::string after = query(target, "after");
        Json pairs = Json::array();
        bool more = false;
        for (const auto& [key, item] : items) {
            if (!key.starts_with(prefix) || key <= after) continue;
            more = pairs.size() == page;
            if (more) break;
            pairs.push_back({{"path", key}, {"v", item.value}, {"stamp", item.mod_revision}});
        }
        return reply(200, {{"pairs", pairs}, {"hasNext", more}, {"ledger", revision}});
    }
    io::HttpResponse read(const std::string& key) const {
        const auto it = items.find(key);
        if (it == items.end()) return reply(404, {{"ledger", revision}});
        return reply(200, {{"path", key}, {"v", it->second.value}, {"stamp", it->second.mod_revision}});
    }
    io::Task<io::HttpResponse> treat_transaction(Json transaction) {
        const Treatment treatment = treat ? treat(transaction) : Treatment::carry_out;
        if (treatment == Treatment::refuse) co_return reply(503, {{"error", "trouble"}});
        if (treatment == Treatment::hold) {
            recorded_attempts.push_back(transaction);
            co_return reply(500);
        }
        auto out = commit(transaction);
        if (treatment == Treatment::lose_answer) out = reply(500);
        const io::Micros wait = answer_after ? answer_after(transaction) : io::Micros{0};
        if (wait.count() > 0) co_await loop_.sleep(wait);
        co_return out;
    }
    io::HttpResponse acquire_lease(const Json& body) {
        const io::Micros ttl{body["lifeMs"].get<std::int64_t>() * 1000};
        store_leases_[++last_store_lease_] = {ttl, io::steady_now() + ttl};
        return reply(200, {{"tenure", last_store_lease_}});
    }
    io::HttpResponse renew_lease(std::uint64_t id) {
        const auto it = store_leases_.find(id);
        if (it == store_leases_.end()) return reply(404);
        it->second.expires_at = io::steady_now() + it->second.ttl;
        return reply(200);
    }
    std::string exceeds_limits(const Json& transaction) const {
        const Json& writes_wanted = transaction["writes"];
        const Json& conditions = transaction["when"];
        if (writes_wanted.size() > transaction_limit)
            return std::to_string(writes_wanted.size()) + " writes: " + writes_wanted.dump();
        if (conditions.size() / 4 >= transaction_limit && conditions.size() > 4 * transaction_limit)
            return std::to_string(conditions.size()) + " conditions";
        for (const auto& write : writes_wanted) {
            if (!write.contains("write")) continue;
            const std::size_t bytes = write["v"].dump().size();
            if (bytes > value_bytes_limit)
                return std::to_string(bytes) + " bytes: " + write["write"].get<std::string>();
        }
        return "";
    }
    io::HttpResponse commit(const Json& transaction) {
        if (on_commit) on_commit(transaction);
        if (const std::string reason = exceeds_limits(transaction); !reason.empty()) {
            oversized.push_back(reason);
            return reply(400, {{"error", reason}});
        }
        const Json failed = failed_conditions(transaction["when"]);
        most_writes = std::max(most_writes, transaction["writes"].size());
        for (const auto& write : transaction["writes"]) {
            if (write.contains("tenure") && !store_leases_.contains(write["tenure"].get<std::uint64_t>()))
                return reply(400, {{"error", "no such lease"}});
        }
        if (!failed.empty()) {
            ++conflicts;
            return reply(409, {{"failed", failed}, {"ledger", revision}});
        }
        carry_out(transaction["writes"]);
        if (std::exchange(drop_next_commit_answer, false)) return reply(500);
        return reply(200, {{"ledger", revision}});
    }
    Json failed_conditions(const Json& conditions) const {
        Json failed = Json::array();
        for (const auto& condition : conditions) {
            const auto it = items.find(condition["path"]);
            const std::uint64_t mod_revision = it == items.end() ? 0 : it->second.mod_revision;
            if (mod_revision != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["path"]);
        }
        return failed;
    }
    void carry_out(const Json& writes_wanted) {
        ++revision;
        writes += writes_wanted.size();
        for (const auto& write : writes_wanted) {
            if (write.contains("write")) {
                items[write["write"]] = {write["v"], revision, write.value("tenure", std::uint64_t{0})};
                log_.push_back({{"write", write["write"]}, {"v", write["v"]}, {"stamp", revision}});
            } else if (items.erase(write["delete"]) != 0) {
                log_.push_back({{"delete", write["delete"]}, {"stamp", revision}});
            }
        }
        changed_.notify_all();
    }

    io::Loop& loop_;
    io::Signal changed_;
    io::Scope scope_;
    std::vector<Json> log_;
    std::map<std::uint64_t, StoreLease> store_leases_;
    std::uint64_t last_store_lease_ = 0;
    io::HttpServer server_;
};

/// A worker that runs its tasks for a configured time, and checks that no task runs on two of them.
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
          server_(loop, address_, {},
                  [this](io::HttpRequest request) { return handle(std::move(request)); }) {
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
    std::size_t home() const { return at_ % nodes_.size(); }  // the controller that gets its heartbeats
    bool hung = false;
    bool deaf = false;            // its heartbeats arrive, but neither answers nor commands reach it
    bool hold_orders = false;     // requests are kept, and get no answer
    io::Micros order_latency{0};  // from the arrival of commands until they are carried out
    std::vector<Json> recorded_attempts;
    Json last_report;
    std::uint64_t incarnation() const { return session_; }
    // A duplicate of a command request arrives late.
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
        for (const auto& call : calls) {
            const std::string name = call["leg"];
            const auto attempt = call["try"].get<std::uint64_t>();
            const auto it = tasks_.find(name);
            if (call["call"] == "start") {
                if (it != tasks_.end() && (it->second.attempt == attempt || it->second.state != "exited"))
                    continue;
                start_task(name, attempt);
            } else if (it != tasks_.end() && it->second.attempt == attempt) {
                if (call["call"] == "halt") stop_task(name, it->second);
                if (call["call"] == "reap" && it->second.state == "exited") tasks_.erase(it);
            }
        }
    }
    void start_task(const std::string& name, std::uint64_t attempt) {
        if (world_.running.contains(name)) world_.broken_rules.push_back("ran_twice " + name);
        for (const auto& dependency : world_.needs[name.substr(0, name.find('/'))]) {
            if (world_.completed[dependency] != 0) continue;
            std::string broken = "too_early " + name;
            broken += " before " + dependency;
            world_.broken_rules.push_back(std::move(broken));
        }
        world_.running[name] = id_;
        ++world_.started[name];
        tasks_[name] = {attempt, "running", "", io::steady_now() + world_.run_time};
    }
    void stop_task(const std::string& name, TaskState& task) {
        if (task.state == "exited") return;
        leave(name, task);
        task.state = "exited";
        task.cause = "stopped";
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest q) {
        while (hung || deaf) co_await loop_.sleep(io::Micros{20'000});
        if (hold_orders && q.target == "/orders") {
            recorded_attempts.push_back(*wire::decode(q.body));
            while (hold_orders) co_await loop_.sleep(io::Micros{20'000});
            co_await loop_.sleep(io::Micros{3'000'000});  // beyond the caller's patience
        }
        if (order_latency.count() > 0 && q.target == "/orders") co_await loop_.sleep(order_latency);
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
            if (sent - began_ > io::Micros{static_cast<std::int64_t>(world_.lease_s * 1e6)})
                begin_incarnation(sent);
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
            if (r.has_status(421) && v && v->contains("home")) follow_redirect((*v)["home"]);
        }
    }
    // Its lease has expired: it ends all its tasks.
    void begin_incarnation(io::Micros monotonic_now) {
        for (auto& [name, task] : tasks_) leave(name, task);
        tasks_.clear();
        ++session_;
        began_ = monotonic_now;
    }
    void follow_redirect(const std::string& label) {
        const auto it = std::find(labels_.begin(), labels_.end(), label);
        if (it != labels_.end()) at_ = static_cast<std::size_t>(it - labels_.begin());
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

/// The cloud, with one machine type and room for a few instances; it fills a request once, and starts a
/// worker for it.
class CloudStandIn {
  public:
    using MakeWorker = std::function<std::unique_ptr<WorkerStandIn>(std::string id, std::string zone)>;
    CloudStandIn(io::Loop& loop, MakeWorker make)
        : address(local(free_port())),
          make_(std::move(make)),
          server_(loop, address, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
    }
    const io::Address address;
    std::map<std::string, std::unique_ptr<WorkerStandIn>> workers;
    double cores = 4.0;  // of the only machine type, as the catalog says

  private:
    static constexpr std::size_t kMostInstances = 8;

    io::Task<io::HttpResponse> handle(io::HttpRequest request) {
        const auto body = wire::decode(request.body);
        if (request.target == "/catalog") co_return catalog();
        if (request.target == "/rentals" && request.method == "POST") co_return start_instance(*body);
        if (request.target == "/rentals/release") {
            for (const auto& machine : (*body)["perches"]) workers.erase(machine.get<std::string>());
            co_return reply(200);
        }
        co_return inventory();
    }
    io::HttpResponse catalog() const {
        return reply(200, {{"builds",
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
    io::HttpResponse start_instance(const Json& request) {
        const bool repeated = !filled_requests_.insert(request["ask"]).second;
        if (repeated || workers.size() >= kMostInstances || request["borrowed"].get<bool>())
            return reply(503, {{"error", "no capacity"}});
        const std::string number = std::to_string(++last_);
        const std::string id = "n-" + std::string(6 - std::min<std::size_t>(6, number.size()), '0') + number;
        workers[id] = make_(id, request["roost"]);
        return reply(200, {{"perches", {id}}});
    }
    io::HttpResponse inventory() const {
        Json list = Json::array();
        for (const auto& [id, worker] : workers) {
            list.push_back({{"id", id},
                            {"address", text_of(worker->address())},
                            {"build", "c4"},
                            {"roost", worker->zone()},
                            {"borrowed", false},
                            {"status", "running"},
                            {"heldS", 5.0}});
        }
        return reply(200, {{"perches", list}, {"hasNext", false}});
    }

    MakeWorker make_;
    std::set<std::string> filled_requests_;
    int last_ = 0;  // number of the last instance
    io::Scope scope_;
    io::HttpServer server_;
};

}  // namespace hatchwind::test
