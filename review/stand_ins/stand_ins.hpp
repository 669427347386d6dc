/// Stand-ins for what surrounds the controllers: state service, cloud, machines with workers, users, and the
/// platform that starts the processes. They speak the users' protocol page over HTTP on loopback addresses.
/// HTTP and the event loop come from src/io; everything else is written here.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/loop.hpp"

namespace review {

using Json = nlohmann::json;
using hatchwind::io::Address;
using hatchwind::io::HttpClient;
using hatchwind::io::HttpRequest;
using hatchwind::io::HttpResponse;
using hatchwind::io::HttpResult;
using hatchwind::io::HttpServer;
using hatchwind::io::HttpServerLimits;
using hatchwind::io::Loop;
using hatchwind::io::Micros;
using hatchwind::io::Scope;
using hatchwind::io::Signal;
using hatchwind::io::steady_now;
using hatchwind::io::Task;

inline Micros seconds(double count) { return Micros{static_cast<std::int64_t>(count * 1e6)}; }

/// The record of a run: every line has the time since its start.
class Record {
  public:
    explicit Record(const std::string& path) : file_(path), start_(steady_now()) {}
    void add(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", elapsed());
        file_ << time << text << '\n';
        file_.flush();
    }
    double elapsed() const { return static_cast<double>((steady_now() - start_).count()) / 1e6; }
    /// A rule was broken.
    void broken(const std::string& text) {
        ++broken_;
        add("RULE BROKEN: " + text);
        std::fprintf(stderr, "rule broken: %s\n", text.c_str());
    }
    int broken_count() const { return broken_; }

  private:
    std::ofstream file_;
    Micros start_;
    int broken_ = 0;
};

/// A loopback address of this run. The host part comes from the process id, so that runs side by side differ.
inline Address next_address() {
    static std::uint16_t last_port = 20'000;
    const auto pid = static_cast<std::uint32_t>(::getpid());
    return {0x7f000000U | (0x020000U + pid % 0xf00000U), ++last_port};
}
inline std::string text_of(Address address) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
        text += std::to_string(address.ip >> shift & 0xffU) + (shift > 0 ? "." : ":");
    return text + std::to_string(address.port);
}

inline std::string to_body(const Json& value) {
    std::string body;
    Json::to_cbor(value, body);
    return body;
}
inline Json from_body(const std::string& body) {
    return Json::from_cbor(body.begin(), body.end(), true, false);
}
inline HttpResponse respond(int status, const Json& body = Json::object()) {
    HttpResponse response;
    response.status = status;
    response.body = to_body(body);
    return response;
}
inline std::string parameter(const std::string& target, const std::string& key) {
    const auto at = target.find(key + "=");
    if (at == std::string::npos) return "";
    const auto from = at + key.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

// ---------------------------------------------------------------------------------------------- settings

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0;
};

/// The numbers of a deployment: those of the users' first deployment unless a case says otherwise.
struct Site {
    std::vector<std::string> zones{"kingston", "mandeville"};
    std::vector<Team> teams{{"data-desk", 8, 16}, {"field-crew", 8, 16}, {"outreach", 8, 16}};
    double report_s = 3, lease_s = 42, cancel_s = 62;
    double state_rps = 200, state_write_rps = 40, value_kb = 16;
    int txn_ops = 32;
    double cloud_rps = 10, list_lag_s = 8;
    double restart_s = 5;  ///< a controller that ended is back after this time
};

// ---------------------------------------------------------------------------------------------- state service

class Store {
  public:
    Store(Loop& loop, const Site& site, std::size_t nodes) : loop_(loop), site_(site), changed_(loop) {
        for (std::size_t node = 0; node < nodes; ++node) {
            addresses_.push_back(next_address());
            refused_.push_back(false);
            HttpServerLimits limits;
            limits.max_body_bytes = std::size_t{1} << 20U;
            servers_.push_back(std::make_unique<HttpServer>(
                loop, addresses_.back(), limits,
                [this, node](HttpRequest request) { return handle(node, std::move(request)); }));
            scope_.spawn(servers_.back()->serve());
        }
        scope_.spawn(end_leases());
    }
    Address address(std::size_t node) const { return addresses_[node]; }
    /// A node that is refused gets 503, its open watches wait, and its leases run out.
    void refuse(std::size_t node, bool refused) {
        refused_[node] = refused;
        changed_.notify_all();
    }

  private:
    struct Item {
        Json value;
        std::uint64_t stamp = 0, lease = 0;
    };
    struct Lease {
        Micros life{}, ends{};
    };
    /// One limit with bursts of one second's worth.
    struct Bucket {
        double left = 0;
        Micros at{0};
        bool take(double amount, double rate) {
            const Micros now = steady_now();
            if (at.count() == 0) left = rate;
            else left = std::min(rate, left + rate * static_cast<double>((now - at).count()) / 1e6);
            at = now;
            if (left < amount) return false;
            left -= amount;
            return true;
        }
    };

    Task<void> end_leases() {
        while (true) {
            co_await loop_.sleep(Micros{40'000});
            const Micros now = steady_now();
            std::set<std::uint64_t> ended;
            for (auto lease = leases_.begin(); lease != leases_.end();) {
                if (lease->second.ends > now) {
                    ++lease;
                    continue;
                }
                ended.insert(lease->first);
                lease = leases_.erase(lease);
            }
            if (ended.empty()) continue;
            std::vector<std::string> keys;
            for (const auto& [key, item] : items_)
                if (item.lease != 0 && ended.contains(item.lease)) keys.push_back(key);
            if (keys.empty()) continue;
            ++ledger_;
            for (const auto& key : keys) erase(key);
            changed_.notify_all();
        }
    }
    void erase(const std::string& key) {
        if (items_.erase(key) == 0) return;
        log_.push_back({{"delete", key}, {"stamp", ledger_}});
        trim();
    }
    void trim() {
        while (log_.size() > 10'000) {
            oldest_ = log_.front()["stamp"].get<std::uint64_t>();
            log_.pop_front();
        }
    }

    Task<HttpResponse> handle(std::size_t node, HttpRequest request) {
        co_await loop_.sleep(Micros{4'000});
        if (request.target.starts_with("/watch")) {
            if (refused_[node]) co_return respond(503, {{"error", "trouble"}});
            if (!requests_.take(1, site_.state_rps)) co_return respond(429);
            auto watching = watch(node, request.target);
            HttpResponse response = co_await std::move(watching);
            co_return response;
        }
        if (refused_[node]) co_return respond(503, {{"error", "trouble"}});
        if (!requests_.take(1, site_.state_rps)) co_return respond(429);
        if (request.target.starts_with("/store?")) co_return list(request.target);
        if (request.target.starts_with("/store/")) co_return get(request.target.substr(7));
        if (request.target == "/commit") co_return commit(request.body);
        if (request.target == "/grants") {
            const Json body = from_body(request.body);
            const std::uint64_t id = ++last_lease_;
            const Micros life{body["lifeMs"].get<std::int64_t>() * 1000};
            leases_[id] = {life, steady_now() + life};
            co_return respond(200, {{"tenure", id}});
        }
        if (request.target.starts_with("/grants/") && request.target.ends_with("/renew")) {
            const auto lease = leases_.find(std::strtoull(request.target.c_str() + 8, nullptr, 10));
            if (lease == leases_.end()) co_return respond(404);
            lease->second.ends = steady_now() + lease->second.life;
            co_return respond(200, {{"tenure", lease->first}});
        }
        co_return respond(400);
    }
    Task<HttpResponse> watch(std::size_t node, std::string target) {
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const std::string prefix = parameter(target, "starts");
        const Micros end =
            steady_now() + Micros{std::strtoll(parameter(target, "blockMs").c_str(), nullptr, 10) * 1000};
        while (true) {
            if (!refused_[node]) {
                if (after < oldest_) co_return respond(410);
                Json changes = Json::array();
                for (auto change = log_.rbegin(); change != log_.rend(); ++change) {
                    if ((*change)["stamp"].get<std::uint64_t>() <= after) break;
                    const std::string key =
                        change->contains("write") ? (*change)["write"] : (*change)["delete"];
                    if (key.starts_with(prefix)) changes.push_back(*change);
                }
                std::reverse(changes.begin(), changes.end());
                if (!changes.empty() || steady_now() >= end)
                    co_return respond(200, {{"ledger", ledger_}, {"log", changes}});
            }
            co_await changed_.wait(refused_[node] ? steady_now() + seconds(0.2) : end);
        }
    }
    HttpResponse list(const std::string& target) const {
        const std::string prefix = parameter(target, "starts");
        const std::string after = parameter(target, "after");
        std::size_t most = 1000;
        if (const auto asked = std::strtoul(parameter(target, "most").c_str(), nullptr, 10); asked != 0)
            most = std::min<std::size_t>(most, asked);
        Json pairs = Json::array();
        bool more = false;
        for (const auto& [key, item] : items_) {
            if (!key.starts_with(prefix) || key <= after) continue;
            more = pairs.size() == most;
            if (more) break;
            pairs.push_back({{"path", key}, {"v", item.value}, {"stamp", item.stamp}});
        }
        return respond(200, {{"pairs", pairs}, {"hasNext", more}, {"ledger", ledger_}});
    }
    HttpResponse get(const std::string& key) const {
        const auto item = items_.find(key);
        if (item == items_.end()) return respond(404, {{"ledger", ledger_}});
        return respond(200, {{"path", key}, {"v", item->second.value}, {"stamp", item->second.stamp}});
    }
    HttpResponse commit(const std::string& body) {
        const Json transaction = from_body(body);
        if (!transaction.is_object()) return respond(400, {{"error", "malformed"}});
        const Json conditions = transaction.value("when", Json::array());
        const Json writes = transaction.value("writes", Json::array());
        const auto length = [](const Json& value) {
            return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
        };
        const auto most = static_cast<std::size_t>(site_.txn_ops);
        if (writes.size() > most || conditions.size() > 4 * most || length(transaction) > 64 * 1024)
            return respond(400, {{"error", "too large"}});
        for (const auto& write : writes)
            if (write.contains("write") && length(write["v"]) > site_.value_kb * 1024)
                return respond(400, {{"error", "too large"}});
        if (!writes_.take(static_cast<double>(writes.size()), site_.state_write_rps)) return respond(429);
        for (const auto& write : writes)
            if (write.contains("tenure") && !leases_.contains(write["tenure"].get<std::uint64_t>()))
                return respond(400, {{"error", "no such lease"}});
        Json failed = Json::array();
        for (const auto& condition : conditions) {
            const auto item = items_.find(condition["path"].get<std::string>());
            const std::uint64_t stamp = item == items_.end() ? 0 : item->second.stamp;
            if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["path"]);
        }
        if (!failed.empty()) return respond(409, {{"failed", failed}, {"ledger", ledger_}});
        if (writes.empty()) return respond(200, {{"ledger", ledger_}});
        ++ledger_;
        for (const auto& write : writes) {
            if (write.contains("delete")) {
                erase(write["delete"].get<std::string>());
                continue;
            }
            const std::string key = write["write"];
            items_[key] = {write["v"], ledger_, write.value("tenure", std::uint64_t{0})};
            log_.push_back({{"write", key}, {"v", write["v"]}, {"stamp", ledger_}});
            trim();
        }
        changed_.notify_all();
        return respond(200, {{"ledger", ledger_}});
    }

    Loop& loop_;
    const Site site_;
    Signal changed_;
    std::map<std::string, Item> items_;
    std::deque<Json> log_;
    std::uint64_t ledger_ = 1, oldest_ = 0, last_lease_ = 0;
    std::map<std::uint64_t, Lease> leases_;
    Bucket requests_, writes_;
    std::vector<Address> addresses_;
    std::vector<bool> refused_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    Scope scope_;
};

// ---------------------------------------------------------------------------------------------- workers

/// What the users uploaded, and what all machines run together; holds the rules against it.
class Workload {
  public:
    Workload(Record& record, const Site& site) : record_(record) {
        for (const auto& team : site.teams) limit_[team.name] = team.cpus_max;
    }
    struct Job {
        std::string team;
        double cpus = 0, memory_gb = 0, image_gb = 0;
        std::string image;
        int tasks = 0;
        double run_s = 0;  ///< real run time of a task; 0: until it is stopped
    };
    std::map<std::string, Job> jobs;       ///< by id
    std::map<std::string, std::string> on;  ///< task -> machine, from its image to its end
    std::map<std::string, int> starts;      ///< of tasks
    std::map<std::string, int> completed;   ///< of tasks

    void begin(const std::string& task, const std::string& machine) {
        const Job& job = jobs.at(task.substr(0, task.find('/')));
        record_.add("run    " + task + " begins on " + machine);
        ++starts[task];
        if (const auto other = on.find(task); other != on.end())
            record_.broken("ran_twice: " + task + " starts on " + machine + " while it is on " + other->second);
        on[task] = machine;
        double use = 0;
        std::string tasks;
        for (const auto& [name, where] : on) {
            const Job& running = jobs.at(name.substr(0, name.find('/')));
            if (running.team != job.team) continue;
            use += running.cpus;
            tasks += " " + name + "@" + where;
        }
        if (use > limit_.at(job.team) + 1e-6) {
            std::ostringstream text;
            text << "quota: tasks of " << job.team << " use " << use << " CPUs of at most "
                 << limit_.at(job.team) << ":" << tasks;
            record_.broken(text.str());
        }
    }
    void end(const std::string& task, const std::string& machine, const std::string& how) {
        const auto known = on.find(task);
        if (known == on.end() || known->second != machine) return;
        record_.add("run    " + task + " ends on " + machine + ": " + how);
        if (how == "done") ++completed[task];
        on.erase(known);
    }

  private:
    Record& record_;
    std::map<std::string, double> limit_;
};

struct MachineType {
    std::string name = "kestrel";
    double cores = 4, mem_gb = 16, local_gb = 30, fetch_gb_per_s = 0.3, price = 0.21, market_price = 0.08;
    double startup_s = 40;
};

/// A machine with its worker.
class Worker {
  public:
    Worker(Loop& loop, Record& record, Workload& workload, const Site& site, std::string id, MachineType type,
           std::string zone, std::vector<Address> nodes, std::vector<std::string> labels, unsigned seed)
        : loop_(loop),
          record_(record),
          workload_(workload),
          site_(site),
          id_(std::move(id)),
          type_(std::move(type)),
          zone_(std::move(zone)),
          nodes_(std::move(nodes)),
          labels_(std::move(labels)),
          address_(next_address()),
          random_(seed),
          node_(seed % nodes_.size()),
          client_(loop),
          lease_from_(steady_now()),
          changed_(loop),
          server_(loop, address_, {}, [this](HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
        scope_.spawn(report());
        scope_.spawn(run_tasks());
    }
    ~Worker() {
        for (const auto& [name, task] : tasks_)
            if (is_on(task)) workload_.end(name, id_, "machine gone");
    }
    const std::string& id() const { return id_; }
    const MachineType& type() const { return type_; }
    const std::string& zone() const { return zone_; }
    Address address() const { return address_; }
    /// A hanging machine runs nothing, sends nothing and answers nothing; its clock goes on.
    bool hangs = false;

  private:
    struct Running {
        std::uint64_t attempt = 0;
        std::string state, cause;
        double left_s = 0;  // of the fetch, then of the run
    };
    static bool is_on(const Running& task) { return task.state == "running"; }

    Json heartbeat() {
        Json legs = Json::array();
        for (const auto& [name, task] : tasks_) {
            Json leg{{"leg", name}, {"try", task.attempt}, {"status", task.state}};
            if (task.state == "exited") leg["cause"] = task.cause;
            legs.push_back(std::move(leg));
        }
        return {{"perch", id_},     {"address", text_of(address_)}, {"build", type_.name},
                {"roost", zone_},   {"borrowed", false},            {"stint", session_},
                {"tick", ++tick_},  {"baton", token_},              {"warningS", nullptr},
                {"legs", std::move(legs)}};
    }
    void check_lease() {
        const Micros now = steady_now();
        if (now - lease_from_ <= seconds(site_.lease_s)) return;
        record_.add("lease  of " + id_ + " has run out");
        for (const auto& [name, task] : tasks_)
            if (is_on(task)) workload_.end(name, id_, "lease over");
        tasks_.clear();
        ++session_;
        lease_from_ = now;
        changed_.notify_all();
    }
    void refuse(const std::string& name, std::uint64_t attempt, const std::string& cause) {
        tasks_[name] = {attempt, "exited", cause, 0};
    }
    void start(const std::string& name, std::uint64_t attempt) {
        const auto known = tasks_.find(name);
        if (known != tasks_.end()) {
            if (known->second.attempt == attempt) return;
            if (known->second.state != "exited") return;  // in_use needs a second entry; no case meets it
        }
        const auto job = workload_.jobs.find(name.substr(0, name.find('/')));
        if (job == workload_.jobs.end()) return refuse(name, attempt, "unknown");
        double cpus = job->second.cpus;
        double memory = job->second.memory_gb;
        for (const auto& [other, task] : tasks_) {
            if (task.state == "exited") continue;
            const auto& running = workload_.jobs.at(other.substr(0, other.find('/')));
            cpus += running.cpus;
            memory += running.memory_gb;
        }
        if (cpus > type_.cores + 1e-6 || memory > type_.mem_gb + 1e-6) return refuse(name, attempt, "no_room");
        const bool cached = images_.contains(job->second.image);
        tasks_[name] = {attempt, "fetching", "", cached ? 0.01 : job->second.image_gb / type_.fetch_gb_per_s};
    }
    void execute(const Json& calls) {
        for (const auto& call : calls) {
            const std::string name = call["leg"];
            const auto attempt = call["try"].get<std::uint64_t>();
            const std::string what = call["call"];
            record_.add("order  " + id_ + ": " + what + " " + name + " try " + std::to_string(attempt));
            if (what == "start") {
                start(name, attempt);
                continue;
            }
            const auto task = tasks_.find(name);
            if (task == tasks_.end() || task->second.attempt != attempt) continue;
            if (what == "halt" && task->second.state != "exited") {
                if (is_on(task->second)) workload_.end(name, id_, "stopped");
                task->second.state = "exited";
                task->second.cause = "stopped";
            } else if (what == "reap" && task->second.state == "exited") {
                tasks_.erase(task);
            }
        }
        if (!calls.empty()) changed_.notify_all();
    }
    Task<HttpResponse> handle(HttpRequest request) {
        while (hangs) co_await loop_.sleep(Micros{20'000});
        check_lease();
        if (request.target == "/status") co_return respond(200, heartbeat());
        const Json body = from_body(request.body);
        if (!body.is_object() || !body.contains("baton") || !body.contains("stint")) co_return respond(400);
        const auto token = body["baton"].get<std::uint64_t>();
        if (token < token_ || body["stint"].get<std::uint64_t>() != session_)
            co_return respond(409, heartbeat());
        token_ = token;
        execute(body["calls"]);
        co_return respond(200, heartbeat());
    }
    Task<void> report() {
        while (true) {
            const double spread = std::uniform_real_distribution<>(0.75, 1.25)(random_);
            const Micros earliest = steady_now() + seconds(0.5);
            const bool news = co_await changed_.wait(steady_now() + seconds(site_.report_s * spread));
            if (news && steady_now() < earliest) co_await loop_.sleep_until(earliest);
            bool again = true;
            while (again) {
                while (hangs) co_await loop_.sleep(Micros{20'000});
                check_lease();
                const Micros sent = steady_now();
                const std::uint64_t session = session_;
                std::string body = to_body(heartbeat());
                auto sending =
                    client_.send(nodes_[node_], "POST", "/hello", std::move(body), sent + seconds(4));
                const HttpResult result = co_await std::move(sending);
                while (hangs) co_await loop_.sleep(Micros{20'000});
                check_lease();
                again = false;
                if (steady_now() - sent > seconds(4)) {
                    node_ = (node_ + 1) % nodes_.size();
                    co_await loop_.sleep(seconds(1));
                    again = true;
                    continue;
                }
                if (result.has_status(200)) {
                    const Json answer = from_body(result->body);
                    if (session != session_ || !answer.is_object() || !answer.contains("baton")) continue;
                    const auto token = answer["baton"].get<std::uint64_t>();
                    if (token < token_) continue;
                    token_ = token;
                    lease_from_ = sent;
                    execute(answer.value("calls", Json::array()));
                    continue;
                }
                again = true;
                if (result.has_status(421)) {
                    const Json answer = from_body(result->body);
                    const std::string home = answer.is_object() ? answer.value("home", std::string{}) : "";
                    const auto found = std::find(labels_.begin(), labels_.end(), home);
                    const auto index = static_cast<std::size_t>(found - labels_.begin());
                    if (found != labels_.end() && index != node_) {
                        node_ = index;
                        co_await loop_.sleep(seconds(0.2));
                        continue;
                    }
                }
                node_ = (node_ + 1) % nodes_.size();
                co_await loop_.sleep(seconds(1));
            }
        }
    }
    Task<void> run_tasks() {
        Micros last = steady_now();
        while (true) {
            co_await loop_.sleep(Micros{50'000});
            const Micros now = steady_now();
            const double passed = static_cast<double>((now - std::exchange(last, now)).count()) / 1e6;
            if (hangs) continue;
            check_lease();
            bool news = false;
            for (auto& [name, task] : tasks_) {
                if (task.state == "exited") continue;
                const auto& job = workload_.jobs.at(name.substr(0, name.find('/')));
                if (task.state == "fetching") {
                    if ((task.left_s -= passed) > 0) continue;
                    images_.insert(job.image);
                    task.state = "running";
                    task.left_s = job.run_s;
                    workload_.begin(name, id_);
                    news = true;
                } else if (job.run_s > 0 && (task.left_s -= passed) <= 0) {
                    workload_.end(name, id_, "done");
                    task.state = "exited";
                    task.cause = "done";
                    news = true;
                }
            }
            if (news) changed_.notify_all();
        }
    }

    Loop& loop_;
    Record& record_;
    Workload& workload_;
    const Site& site_;
    const std::string id_;
    const MachineType type_;
    const std::string zone_;
    const std::vector<Address> nodes_;
    const std::vector<std::string> labels_;
    const Address address_;
    std::mt19937 random_;
    std::size_t node_;
    HttpClient client_;
    std::map<std::string, Running> tasks_;
    std::set<std::string> images_;
    std::uint64_t session_ = 1, tick_ = 0, token_ = 0;
    Micros lease_from_;
    Signal changed_;
    HttpServer server_;
    Scope scope_;
};

// ---------------------------------------------------------------------------------------------- cloud

/// Rents no further machines (its capacity is used up), lists those that are up, and deletes them.
class Cloud {
  public:
    Cloud(Loop& loop, Record& record)
        : record_(record),
          address_(next_address()),
          started_(steady_now()),
          server_(loop, address_, {}, [this](HttpRequest request) { return handle(std::move(request)); }) {
        scope_.spawn(server_.serve());
    }
    Address address() const { return address_; }
    std::map<std::string, std::unique_ptr<Worker>> machines;
    std::vector<MachineType> types;
    std::vector<std::string> zones;

  private:
    Task<HttpResponse> handle(HttpRequest request) {
        if (request.target == "/catalog") {
            Json builds = Json::array();
            for (const auto& type : types)
                builds.push_back({{"name", type.name},
                                  {"cores", type.cores},
                                  {"accelerators", 0.0},
                                  {"memGb", type.mem_gb},
                                  {"localGb", type.local_gb},
                                  {"fetchGbPerS", type.fetch_gb_per_s},
                                  {"price", type.price},
                                  {"marketPrice", type.market_price},
                                  {"startupS", type.startup_s},
                                  {"roosts", zones}});
            co_return respond(200, {{"builds", builds}});
        }
        if (request.target == "/rentals") co_return respond(503, {{"error", "no capacity"}});
        if (request.target == "/rentals/release") {
            const Json body = from_body(request.body);
            for (const auto& perch : body["perches"]) {
                record_.add("cloud  deletes " + perch.get<std::string>());
                machines.erase(perch.get<std::string>());
            }
            co_return respond(200);
        }
        if (!request.target.starts_with("/rentals?")) co_return respond(400);
        const std::string after = parameter(request.target, "after");
        Json perches = Json::array();
        for (const auto& [id, machine] : machines) {
            if (id <= after) continue;
            perches.push_back({{"id", id},
                               {"address", text_of(machine->address())},
                               {"build", machine->type().name},
                               {"roost", machine->zone()},
                               {"borrowed", false},
                               {"status", "running"},
                               {"heldS", 300 + static_cast<double>((steady_now() - started_).count()) / 1e6}});
        }
        co_return respond(200, {{"perches", perches}, {"hasNext", false}});
    }

    Record& record_;
    const Address address_;
    const Micros started_;
    HttpServer server_;
    Scope scope_;
};

// ---------------------------------------------------------------------------------------------- platform

/// Starts the controllers as the deploy file says, with one settings file each, and starts one that has
/// ended again, as the users' pages say.
class Platform {
  public:
    Platform(Loop& loop, Record& record, const Site& site, std::vector<std::string> command, Store& store,
             Address cloud, std::size_t nodes)
        : loop_(loop), record_(record), site_(site), command_(std::move(command)) {
        folder_ = (std::filesystem::temp_directory_path() / "hatchwind-review-XXXXXX").string();
        if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no temporary folder");
        for (std::size_t i = 0; i < nodes; ++i) {
            labels.push_back("perch-" + std::to_string(i));
            api.push_back(next_address());
            mesh_.push_back(next_address());
        }
        pids_.resize(nodes, -1);
        for (std::size_t i = 0; i < nodes; ++i) {
            std::ofstream(path(i, ".json")) << settings(i, store.address(i), cloud).dump(2);
            start(i);
        }
        scope_.spawn(wait_for_ends());
    }
    ~Platform() { stop(); }
    void stop() {
        for (auto& pid : pids_) {
            if (pid <= 0) continue;
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            pid = -1;
        }
        if (!folder_.empty() && std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder_);
        folder_.clear();
    }
    std::vector<std::string> labels;
    std::vector<Address> api;
    std::vector<std::string> ends;  ///< ends that nobody asked for, with their signal or exit code

  private:
    std::string path(std::size_t node, const char* suffix) const { return folder_ + "/" + labels[node] + suffix; }
    std::string zone(std::size_t node) const { return site_.zones[node % site_.zones.size()]; }
    Json settings(std::size_t node, Address state, Address cloud) const {
        Json members = Json::array();
        for (std::size_t i = 0; i < labels.size(); ++i)
            if (i != node)
                members.push_back(
                    {{"label", labels[i]}, {"location", zone(i)}, {"peer_addr", text_of(mesh_[i])}});
        Json teams = Json::array();
        for (const auto& team : site_.teams)
            teams.push_back({{"name", team.name},
                             {"cpus", team.cpus},
                             {"cpus_max", team.cpus_max},
                             {"gpus", 0.0},
                             {"gpus_max", 0.0}});
        return {{"label", labels[node]},
                {"location", zone(node)},
                {"api_addr", text_of(api[node])},
                {"mesh_addr", text_of(mesh_[node])},
                {"members", members},
                {"endpoints", {{"cloud", text_of(cloud)}, {"state", text_of(state)}}},
                {"deployment",
                 {{"count", labels.size()},
                  {"zones", site_.zones},
                  {"teams", teams},
                  {"objectives", Json::array({{{"kind", "guarantee"}, {"within_s", 5.0}, {"share", 0.96}}})},
                  {"workers",
                   {{"report_s", site_.report_s},
                    {"lease_s", site_.lease_s},
                    {"gang_wait_s", 35.0},
                    {"gang_peer_s", 8.0},
                    {"cancel_s", site_.cancel_s}}},
                  {"state",
                   {{"rps", site_.state_rps},
                    {"write_rps", site_.state_write_rps},
                    {"value_kb", site_.value_kb},
                    {"txn_ops", site_.txn_ops}}},
                  {"cloud", {{"rps", site_.cloud_rps}, {"list_lag_s", site_.list_lag_s}}},
                  {"machine_limits", {{"cpu_share", 0.32}, {"memory_mb", 264.0}, {"max_connections", 5000}}},
                  {"skew_ms", 5.0}}}};
    }
    void start(std::size_t node) {
        std::vector<std::string> words = command_;
        words.push_back(path(node, ".json"));
        const std::string log = path(node, ".log");
        const pid_t pid = ::fork();
        if (pid < 0) throw std::runtime_error("fork");
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this process, however that ends
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char*> arguments;
            for (auto& word : words) arguments.push_back(word.data());
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        pids_[node] = pid;
        record_.add("start  " + labels[node] + " pid " + std::to_string(pid) + " log " + log);
    }
    Task<void> wait_for_ends() {
        std::map<std::size_t, Micros> restart_at;
        while (true) {
            co_await loop_.sleep(Micros{50'000});
            for (std::size_t i = 0; i < pids_.size(); ++i) {
                int status = 0;
                if (pids_[i] > 0 && ::waitpid(pids_[i], &status, WNOHANG) == pids_[i]) {
                    const std::string how = WIFSIGNALED(status)
                                                ? "signal " + std::to_string(WTERMSIG(status))
                                                : "exit code " + std::to_string(WEXITSTATUS(status));
                    ends.push_back(labels[i] + " " + how);
                    record_.add("ended  " + labels[i] + " by itself, " + how);
                    pids_[i] = -1;
                    restart_at[i] = steady_now() + seconds(site_.restart_s);
                }
                if (pids_[i] < 0 && restart_at.contains(i) && restart_at[i] <= steady_now()) {
                    restart_at.erase(i);
                    start(i);
                }
            }
        }
    }

    Loop& loop_;
    Record& record_;
    const Site& site_;
    const std::vector<std::string> command_;
    std::string folder_;
    std::vector<Address> mesh_;
    std::vector<pid_t> pids_;
    Scope scope_;
};

// ---------------------------------------------------------------------------------------------- users

/// Users behind the load balancer: for each new request it picks the next node that its probes call healthy.
class Users {
  public:
    Users(Loop& loop, Record& record, std::vector<Address> nodes)
        : loop_(loop), record_(record), nodes_(std::move(nodes)), healthy_(nodes_.size(), false),
          failures_(nodes_.size(), 0), client_(loop) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) scope_.spawn(probe(i));
    }
    bool healthy(std::size_t node) const { return healthy_[node]; }
    std::size_t healthy_count() const {
        return static_cast<std::size_t>(std::count(healthy_.begin(), healthy_.end(), true));
    }
    struct Answer {
        int status = 0;  ///< 0: none
        Json body;
        std::size_t node = 0;
    };
    /// One request to the next healthy node, or to `node`.
    Task<Answer> ask(std::string what, std::string method, std::string target, std::string body, double wait_s,
                     std::size_t node = SIZE_MAX) {
        Answer answer;
        answer.node = node == SIZE_MAX ? next_node() : node;
        record_.add("sent   " + what + " to perch-" + std::to_string(answer.node));
        auto sending = client_.send(nodes_[answer.node], std::move(method), std::move(target), std::move(body),
                                    steady_now() + seconds(wait_s));
        const HttpResult result = co_await std::move(sending);
        if (result) {
            answer.status = result->status;
            if (!result->body.empty()) answer.body = from_body(result->body);
        }
        record_.add("answer " + what + " from perch-" + std::to_string(answer.node) + ": " +
                    (answer.status == 0 ? "none" : std::to_string(answer.status)) +
                    (answer.body.is_object()
                         ? " " + answer.body.dump(-1, ' ', false, Json::error_handler_t::replace)
                         : ""));
        co_return answer;
    }
    /// Submits; repeats as the page says, for up to 60 s.
    Task<Answer> submit(std::string what, std::string body) {
        auto repeating = repeat("submit " + what, "/api/jobs", std::move(body), {200, 201, 400, 422});
        Answer answer = co_await std::move(repeating);
        co_return answer;
    }
    /// Cancels; repeats as with a submission.
    Task<Answer> cancel(std::string id) {
        auto repeating = repeat("cancel " + id, "/api/jobs/" + id + "/cancel", "", {200});
        Answer answer = co_await std::move(repeating);
        co_return answer;
    }
    Task<Answer> poll(std::string id) {
        auto asking = ask("poll " + id, "GET", "/api/jobs/" + id, "", 2);
        Answer answer = co_await std::move(asking);
        co_return answer;
    }

  private:
    Task<Answer> repeat(std::string what, std::string target, std::string body, std::set<int> final) {
        const Micros until = steady_now() + seconds(60);
        Answer answer;
        while (true) {
            std::string copy = body;
            auto asking = ask(what, "POST", target, std::move(copy), 5);
            answer = co_await std::move(asking);
            if (final.contains(answer.status) || steady_now() + seconds(1) > until) co_return answer;
            co_await loop_.sleep(seconds(1.1));
        }
    }
    std::size_t next_node() {
        for (std::size_t tried = 0; tried < nodes_.size(); ++tried) {
            const std::size_t node = next_++ % nodes_.size();
            if (healthy_[node]) return node;
        }
        return next_++ % nodes_.size();
    }
    Task<void> probe(std::size_t node) {
        while (true) {
            auto asking = client_.send(nodes_[node], "GET", "/healthz", "", steady_now() + seconds(1));
            const HttpResult result = co_await std::move(asking);
            if (result.has_status(200)) {
                failures_[node] = 0;
                healthy_[node] = true;
            } else if (++failures_[node] >= 2) {
                healthy_[node] = false;
            }
            co_await loop_.sleep(seconds(1));
        }
    }

    Loop& loop_;
    Record& record_;
    const std::vector<Address> nodes_;
    std::vector<bool> healthy_;
    std::vector<int> failures_;
    std::size_t next_ = 0;
    HttpClient client_;
    Scope scope_;
};

/// A submission; the fields that a case leaves alone are those of a small array.
inline Json submission(const std::string& id, const std::string& team, int tasks, double cpus) {
    return {{"id", id},           {"flock", "sighting-review"}, {"crew", team},   {"form", "sweep"},
            {"rank", "normal"},   {"legs", tasks},              {"cores", cpus},  {"accelerators", 0.0},
            {"memGb", cpus * 2},  {"plate", "img-07"},          {"sizeGb", 0.1},  {"builds", nullptr},
            {"roost", nullptr},   {"oneZone", false},           {"spread", false}, {"borrowed", false},
            {"expectS", 20.0},    {"markS", 0.0},               {"stashS", 0.0},  {"dueS", nullptr}};
}

// ---------------------------------------------------------------------------------------------- a case

/// All of a deployment, for one case.
struct Deployment {
    Deployment(Site wanted, const std::string& record_path, std::vector<std::string> command,
               const std::vector<std::pair<MachineType, int>>& fleet, std::size_t nodes = 3)
        : record(record_path),
          site(std::move(wanted)),
          workload(record, site),
          store(loop, site, nodes),
          cloud(loop, record),
          platform(loop, record, site, std::move(command), store, cloud.address(), nodes),
          users(loop, record, platform.api) {
        cloud.zones = site.zones;
        unsigned number = 0;
        for (const auto& [type, count] : fleet) {
            cloud.types.push_back(type);
            for (int i = 0; i < count; ++i) {
                char id[16];
                std::snprintf(id, sizeof id, "n-%06u", ++number);
                cloud.machines[id] =
                    std::make_unique<Worker>(loop, record, workload, site, id, type,
                                             site.zones[number % site.zones.size()], platform.api,
                                             platform.labels, number);
            }
        }
    }
    /// Adds what the workers need to know of a job.
    void upload(const Json& job, double run_s) {
        workload.jobs[job["id"]] = {job["crew"],  job["cores"], job["memGb"], job["sizeGb"],
                                    job["plate"], job["legs"],  run_s};
    }
    /// Waits until all nodes are healthy; false if that takes too long.
    Task<bool> wait_until_up() {
        const Micros until = steady_now() + seconds(20);
        while (users.healthy_count() < platform.api.size()) {
            if (steady_now() > until) co_return false;
            co_await loop.sleep(seconds(0.1));
        }
        co_await loop.sleep(seconds(4));  // the machines have reported, and have been asked
        co_return true;
    }

    Loop loop;
    Record record;
    const Site site;
    Workload workload;
    Store store;
    Cloud cloud;
    Platform platform;
    Users users;
    Scope scope;
};

enum Verdict : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Runs a case: `play` says whether it could run.
inline int run_case(Deployment& deployment, std::function<Task<bool>(Deployment&, bool)> play, double limit_s) {
    const char* trouble_text = std::getenv("TROUBLE");
    const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    deployment.record.add(trouble ? "run with the disruption" : "run without the disruption");
    bool finished = false;
    bool could_run = false;
    const auto whole = [](Deployment& d, std::function<Task<bool>(Deployment&, bool)>& part, bool with,
                          bool& done, bool& ok) -> Task<void> {
        auto playing = part(d, with);
        ok = co_await std::move(playing);
        done = true;
        d.loop.stop();
    };
    const auto watchdog = [](Loop& loop, double after) -> Task<void> {
        co_await loop.sleep(seconds(after));
        loop.stop();
    };
    deployment.scope.spawn(whole(deployment, play, trouble, finished, could_run));
    deployment.scope.spawn(watchdog(deployment.loop, limit_s));
    deployment.loop.run();
    deployment.scope.cancel();
    deployment.platform.stop();
    const int verdict = deployment.record.broken_count() > 0 ? kBroken
                        : !finished || !could_run             ? kCouldNotRun
                                                              : kHeld;
    deployment.record.add("verdict " + std::to_string(verdict));
    return verdict;
}

}  // namespace review
