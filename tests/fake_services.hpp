/// Fakes of the state service, the cloud and workers that speak their protocols on loopback. Their public
/// members configure behavior and faults, at any time, and expose counters.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::test {

using wire::Json;

/// Returns an address of this process: each test process uses its own loopback IP address and allocates ports
/// by counting. An ephemeral port picked by the kernel could be taken before the test listens on it, by
/// another test or by an outgoing connection; these get their ports on 127.0.0.1.
inline io::Address loopback_address(std::uint16_t port) {
    const auto pid = static_cast<std::uint32_t>(::getpid());
    return {0x7f000000U | (0x010000U + pid % 0xfe0000U), port};
}
/// Returns a port of loopback_address() that has not been used in this process.
inline std::uint16_t free_port() {
    static std::uint16_t last_port = 10'000;
    return ++last_port;
}
/// Returns the address in the form used in messages, "a.b.c.d:port".
inline std::string address_text(io::Address address) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
        text += std::to_string(address.ip >> shift & 0xffU) + (shift > 0 ? "." : ":");
    return text + std::to_string(address.port);
}

/// A response with a CBOR body.
inline io::HttpResponse reply(int status, const Json& body = Json::object()) {
    io::HttpResponse response;
    response.status = status;
    response.body = wire::encode(body);
    return response;
}

/// A response with status 200 and these bytes as its body.
inline io::HttpResponse raw_reply(const std::string& body) {
    io::HttpResponse response;
    response.status = 200;
    response.body = body;
    return response;
}

/// Returns the value of a query parameter of a request target; empty if there is none.
inline std::string query(const std::string& target, const std::string& key) {
    const auto position = target.find(key + "=");
    if (position == std::string::npos) return "";
    const auto value_start = position + key.size() + 1;
    return target.substr(value_start, target.find('&', value_start) - value_start);
}

/// Returns the body of a response; empty if there is no response.
inline std::string body_of(const io::HttpResult& result) { return result ? result->body : std::string{}; }

/// TCP relay to another address. While `blocked` is set, it simulates a network partition: no data is passed
/// in either direction.
class Relay {
  public:
    Relay(io::Loop& loop, io::Address destination)
        : address(loopback_address(free_port())),
          loop_(loop),
          destination_(destination),
          listener_(loop, address) {
        scope_.spawn(serve());
    }
    const io::Address address;
    bool blocked = false;

  private:
    io::Task<void> serve() {
        while (true) {
            io::Socket socket = co_await listener_.accept();
            if (!blocked) scope_.spawn(relay_connection(std::move(socket)));
        }
    }
    io::Task<void> relay_connection(io::Socket client) {
        const io::Micros deadline = io::steady_now() + io::Micros{1'000'000};
        auto connecting = io::connect(loop_, destination_, deadline);
        auto server = co_await std::move(connecting);
        if (!server) co_return;
        auto shared_client = std::make_shared<io::Socket>(std::move(client));
        auto shared_server = std::make_shared<io::Socket>(std::move(*server));
        scope_.spawn(copy_bytes(shared_client, shared_server));
        auto copying_back = copy_bytes(shared_server, shared_client);
        co_await std::move(copying_back);
    }
    io::Task<void> copy_bytes(std::shared_ptr<io::Socket> source, std::shared_ptr<io::Socket> target) const {
        std::array<char, 16384> buffer;
        while (true) {
            const io::Micros idle_deadline = io::steady_now() + io::Micros{60'000'000};
            const auto length = co_await source->read(buffer.data(), buffer.size(), idle_deadline);
            if (!length || *length == 0 || blocked) co_return;
            const std::string_view data{buffer.data(), *length};
            auto writing = target->write(data, idle_deadline);
            const auto written = co_await std::move(writing);
            if (!written) co_return;
        }
    }
    io::Loop& loop_;
    io::Address destination_;
    io::Listener listener_;
    io::Scope scope_;
};

/// Fake state service: keys with revisions, transactions, leases, watches and injected faults.
class FakeStore {
  public:
    explicit FakeStore(io::Loop& loop)
        : address(loopback_address(free_port())),
          loop_(loop),
          changed_(loop),
          server_(loop, address, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
        scope_.spawn(expire_leases());
    }
    const io::Address address;
    bool down = false;
    bool drop_next_commit_response = false;  // executes the next commit, but answers 500
    // clang-tidy 14 assumes that the noexcept move of Json may throw.
    // NOLINTNEXTLINE(bugprone-exception-escape)
    struct Item {
        Json value;
        std::uint64_t mod_revision = 0;
        std::uint64_t store_lease = 0;
    };
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::size_t max_transaction_writes = 0;  // maximum number of writes in one transaction so far
    std::uint64_t compacted_revision = 0;    // watches from earlier revisions get 410
    std::size_t page_size = 1000;
    std::function<void(const Json&)> on_commit;  // called with each transaction before it is executed
    std::function<io::Micros(const Json&)> response_delay;  // delay of a transaction's response
    std::function<bool(const Json&)> hidden_from_watches;   // selects changes that watches do not deliver
    enum class CommitHandling : std::uint8_t {
        apply,
        refuse,         // not executed, answers 503
        lose_response,  // executed, but answers 500
        hold,           // not executed, answers 500, and kept in `held_requests`
    };
    std::function<CommitHandling(const Json&)> commit_handling;  // selects how a transaction is handled
    std::vector<Json> held_requests;  // can be executed later with deliver_late_commit()
    io::Micros read_latency{0};       // of reads of a single key
    io::Micros watch_latency{0};      // from collecting the changes until the response
    io::Micros list_latency{0};       // from reading a page of keys until the response
    bool hold_watches = false;        // watches stay open without a response
    std::size_t list_requests = 0;    // number of requests for a page of keys
    std::size_t writes = 0;           // number of executed puts and deletes
    // Limits of a transaction; larger ones get 400. Unlimited by default.
    std::size_t value_bytes_limit = SIZE_MAX;
    std::size_t transaction_limit = SIZE_MAX;
    std::vector<std::string>
        oversized_transactions;  // descriptions of the transactions refused for their size
    std::size_t conflicts = 0;
    std::optional<std::string> malformed_response;  // the body of each response, and nothing is executed

    /// Executes a late or duplicated transaction; returns the status of its response.
    int deliver_late_commit(const Json& transaction) { return commit(transaction).status; }

  private:
    struct StoreLease {
        io::Micros ttl{};
        io::Micros expires_at{};
    };
    io::Task<void> expire_leases() {
        while (true) {
            co_await loop_.sleep(io::Micros{20'000});
            if (down) {
                for (auto& [id, lease] : store_leases_) lease.expires_at = io::steady_now() + lease.ttl;
                continue;
            }
            for (auto lease = store_leases_.begin(); lease != store_leases_.end();) {
                if (lease->second.expires_at > io::steady_now()) {
                    ++lease;
                    continue;
                }
                const auto id = lease->first;
                lease = store_leases_.erase(lease);
                delete_keys_of(id);
            }
        }
    }
    void delete_keys_of(std::uint64_t store_lease) {
        for (auto item = items.begin(); item != items.end();) {
            if (item->second.store_lease != store_lease) {
                ++item;
                continue;
            }
            log_.push_back({{"delete", item->first}, {"stamp", ++revision}});
            item = items.erase(item);
        }
        changed_.notify_all();
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest request) {
        if (malformed_response) co_return raw_reply(*malformed_response);
        if (request.target.starts_with("/watch")) {
            auto watching = watch(request.target);
            auto response = co_await std::move(watching);
            co_return response;
        }
        if (down) co_return reply(503, {{"error", "trouble"}});
        if (request.target.starts_with("/store?")) {
            auto response = page_of(request.target);
            ++list_requests;
            if (list_latency.count() > 0) co_await loop_.sleep(list_latency);
            co_return response;
        }
        if (request.target.starts_with("/store/")) {
            if (read_latency.count() > 0) co_await loop_.sleep(read_latency);
            co_return read(request.target.substr(std::string_view{"/store/"}.size()));
        }
        if (request.target == "/commit") {
            auto handling = handle_transaction(*wire::decode_stored(request.body));
            auto response = co_await std::move(handling);
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
            if (after < compacted_revision) co_return reply(410);
            const Json changes = changes_after(after, prefix);
            if (!down && !hold_watches && (!changes.empty() || io::steady_now() >= end)) {
                auto response = reply(200, {{"ledger", revision}, {"log", changes}});
                if (watch_latency.count() > 0) co_await loop_.sleep(watch_latency);
                co_return response;
            }
            co_await changed_.wait(down || hold_watches ? io::steady_now() + io::Micros{50'000} : end);
        }
    }
    Json changes_after(std::uint64_t after, const std::string& prefix) const {
        Json changes = Json::array();
        for (const auto& change : log_) {
            const std::string key = change.contains("write") ? change["write"] : change["delete"];
            if (hidden_from_watches && hidden_from_watches(change)) continue;
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
            more = pairs.size() == page_size;
            if (more) break;
            pairs.push_back({{"path", key}, {"v", item.value}, {"stamp", item.mod_revision}});
        }
        return reply(200, {{"pairs", pairs}, {"hasNext", more}, {"ledger", revision}});
    }
    io::HttpResponse read(const std::string& key) const {
        const auto item = items.find(key);
        if (item == items.end()) return reply(404, {{"ledger", revision}});
        return reply(200, {{"path", key}, {"v", item->second.value}, {"stamp", item->second.mod_revision}});
    }
    io::Task<io::HttpResponse> handle_transaction(Json transaction) {
        const CommitHandling handling =
            commit_handling ? commit_handling(transaction) : CommitHandling::apply;
        if (handling == CommitHandling::refuse) co_return reply(503, {{"error", "trouble"}});
        if (handling == CommitHandling::hold) {
            held_requests.push_back(transaction);
            co_return reply(500);
        }
        auto response = commit(transaction);
        if (handling == CommitHandling::lose_response) response = reply(500);
        const io::Micros delay = response_delay ? response_delay(transaction) : io::Micros{0};
        if (delay.count() > 0) co_await loop_.sleep(delay);
        co_return response;
    }
    io::HttpResponse acquire_lease(const Json& body) {
        const io::Micros ttl{body["lifeMs"].get<std::int64_t>() * 1000};
        store_leases_[++last_store_lease_] = {ttl, io::steady_now() + ttl};
        return reply(200, {{"tenure", last_store_lease_}});
    }
    io::HttpResponse renew_lease(std::uint64_t id) {
        const auto lease = store_leases_.find(id);
        if (lease == store_leases_.end()) return reply(404);
        lease->second.expires_at = io::steady_now() + lease->second.ttl;
        return reply(200);
    }
    std::string limit_violation(const Json& transaction) const {
        const Json& requested_writes = transaction["writes"];
        const Json& conditions = transaction["when"];
        if (requested_writes.size() > transaction_limit)
            return std::to_string(requested_writes.size()) + " writes: " + requested_writes.dump();
        if (conditions.size() / 4 >= transaction_limit && conditions.size() > 4 * transaction_limit)
            return std::to_string(conditions.size()) + " conditions";
        for (const auto& write : requested_writes) {
            if (!write.contains("write")) continue;
            const std::size_t bytes = wire::json_bytes(write["v"]);
            if (bytes > value_bytes_limit)
                return std::to_string(bytes) + " bytes: " + write["write"].get<std::string>();
        }
        return "";
    }
    io::HttpResponse commit(const Json& transaction) {
        if (on_commit) on_commit(transaction);
        if (const std::string reason = limit_violation(transaction); !reason.empty()) {
            oversized_transactions.push_back(reason);
            return reply(400, {{"error", reason}});
        }
        const Json failed = failed_conditions(transaction["when"]);
        max_transaction_writes = std::max(max_transaction_writes, transaction["writes"].size());
        for (const auto& write : transaction["writes"]) {
            if (write.contains("tenure") && !store_leases_.contains(write["tenure"].get<std::uint64_t>()))
                return reply(400, {{"error", "no such lease"}});
        }
        if (!failed.empty()) {
            ++conflicts;
            return reply(409, {{"failed", failed}, {"ledger", revision}});
        }
        apply_writes(transaction["writes"]);
        if (std::exchange(drop_next_commit_response, false)) return reply(500);
        return reply(200, {{"ledger", revision}});
    }
    Json failed_conditions(const Json& conditions) const {
        Json failed = Json::array();
        for (const auto& condition : conditions) {
            const auto item = items.find(condition["path"]);
            const std::uint64_t mod_revision = item == items.end() ? 0 : item->second.mod_revision;
            if (mod_revision != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["path"]);
        }
        return failed;
    }
    void apply_writes(const Json& requested_writes) {
        ++revision;
        writes += requested_writes.size();
        for (const auto& write : requested_writes) {
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

/// Fake worker. Runs its tasks for a configured time, and reports tasks that run on two workers at once or
/// start before their dependencies have completed.
class FakeWorker {
  public:
    /// State shared by all fake workers.
    struct Workload {
        std::map<std::string, std::string> running;  // task -> machine
        std::map<std::string, int> started;          // number of starts by task
        std::map<std::string, int> completed;        // number of completions by task
        std::vector<std::string> violations;         // descriptions of starts that must not happen
        io::Micros run_time{300'000};
        std::set<std::string> endless_jobs;  // jobs whose tasks never complete
        // By job: why the first attempt of each of its tasks exits, if not because it completed.
        std::map<std::string, std::string> first_exit_causes;
        // By job: why the first attempt of each of its tasks is refused.
        std::map<std::string, std::string> first_refusals;
        // By job: tasks that must have completed before any task of the job starts.
        std::map<std::string, std::vector<std::string>> required_tasks;
        double lease_s = 3;
    };
    FakeWorker(io::Loop& loop, Workload& world, std::string id, std::string zone,
               std::vector<io::Address> nodes, std::vector<std::string> labels)
        : loop_(loop),
          world_(world),
          id_(std::move(id)),
          zone_(std::move(zone)),
          nodes_(std::move(nodes)),
          labels_(std::move(labels)),
          address_(loopback_address(free_port())),
          client_(loop),
          lease_start_(io::steady_now()),
          server_(loop, address_, {},
                  [this](io::HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
        scope_.spawn(send_heartbeats());
        scope_.spawn(complete_tasks());
    }
    ~FakeWorker() {
        for (auto& [key, task] : tasks_) remove_from_running(key.first, task);
    }
    const std::string& id() const { return id_; }
    io::Address address() const { return address_; }
    const std::string& zone() const { return zone_; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    // Returns the index of the controller that receives the heartbeats.
    std::size_t current_controller() const { return controller_ % nodes_.size(); }
    bool suspended = false;      // sends no heartbeats, answers no requests and completes no tasks
    bool unreachable = false;    // heartbeats are delivered, but neither responses nor commands are received
    bool hold_commands = false;  // command requests are kept in `held_requests` and not answered
    io::Micros command_latency{0};                  // from the arrival of commands until their execution
    std::optional<std::string> malformed_response;  // the body of each response, and nothing is executed
    std::vector<Json> held_requests;
    std::vector<Json> answered_requests;  // command requests that were carried out and answered
    Json last_heartbeat;
    std::uint64_t incarnation() const { return incarnation_; }
    // Removes the exited attempts, as if their exits had been acknowledged.
    void forget_exits() {
        std::erase_if(tasks_, [](const auto& task) { return task.second.state == "exited"; });
    }
    // Delivers a late or duplicated command request. Returns false if it was rejected as fenced.
    bool deliver_late_commands(const Json& request) {
        if (request["baton"].get<std::uint64_t>() < fencing_token_ || request["stint"] != incarnation_)
            return false;
        execute(request["calls"]);
        return true;
    }

  private:
    using AttemptKey = std::pair<std::string, std::uint64_t>;  // task and attempt number
    struct TaskState {
        std::string state, cause;
        io::Micros completes_at{};
    };
    static std::string job_of(const std::string& task) { return task.substr(0, task.find('/')); }
    void remove_from_running(const std::string& name, TaskState& task) {
        if (task.state == "running" && world_.running[name] == id_) world_.running.erase(name);
    }
    Json heartbeat() {
        Json tasks = Json::array();
        for (const auto& [key, task] : tasks_) {
            Json entry{{"leg", key.first}, {"try", key.second}, {"status", task.state}};
            if (!task.cause.empty()) entry["cause"] = task.cause;
            tasks.push_back(entry);
        }
        return {{"perch", id_},
                {"address", address_text(address_)},
                {"build", "c4"},
                {"roost", zone_},
                {"borrowed", false},
                {"stint", incarnation_},
                {"tick", ++heartbeat_sequence_},
                {"baton", fencing_token_},
                {"warningS", nullptr},
                {"legs", tasks}};
    }
    void execute(const Json& calls) {
        for (const auto& call : calls) {
            const std::string name = call["leg"];
            const auto attempt = call["try"].get<std::uint64_t>();
            const auto task = tasks_.find({name, attempt});
            if (call["call"] == "start") {
                if (task == tasks_.end() && !has_live_attempt(name)) start_task(name, attempt);
            } else if (task != tasks_.end()) {
                if (call["call"] == "halt") stop_task(name, task->second);
                if (call["call"] == "reap" && task->second.state == "exited") tasks_.erase(task);
            }
        }
    }
    bool has_live_attempt(const std::string& name) const {
        return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& task) {
            return task.first.first == name && task.second.state != "exited";
        });
    }
    void start_task(const std::string& name, std::uint64_t attempt) {
        const auto refusal = world_.first_refusals.find(job_of(name));
        if (attempt == 1 && refusal != world_.first_refusals.end()) {
            tasks_[{name, attempt}] = {"exited", refusal->second, {}};
            return;
        }
        if (world_.running.contains(name)) world_.violations.push_back("ran_twice " + name);
        for (const auto& dependency : world_.required_tasks[job_of(name)]) {
            if (world_.completed[dependency] != 0) continue;
            std::string violation = "too_early " + name;
            violation += " before " + dependency;
            world_.violations.push_back(std::move(violation));
        }
        world_.running[name] = id_;
        ++world_.started[name];
        tasks_[{name, attempt}] = {"running", "", io::steady_now() + world_.run_time};
    }
    void stop_task(const std::string& name, TaskState& task) {
        if (task.state == "exited") return;
        remove_from_running(name, task);
        task.state = "exited";
        task.cause = "stopped";
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest request) {
        while (suspended || unreachable) co_await loop_.sleep(io::Micros{20'000});
        if (malformed_response) co_return raw_reply(*malformed_response);
        if (hold_commands && request.target == "/orders") {
            held_requests.push_back(*wire::decode(request.body));
            while (hold_commands) co_await loop_.sleep(io::Micros{20'000});
            co_await loop_.sleep(io::Micros{3'000'000});  // longer than the caller's time-out
        }
        if (command_latency.count() > 0 && request.target == "/orders") co_await loop_.sleep(command_latency);
        if (request.target == "/status") co_return reply(200, heartbeat());
        const auto body = wire::decode(request.body);
        if (!body || !body->contains("baton") || !body->contains("stint")) co_return reply(400);
        const auto fencing_token = (*body)["baton"].get<std::uint64_t>();
        if (fencing_token < fencing_token_ || (*body)["stint"] != incarnation_)
            co_return reply(409, heartbeat());
        fencing_token_ = fencing_token;
        execute((*body)["calls"]);
        answered_requests.push_back(*body);
        co_return reply(200, heartbeat());
    }
    io::Task<void> send_heartbeats() {
        while (true) {
            co_await loop_.sleep(io::Micros{100'000});
            while (suspended) co_await loop_.sleep(io::Micros{20'000});
            const auto sent_at = io::steady_now();
            if (sent_at - lease_start_ > io::Micros{static_cast<std::int64_t>(world_.lease_s * 1e6)})
                begin_incarnation(sent_at);
            last_heartbeat = heartbeat();
            auto sending = client_.send(nodes_[controller_ % nodes_.size()], "POST", "/hello",
                                        wire::encode(last_heartbeat), sent_at + io::Micros{700'000});
            auto response = co_await std::move(sending);
            if (unreachable) response = io::HttpError::timed_out;
            const auto body = response.has_status(200) || response.has_status(421)
                                  ? wire::decode(response->body)
                                  : std::nullopt;
            if (response.has_status(200) && body && (*body)["baton"].get<std::uint64_t>() >= fencing_token_) {
                fencing_token_ = (*body)["baton"].get<std::uint64_t>();
                lease_start_ = sent_at;
                execute((*body)["calls"]);
                continue;
            }
            ++controller_;
            if (response.has_status(421) && body && body->contains("home")) follow_redirect((*body)["home"]);
        }
    }
    // Called when the lease has expired: ends all tasks.
    void begin_incarnation(io::Micros monotonic_now) {
        for (auto& [key, task] : tasks_) remove_from_running(key.first, task);
        tasks_.clear();
        ++incarnation_;
        lease_start_ = monotonic_now;
    }
    void follow_redirect(const std::string& label) {
        const auto found = std::find(labels_.begin(), labels_.end(), label);
        if (found != labels_.end()) controller_ = static_cast<std::size_t>(found - labels_.begin());
    }
    void exit_task(const AttemptKey& key, TaskState& task) {
        const auto& [name, attempt] = key;
        const auto cause = world_.first_exit_causes.find(job_of(name));
        const bool fails = attempt == 1 && cause != world_.first_exit_causes.end();
        if (!fails && world_.endless_jobs.contains(job_of(name))) return;
        remove_from_running(name, task);
        task.state = "exited";
        task.cause = fails ? cause->second : "done";
        if (!fails) ++world_.completed[name];
    }
    io::Task<void> complete_tasks() {
        while (true) {
            co_await loop_.sleep(io::Micros{20'000});
            if (suspended) continue;
            for (auto& [key, task] : tasks_) {
                if (task.state == "running" && task.completes_at <= io::steady_now()) exit_task(key, task);
            }
        }
    }

    io::Loop& loop_;
    Workload& world_;
    std::string id_, zone_;
    std::vector<io::Address> nodes_;
    std::vector<std::string> labels_;
    io::Address address_;
    io::HttpClient client_;
    io::Scope scope_;
    std::map<AttemptKey, TaskState> tasks_;
    std::uint64_t incarnation_ = 1, heartbeat_sequence_ = 0, fencing_token_ = 0;
    std::size_t controller_ =
        0;  // modulo the number of nodes: index of the controller that gets the heartbeats
    io::Micros lease_start_;
    io::HttpServer server_;
};

/// Fake cloud with one machine type and capacity for a few instances. Fulfills each request id once, by
/// starting a fake worker.
class FakeCloud {
  public:
    using MakeWorker = std::function<std::unique_ptr<FakeWorker>(std::string id, std::string zone)>;
    FakeCloud(io::Loop& loop, MakeWorker make_worker)
        : address(loopback_address(free_port())),
          make_worker_(std::move(make_worker)),
          server_(loop, address, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
    }
    const io::Address address;
    std::map<std::string, std::unique_ptr<FakeWorker>> workers;
    double cores = 4.0;                             // CPU cores of the machine type in the catalog
    double age_s = 5.0;                             // time since each instance was requested, as it is listed
    std::optional<std::string> malformed_response;  // the body of each response, and nothing is executed

  private:
    static constexpr std::size_t kMaxInstances = 8;

    io::Task<io::HttpResponse> handle(io::HttpRequest request) {
        if (malformed_response) co_return raw_reply(*malformed_response);
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
        if (repeated || workers.size() >= kMaxInstances || request["borrowed"].get<bool>())
            return reply(503, {{"error", "no capacity"}});
        const std::string number = std::to_string(++last_instance_);
        const std::string id = "n-" + std::string(6 - std::min<std::size_t>(6, number.size()), '0') + number;
        workers[id] = make_worker_(id, request["roost"]);
        return reply(200, {{"perches", {id}}});
    }
    io::HttpResponse inventory() const {
        Json list = Json::array();
        for (const auto& [id, worker] : workers) {
            list.push_back({{"id", id},
                            {"address", address_text(worker->address())},
                            {"build", "c4"},
                            {"roost", worker->zone()},
                            {"borrowed", false},
                            {"status", "running"},
                            {"heldS", age_s}});
        }
        return reply(200, {{"perches", list}, {"hasNext", false}});
    }

    MakeWorker make_worker_;
    std::set<std::string> filled_requests_;
    int last_instance_ = 0;  // number of the instance started last
    io::Scope scope_;
    io::HttpServer server_;
};

}  // namespace hatchwind::test
