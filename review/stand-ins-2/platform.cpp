#include "platform.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace standin {

namespace {
std::string parameter(const std::string& target, const std::string& name) {
    for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
        if (target.compare(at + 1, name.size() + 1, name + "=") != 0) continue;
        const auto from = at + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
    }
    return "";
}
const char* name_of(Way way) {
    switch (way) {
        case Way::open:
            return "open";
        case Way::reset:
            return "reset";
        case Way::refuse:
            return "refuse";
        case Way::hold:
            return "hold";
    }
    return "";
}
std::string leg_of(const std::string& job, int index) { return job + "/" + std::to_string(index); }
}  // namespace

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "we")) {}
Record::~Record() {
    if (file_ != nullptr) std::fclose(file_);
}
void Record::line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f %s\n", now_s(), text.c_str());
    std::fflush(file_);
}

// --- the state service ---

Store::Store(const Site& site, Record& record)
    : site_(site), record_(record), request_tokens_(site.state_rps), write_tokens_(site.state_write_rps) {
    const auto clients = static_cast<std::size_t>(site.controllers);
    late_.resize(clients);
    for (std::size_t client = 0; client < clients; ++client) {
        servers_.push_back(std::make_unique<Server>(
            [this, client](const std::string& method, const std::string& target, const std::string& body) {
                return handle(client, method, target, body);
            }));
    }
    expirer_ = std::thread([this] { expire_for_good(); });
}

Store::~Store() {
    stopped_ = true;
    changed_.notify_all();
    expirer_.join();
    for (auto& thread : later_) thread.join();
    for (auto& server : servers_) server->stop();
}

void Store::set_way(std::size_t client, Way way) {
    record_.line("state service: way of controller " + std::to_string(client) + " is now " + name_of(way));
    servers_[client]->set_way(way);
    changed_.notify_all();
}

void Store::set_outage(bool on) {
    record_.line(on ? "state service: outage begins" : "state service: outage is over");
    const std::lock_guard lock(mutex_);
    for (auto& [id, grant] : grants_) grant.until = now_s() + grant.life_s;
    outage_ = on;
    changed_.notify_all();
}

void Store::set_late_commits(std::size_t client, double share, double late_s) {
    const std::lock_guard lock(mutex_);
    late_[client] = {share, late_s};
}

bool Store::is_away(std::size_t client) const {
    return outage_ || servers_[client]->way() == Way::refuse;
}

std::optional<Json> Store::value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end()) return std::nullopt;
    return found->second.value;
}

std::vector<std::string> Store::keys(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (const auto& [key, item] : items_)
        if (key.rfind(prefix, 0) == 0) found.push_back(key);
    return found;
}

bool Store::take(double& tokens, double& last, double rate, double amount) {
    const double now = now_s();
    tokens = std::min(rate, tokens + rate * (now - last));
    last = now;
    if (tokens < amount) return false;
    tokens -= amount;
    return true;
}

void Store::put(const std::string& key, std::optional<Json> value, std::uint64_t stamp,
                std::uint64_t tenure) {
    if (value) {
        items_[key] = {*value, stamp, tenure};
    } else if (items_.erase(key) == 0) {
        return;
    }
    log_.push_back({stamp, key, std::move(value)});
    if (log_.size() > 10'000) log_.pop_front();
}

void Store::expire_for_good() {
    while (!stopped_) {
        sleep_s(0.01);
        const std::lock_guard lock(mutex_);
        if (outage_) continue;
        const double now = now_s();
        for (auto grant = grants_.begin(); grant != grants_.end();) {
            if (grant->second.until > now) {
                ++grant;
                continue;
            }
            record_.line("state service: grant " + std::to_string(grant->first) + " ends");
            std::vector<std::string> ended;
            for (const auto& [key, item] : items_)
                if (item.tenure == grant->first) ended.push_back(key);
            if (!ended.empty()) ++ledger_;
            for (const auto& key : ended) put(key, std::nullopt, ledger_, 0);
            grant = grants_.erase(grant);
            changed_.notify_all();
        }
    }
}

Response Store::handle(std::size_t client, const std::string& method, const std::string& target,
                       const std::string& body) {
    sleep_s((site_.state_latency_s + extra_latency_) / 2);
    Response response = answer(client, method, target, body);
    sleep_s((site_.state_latency_s + extra_latency_) / 2);
    return response;
}

Response Store::answer(std::size_t client, const std::string& method, const std::string& target,
                       const std::string& body) {
    if (is_away(client)) return {503, {{"error", "trouble"}}};
    std::unique_lock lock(mutex_);
    if (!take(request_tokens_, request_last_, site_.state_rps, 1)) return {429, {{"error", "too many"}}};
    if (target.rfind("/watch", 0) == 0) {
        lock.unlock();
        return watch(client, target);
    }
    if (method == "POST" && target == "/commit") {
        const Json request = from_cbor(body);
        const double writes = request.contains("writes") ? static_cast<double>(request["writes"].size()) : 0;
        if (!take(write_tokens_, write_last_, site_.state_write_rps, writes)) return {429, {{"error", "too many"}}};
        const Late late = late_[client];
        if (late.share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < late.share) {
            record_.line("state service: a commit of controller " + std::to_string(client) +
                         " gets no answer and is carried out later");
            later_.emplace_back([this, request, late] {
                sleep_s(late.seconds);
                const std::lock_guard held(mutex_);
                const Response done = commit(request);
                record_.line("state service: late commit, status " + std::to_string(done.status));
            });
            lock.unlock();
            for (int i = 0; i < 500 && !stopped_; ++i) sleep_s(0.02);
            return {504, Json::object(), true};
        }
        Response response = commit(request);
        if (response.status == 200) {
            std::string keys;
            for (const auto& write : request.value("writes", Json::array()))
                keys += " " + write.value("write", "-" + write.value("delete", std::string()));
            record_.line("state service: commit of controller " + std::to_string(client) + " at " +
                         std::to_string(ledger_) + ":" + keys);
        }
        return response;
    }
    if (method == "GET" && target.rfind("/store?", 0) == 0) return list(target);
    if (method == "GET" && target.rfind("/store/", 0) == 0) {
        const auto found = items_.find(target.substr(7));
        if (found == items_.end()) return {404, {{"ledger", ledger_}}};
        Json answer{{"path", found->first}, {"v", found->second.value}, {"stamp", found->second.stamp}};
        if (found->second.tenure != 0) answer["tenure"] = found->second.tenure;
        return {200, answer};
    }
    if (method == "POST" && target == "/grants") {
        const Json request = from_cbor(body);
        const double life_s = request.value("lifeMs", 0.0) / 1000;
        if (life_s < 0.1 || life_s > 600) return {400, {{"error", "malformed"}}};
        grants_[++last_grant_] = {life_s, now_s() + life_s};
        return {200, {{"tenure", last_grant_}}};
    }
    if (target.rfind("/grants/", 0) == 0) {
        const auto id = std::strtoull(target.c_str() + 8, nullptr, 10);
        const auto grant = grants_.find(id);
        if (grant == grants_.end()) return {404, {{"error", "no such lease"}}};
        grant->second.until = method == "DELETE" ? now_s() : now_s() + grant->second.life_s;
        return {200, Json::object()};
    }
    return {400, {{"error", "malformed"}}};
}

Response Store::commit(const Json& request) {
    if (!request.is_object()) return {400, {{"error", "malformed"}}};
    const Json conditions = request.value("when", Json::array());
    const Json writes = request.value("writes", Json::array());
    if (writes.size() > static_cast<std::size_t>(site_.txn_ops) ||
        conditions.size() > static_cast<std::size_t>(site_.txn_ops) * 4 || request.dump().size() > 65536)
        return {400, {{"error", "too large"}}};
    for (const auto& write : writes) {
        if (!write.contains("write")) continue;
        if (write.at("v").dump().size() > site_.value_kb * 1024) return {400, {{"error", "too large"}}};
        if (write.contains("tenure") && grants_.count(write["tenure"].get<std::uint64_t>()) == 0)
            return {400, {{"error", "no such lease"}}};
    }
    Json failed = Json::array();
    for (const auto& condition : conditions) {
        const auto found = items_.find(condition.at("path").get<std::string>());
        const std::uint64_t stamp = found == items_.end() ? 0 : found->second.stamp;
        if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition["path"]);
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", ledger_}}};
    if (writes.empty()) return {200, {{"ledger", ledger_}}};
    ++ledger_;
    for (const auto& write : writes) {
        if (write.contains("write")) {
            put(write["write"], write["v"], ledger_, write.value("tenure", std::uint64_t{0}));
        } else {
            put(write.at("delete"), std::nullopt, ledger_, 0);
        }
    }
    changed_.notify_all();
    return {200, {{"ledger", ledger_}}};
}

Response Store::list(const std::string& target) {
    const std::string prefix = parameter(target, "starts");
    const std::string after = parameter(target, "after");
    const std::string most_text = parameter(target, "most");
    const std::size_t most = std::min<std::size_t>(1000, most_text.empty() ? 1000 : std::stoul(most_text));
    Json pairs = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto item = items_.lower_bound(prefix); item != items_.end(); ++item) {
        if (item->first.rfind(prefix, 0) != 0) break;
        if (!after.empty() && item->first <= after) continue;
        const std::size_t size = item->second.value.dump().size() + item->first.size() + 40;
        if (pairs.size() >= most || bytes + size > 512 * 1024) {
            more = true;
            break;
        }
        bytes += size;
        pairs.push_back({{"path", item->first}, {"v", item->second.value}, {"stamp", item->second.stamp}});
    }
    return {200, {{"pairs", pairs}, {"hasNext", more}, {"ledger", ledger_}}};
}

Response Store::watch(std::size_t client, const std::string& target) {
    const std::string prefix = parameter(target, "starts");
    const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
    const double until = now_s() + std::strtod(parameter(target, "blockMs").c_str(), nullptr) / 1000;
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        if (!is_away(client)) {
            if (log_.size() == 10'000 && log_.front().stamp > after) return {410, {{"ledger", ledger_}}};
            Json log = Json::array();
            auto change = std::lower_bound(log_.begin(), log_.end(), after + 1,
                                           [](const Change& c, std::uint64_t stamp) { return c.stamp < stamp; });
            for (; change != log_.end(); ++change) {
                if (change->key.rfind(prefix, 0) != 0) continue;
                if (change->value) {
                    log.push_back({{"write", change->key}, {"v", *change->value}, {"stamp", change->stamp}});
                } else {
                    log.push_back({{"delete", change->key}, {"stamp", change->stamp}});
                }
            }
            if (!log.empty() || now_s() >= until) return {200, {{"ledger", ledger_}, {"log", log}}};
        }
        changed_.wait_for(lock, std::chrono::milliseconds(50));
    }
    return {503, Json::object(), true};
}

// --- workers ---

Json JobSpec::body() const {
    Json body{{"id", id},         {"flock", job_class}, {"crew", team},
              {"form", kind},     {"rank", rank},       {"legs", tasks},
              {"cores", cores},   {"accelerators", 0.0}, {"memGb", mem_gb},
              {"plate", image},   {"sizeGb", image_gb}, {"builds", nullptr},
              {"roost", nullptr}, {"oneZone", one_zone}, {"spread", spread},
              {"borrowed", spot}, {"expectS", kind == "service" ? 0.0 : estimate_s},
              {"markS", checkpoint_s}, {"stashS", save_s}, {"dueS", nullptr}};
    if (due_s) body["dueS"] = *due_s;
    if (!awaits.empty()) body["awaits"] = awaits;
    return body;
}

Worker::Worker(World& world, std::string id, std::string zone, bool spot)
    : world_(world),
      id_(std::move(id)),
      zone_(std::move(zone)),
      spot_(spot),
      lease_from_(now_s()),
      next_report_(now_s()),
      random_(static_cast<unsigned>(std::hash<std::string>{}(id_))),
      free_cores_(world.site.type.cores),
      free_mem_gb_(world.site.type.mem_gb),
      server_([this](const std::string& method, const std::string& target, const std::string& body) {
          return handle(method, target, body);
      }) {
    home_ = random_() % world_.node_ports.size();
    reporter_ = std::thread([this] { report_for_good(); });
    ticker_ = std::thread([this] { tick_for_good(); });
}

Worker::~Worker() { destroy(); }

void Worker::destroy() {
    if (gone_.exchange(true)) return;
    wake_.notify_all();
    {
        const std::lock_guard lock(mutex_);
        kill_all("machine gone", now_s());
    }
    server_.stop();
    reporter_.join();
    ticker_.join();
}

void Worker::note(const Task& task, const std::string& what, double now, const std::string& cause) {
    world_.record.line("machine " + id_ + ": " + leg_of(task.job, task.index) + " try " +
                       std::to_string(task.attempt) + " " + what + (cause.empty() ? "" : " (" + cause + ")"));
    world_.add_event({now, what, task.job, task.index, task.attempt, id_, cause});
}

void Worker::set_hung(bool hung) {
    const std::lock_guard lock(mutex_);
    world_.record.line("machine " + id_ + (hung ? " hangs" : " goes on"));
    const double now = now_s();
    for (auto& [key, task] : tasks_) {
        if (task.state != "running") continue;
        if (hung) {
            task.left_s = task.ends_at - now;
        } else {
            task.ends_at = now + task.left_s;
        }
    }
    hung_ = hung;
    wake_.notify_all();
}

void Worker::cache_image(const std::string& image) {
    const std::lock_guard lock(mutex_);
    images_[image] = now_s();
}

bool Worker::has_task(const std::string& job) {
    const std::lock_guard lock(mutex_);
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
        return entry.second.job == job && entry.second.state != "exited";
    });
}

std::vector<std::string> Worker::tasks() {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [key, task] : tasks_)
        if (task.state != "exited") names.push_back(key.first);
    return names;
}

std::uint64_t Worker::session() {
    const std::lock_guard lock(mutex_);
    return session_;
}
std::size_t Worker::home() {
    const std::lock_guard lock(mutex_);
    return home_;
}

void Worker::kill_all(const std::string& why, double now) {
    for (auto& [key, task] : tasks_) {
        if (task.state == "exited") continue;
        note(task, task.on_machine ? "killed" : "dropped before it had its image", now, why);
    }
    tasks_.clear();
    free_cores_ = world_.site.type.cores;
    free_mem_gb_ = world_.site.type.mem_gb;
}

void Worker::end_session_if_over(double now) {
    if (now - lease_from_ <= world_.site.lease_s) return;
    kill_all("lease over", now);
    ++session_;
    lease_from_ = now;
    changed_ = true;
}

void Worker::exit(Task& task, const std::string& cause, double now) {
    const auto spec = world_.job(task.job);
    if (spec) {
        free_cores_ += spec->cores;
        free_mem_gb_ += spec->mem_gb;
    }
    note(task, task.on_machine ? "exit" : "exit before it had its image", now, cause);
    if (cause == "done") world_.complete(task.job, task.index);
    task.state = "exited";
    task.cause = cause;
    task.on_machine = false;
    changed_ = true;
}

void Worker::place(Task& task, double now) {
    const auto spec = world_.job(task.job);
    task.on_machine = true;
    task.state = "running";
    task.ends_at = spec->kind == "service" ? 1e18 : now + spec->run_s;
    note(task, "start", now);
    changed_ = true;
    // The result of a completed task is kept.
    if (world_.completed(task.job, task.index)) exit(task, "done", now);
}

void Worker::start(const std::string& job, int index, std::uint64_t attempt, double now) {
    const std::string leg = leg_of(job, index);
    if (tasks_.count({leg, attempt}) != 0) return;
    Task& task = tasks_[{leg, attempt}];
    task.job = job;
    task.index = index;
    task.attempt = attempt;
    changed_ = true;
    const auto spec = world_.job(job);
    const auto refuse = [&](const char* cause) {
        note(task, "refused", now, cause);
        task.state = "exited";
        task.cause = cause;
    };
    if (!spec || index >= spec->tasks) return refuse("unknown");
    for (const auto& [key, other] : tasks_)
        if (key.first == leg && key.second != attempt && other.state != "exited") return refuse("in_use");
    if (spec->cores > free_cores_ + 1e-6 || spec->mem_gb > free_mem_gb_ + 1e-6) return refuse("no_room");
    free_cores_ -= spec->cores;
    free_mem_gb_ -= spec->mem_gb;
    task.state = "fetching";
    note(task, "start command", now);
    const auto image = images_.find(spec->image);
    if (image == images_.end()) {
        const double pace = std::uniform_real_distribution<>(0.75, 1.3)(random_);
        images_[spec->image] = now + spec->image_gb / (world_.site.type.fetch_gb_per_s * pace);
    }
}

void Worker::halt(const std::string& job, int index, std::uint64_t attempt, double grace_s, double now) {
    const auto found = tasks_.find({leg_of(job, index), attempt});
    if (found == tasks_.end() || found->second.state == "exited") return;
    Task& task = found->second;
    const auto spec = world_.job(job);
    if (task.state == "running" && spec->checkpoint_s > 0 && grace_s >= spec->save_s && grace_s > 0) {
        task.state = "flushing";
        task.saves_until = now + spec->save_s;
        task.kept = true;
        changed_ = true;
        return;
    }
    task.kept = false;
    exit(task, "stopped", now);
}

void Worker::execute(const Json& calls, double now) {
    for (const auto& item : calls) {
        const std::string kind = item.value("call", "");
        const std::string leg = item.value("leg", "");
        const auto slash = leg.rfind('/');
        const std::string job = leg.substr(0, slash);
        const int index = std::atoi(leg.c_str() + slash + 1);
        const auto attempt = item.value("try", std::uint64_t{0});
        if (kind == "start") start(job, index, attempt, now);
        if (kind == "halt") halt(job, index, attempt, item.value("settleS", 0.0), now);
        if (kind == "reap") {
            const auto found = tasks_.find({leg, attempt});
            if (found != tasks_.end() && found->second.state == "exited") {
                tasks_.erase(found);
                changed_ = true;
            }
        }
    }
    advance(now);
}

void Worker::advance(double now) {
    // Images that no task waits for any more are not fetched further.
    std::set<std::string> wanted;
    for (auto& [key, task] : tasks_) {
        if (task.state == "fetching") {
            const auto spec = world_.job(task.job);
            if (images_[spec->image] <= now) {
                place(task, now);
            } else {
                wanted.insert(spec->image);
            }
        }
        if (task.state == "running" && task.ends_at <= now) exit(task, "done", now);
        if (task.state == "flushing" && task.saves_until <= now) exit(task, "stopped", now);
    }
    for (auto image = images_.begin(); image != images_.end();) {
        if (image->second > now && wanted.count(image->first) == 0) {
            image = images_.erase(image);
        } else {
            ++image;
        }
    }
    if (changed_) wake_.notify_all();
}

void Worker::tick_for_good() {
    while (!gone_) {
        sleep_s(0.01);
        if (hung_) continue;
        const std::lock_guard lock(mutex_);
        if (gone_) return;
        const double now = now_s();
        end_session_if_over(now);
        advance(now);
    }
}

Json Worker::report_body() {
    Json legs = Json::array();
    for (const auto& [key, task] : tasks_) {
        Json leg{{"leg", key.first}, {"try", task.attempt}, {"status", task.state}};
        if (task.state == "exited") leg["cause"] = task.cause;
        if (task.kept) leg["kept"] = true;
        legs.push_back(std::move(leg));
    }
    return {{"perch", id_},       {"address", server_.address()}, {"build", world_.site.type.name},
            {"roost", zone_},     {"borrowed", spot_},            {"stint", session_},
            {"tick", ++tick_},    {"baton", baton_},              {"warningS", nullptr},
            {"legs", std::move(legs)}};
}

void Worker::adopt(std::uint64_t baton, double now) {
    if (baton <= baton_) return;
    baton_ = baton;
    if (now - baton_told_at_ < world_.site.lease_s / 2) return;
    baton_told_at_ = now;
    changed_ = true;
}

Response Worker::handle(const std::string& method, const std::string& target, const std::string& body) {
    while (hung_ && !gone_) sleep_s(0.005);
    const std::lock_guard lock(mutex_);
    if (gone_) return {503, Json::object(), true};
    const double now = now_s();
    end_session_if_over(now);
    if (method == "GET" && target == "/status") return {200, report_body()};
    if (method != "POST" || target != "/orders") return {404, Json::object()};
    const Json orders = from_cbor(body);
    if (!orders.contains("baton") || !orders.contains("stint")) return {400, Json::object()};
    const auto baton = orders["baton"].get<std::uint64_t>();
    if (baton < baton_ || orders["stint"].get<std::uint64_t>() != session_) return {409, report_body()};
    adopt(baton, now);
    execute(orders.value("calls", Json::array()), now);
    return {200, report_body()};
}

void Worker::report_for_good() {
    while (!gone_) {
        {
            std::unique_lock lock(mutex_);
            const double now = now_s();
            double due = changed_ ? std::min(next_report_, last_sent_ + 0.5) : next_report_;
            due = std::max(due, not_before_);
            if (hung_ || now < due) {
                wake_.wait_for(lock, std::chrono::duration<double>(hung_ ? 0.01 : std::min(due - now, 0.05)));
                continue;
            }
        }
        send_report();
    }
}

void Worker::send_report() {
    std::string body;
    std::uint64_t session = 0;
    std::size_t node = 0;
    double sent_at = 0;
    {
        const std::lock_guard lock(mutex_);
        sent_at = now_s();
        end_session_if_over(sent_at);
        changed_ = false;
        last_sent_ = sent_at;
        next_report_ = sent_at + world_.site.report_s * std::uniform_real_distribution<>(0.75, 1.25)(random_);
        session = session_;
        node = home_;
        body = to_cbor(report_body());
    }
    const Reply reply = call(world_.node_ports[node], "POST", "/hello", {}, 4, &body);
    while (hung_ && !gone_) sleep_s(0.005);
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    const double now = now_s();
    end_session_if_over(now);
    const auto try_next = [&] {
        home_ = (home_ + 1) % world_.node_ports.size();
        next_report_ = not_before_ = now + 1;
    };
    if (now - sent_at > 4) return try_next();
    if (reply.status == 421) {
        const auto named = world_.controllers.index_of(reply.body.value("home", ""));
        if (!named || *named == node) return try_next();
        home_ = *named;
        next_report_ = not_before_ = now + std::uniform_real_distribution<>(0, 0.5)(random_);
        return;
    }
    if (reply.status != 200) return try_next();
    if (session != session_ || !reply.body.contains("baton")) return;
    const auto baton = reply.body["baton"].get<std::uint64_t>();
    if (baton < baton_) return;
    lease_from_ = std::max(lease_from_, sent_at);
    adopt(baton, now);
    execute(reply.body.value("calls", Json::array()), now);
}

// --- the cloud ---

Cloud::Cloud(World& world) : world_(world), tokens_(world.site.cloud_rps * 2) {
    for (int client = 0; client < world.site.controllers; ++client) {
        servers_.push_back(std::make_unique<Server>(
            [this, client](const std::string& method, const std::string& target, const std::string& body) {
                return handle(static_cast<std::size_t>(client), method, target, body);
            }));
    }
    booter_ = std::thread([this] { boot_for_good(); });
}

Cloud::~Cloud() { stop(); }

void Cloud::stop() {
    if (stopped_.exchange(true)) return;
    booter_.join();
    for (auto& server : servers_) server->stop();
    for (auto& worker : workers()) worker->destroy();
}

std::string Cloud::next_id() {
    char name[32];
    std::snprintf(name, sizeof name, "n-%06llu", static_cast<unsigned long long>(++last_id_));
    return name;
}

void Cloud::add_running(const std::string& zone) {
    const std::lock_guard lock(mutex_);
    Machine machine;
    machine.id = next_id();
    machine.zone = zone;
    machine.rented_at = machine.up_at = now_s() - 100;
    machine.worker = std::make_shared<Worker>(world_, machine.id, zone, false);
    machine.address = machine.worker->address();
    machines_[machine.id] = machine;
}

std::vector<std::shared_ptr<Worker>> Cloud::workers() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<Worker>> all;
    for (const auto& [id, machine] : machines_)
        if (machine.worker) all.push_back(machine.worker);
    return all;
}

std::shared_ptr<Worker> Cloud::worker(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = machines_.find(id);
    return found == machines_.end() ? nullptr : found->second.worker;
}

std::vector<Cloud::Release> Cloud::releases() {
    const std::lock_guard lock(mutex_);
    return releases_;
}

void Cloud::boot_for_good() {
    while (!stopped_) {
        sleep_s(0.05);
        const std::lock_guard lock(mutex_);
        const double now = now_s();
        for (auto& [id, machine] : machines_) {
            if (machine.worker || machine.gone_at < 1e17 || now < machine.up_at) continue;
            world_.record.line("cloud: machine " + id + " is up in " + machine.zone);
            machine.worker = std::make_shared<Worker>(world_, id, machine.zone, machine.spot);
            machine.address = machine.worker->address();
        }
    }
}

Response Cloud::handle(std::size_t client, const std::string& method, const std::string& target,
                       const std::string& body) {
    sleep_s(world_.site.cloud_latency_s);
    {
        const std::lock_guard lock(mutex_);
        const double now = now_s();
        tokens_ = std::min(world_.site.cloud_rps * 2, tokens_ + world_.site.cloud_rps * (now - last_));
        last_ = now;
        if (tokens_ < 1) return {429, {{"error", "too many"}}};
        tokens_ -= 1;
    }
    if (method == "GET" && target == "/catalog") {
        const MachineType& type = world_.site.type;
        return {200,
                {{"builds",
                  {{{"name", type.name},
                    {"cores", type.cores},
                    {"accelerators", 0.0},
                    {"memGb", type.mem_gb},
                    {"localGb", type.cache_gb},
                    {"fetchGbPerS", type.fetch_gb_per_s},
                    {"price", type.price},
                    {"marketPrice", type.market_price},
                    {"startupS", type.boot_s},
                    {"roosts", world_.site.zones}}}}}};
    }
    if (method == "POST" && target == "/rentals") return rent(client, from_cbor(body));
    if (method == "POST" && target == "/rentals/release") return release(client, from_cbor(body));
    if (method == "GET" && target.rfind("/rentals", 0) == 0) return list(target);
    return {400, {{"error", "malformed"}}};
}

Response Cloud::rent(std::size_t client, const Json& request) {
    const std::lock_guard lock(mutex_);
    const std::string ask = request.value("ask", "");
    const int number = request.value("number", 0);
    if (ask.empty() || number < 1 || number > 50) return {400, {{"error", "malformed"}}};
    if (const auto known = asked_.find(ask); known != asked_.end()) return {200, known->second};
    std::size_t present = 0;
    for (const auto& [id, machine] : machines_) present += machine.gone_at > 1e17 ? 1 : 0;
    Json names = Json::array();
    for (int i = 0; i < number && present < world_.site.most_machines; ++i, ++present) {
        Machine machine;
        machine.id = next_id();
        machine.zone = request.value("roost", "");
        machine.spot = request.value("borrowed", false);
        machine.rented_at = now_s();
        machine.up_at =
            machine.rented_at + world_.site.type.boot_s * std::uniform_real_distribution<>(0.6, 1.5)(random_);
        names.push_back(machine.id);
        machines_[machine.id] = machine;
    }
    if (names.empty()) return {503, {{"error", "no capacity"}}};
    world_.record.line("cloud: controller " + std::to_string(client) + " rents " + names.dump());
    return {200, asked_[ask] = {{"perches", names}}};
}

Response Cloud::release(std::size_t client, const Json& request) {
    std::vector<std::shared_ptr<Worker>> ended;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& name : request.value("perches", Json::array())) {
            const auto found = machines_.find(name.get<std::string>());
            if (found == machines_.end() || found->second.gone_at < 1e17) continue;
            found->second.gone_at = now_s();
            Release release{now_s(), client, found->first, {}};
            if (found->second.worker) {
                release.tasks = found->second.worker->tasks();
                ended.push_back(found->second.worker);
                found->second.worker = nullptr;
            }
            std::string tasks;
            for (const auto& task : release.tasks) tasks += " " + task;
            world_.record.line("cloud: controller " + std::to_string(client) + " releases " + found->first +
                               ", on it:" + (tasks.empty() ? " nothing" : tasks));
            releases_.push_back(std::move(release));
        }
    }
    for (auto& worker : ended) worker->destroy();
    return {200, Json::object()};
}

Response Cloud::list(const std::string& target) {
    const std::lock_guard lock(mutex_);
    const std::string after = parameter(target, "after");
    const std::string most_text = parameter(target, "most");
    const std::size_t most = std::min<std::size_t>(500, most_text.empty() ? 500 : std::stoul(most_text));
    const double as_of = now_s() - world_.site.list_lag_s;
    Json listed = Json::array();
    bool more = false;
    for (const auto& [id, machine] : machines_) {
        if (id <= after || machine.rented_at > as_of || machine.gone_at <= as_of) continue;
        if (listed.size() >= most) {
            more = true;
            break;
        }
        listed.push_back({{"id", id},
                          {"address", machine.address},
                          {"build", world_.site.type.name},
                          {"roost", machine.zone},
                          {"borrowed", machine.spot},
                          {"status", machine.up_at <= as_of ? "running" : "starting"},
                          {"heldS", as_of - machine.rented_at}});
    }
    return {200, {{"perches", listed}, {"hasNext", more}}};
}

// --- controllers ---

Controllers::Controllers(World& world, std::string folder, std::string command)
    : world_(world), folder_(std::move(folder)) {
    std::istringstream words(command);
    for (std::string word; words >> word;) command_.push_back(word);
    for (int i = 0; i < world.site.controllers; ++i) {
        Node node;
        node.label = "perch-" + std::to_string(i);
        node.zone = world.site.zones[static_cast<std::size_t>(i) % world.site.zones.size()];
        node.api = free_port();
        node.mesh = free_port();
        nodes_.push_back(node);
        world.node_ports.push_back(node.api);
    }
    for (std::size_t from = 0; from < nodes_.size(); ++from)
        for (std::size_t to = 0; to < nodes_.size(); ++to)
            if (from != to) relays_[{from, to}] = std::make_unique<Relay>(nodes_[to].mesh);
}

Controllers::~Controllers() { stop(); }

void Controllers::stop() {
    for (std::size_t node = 0; node < nodes_.size(); ++node) kill(node);
}

std::optional<std::size_t> Controllers::index_of(const std::string& label) const {
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        if (nodes_[node].label == label) return node;
    return std::nullopt;
}

void Controllers::write_settings(std::size_t node) {
    const Site& site = world_.site;
    Json members = Json::array();
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (other == node) continue;
        members.push_back({{"label", nodes_[other].label},
                           {"location", nodes_[other].zone},
                           {"peer_addr", address_of(relays_[{node, other}]->port())}});
    }
    Json teams = Json::array();
    for (const Team& team : site.teams)
        teams.push_back({{"name", team.name},
                         {"cpus", team.cpus},
                         {"cpus_max", team.cpus_max},
                         {"gpus", 0.0},
                         {"gpus_max", 0.0}});
    const Json settings{
        {"label", nodes_[node].label},
        {"location", nodes_[node].zone},
        {"api_addr", address_of(nodes_[node].api)},
        {"mesh_addr", address_of(nodes_[node].mesh)},
        {"members", members},
        {"endpoints",
         {{"cloud", address_of(world_.cloud.port(node))}, {"state", address_of(world_.store.port(node))}}},
        {"deployment",
         {{"count", site.controllers},
          {"zones", site.zones},
          {"teams", teams},
          {"objectives", site.objectives},
          {"workers",
           {{"report_s", site.report_s},
            {"lease_s", site.lease_s},
            {"gang_wait_s", site.gang_wait_s},
            {"gang_peer_s", site.gang_peer_s},
            {"cancel_s", site.cancel_s}}},
          {"state",
           {{"rps", site.state_rps},
            {"write_rps", site.state_write_rps},
            {"value_kb", site.value_kb},
            {"txn_ops", site.txn_ops}}},
          {"cloud", {{"rps", site.cloud_rps}, {"list_lag_s", site.list_lag_s}}},
          {"machine_limits",
           {{"cpu_share", site.cpu_share},
            {"memory_mb", site.memory_mb},
            {"max_connections", site.max_connections}}},
          {"skew_ms", 5.0}}}};
    std::ofstream(folder_ + "/" + nodes_[node].label + ".json") << settings.dump(2);
}

void Controllers::start(std::size_t node) {
    write_settings(node);
    const std::string settings = folder_ + "/" + nodes_[node].label + ".json";
    const std::string log = folder_ + "/" + nodes_[node].label + ".log";
    std::vector<std::string> words = command_;
    words.push_back(settings);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int parent = ::getpid();
    const int pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(2);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    nodes_[node].pid = pid;
    world_.record.line("controller " + std::to_string(node) + " started");
}

void Controllers::signal(std::size_t node, int number) {
    world_.record.line("controller " + std::to_string(node) + " gets signal " + std::to_string(number));
    if (nodes_[node].pid > 0) ::kill(nodes_[node].pid, number);
}

void Controllers::kill(std::size_t node) {
    if (nodes_[node].pid <= 0) return;
    ::kill(nodes_[node].pid, SIGKILL);
    ::waitpid(nodes_[node].pid, nullptr, 0);
    nodes_[node].pid = -1;
    world_.record.line("controller " + std::to_string(node) + " is killed");
}

bool Controllers::ended_by_itself(std::size_t node) {
    if (nodes_[node].pid <= 0) return false;
    int status = 0;
    if (::waitpid(nodes_[node].pid, &status, WNOHANG) != nodes_[node].pid) return false;
    world_.record.line("controller " + std::to_string(node) + " ended by itself, status " +
                       std::to_string(status));
    nodes_[node].pid = -1;
    return true;
}

void Controllers::set_mesh_way(std::size_t from, std::size_t to, Way way) {
    world_.record.line("mesh: way from controller " + std::to_string(from) + " to " + std::to_string(to) +
                       " is now " + name_of(way));
    relays_.at({from, to})->set_way(way);
}

// --- all of it ---

World::World(Site chosen, const std::string& record_path, const std::string& folder,
             const std::string& command)
    : site(std::move(chosen)),
      record(record_path),
      store(site, record),
      cloud(*this),
      controllers(*this, folder, command) {}

World::~World() {
    controllers.stop();
    cloud.stop();
}

bool World::start_controllers() {
    for (std::size_t node = 0; node < controllers.count(); ++node) controllers.start(node);
    for (const auto& zone : site.machine_zones) cloud.add_running(zone);
    return wait_for(
        [&] {
            for (std::size_t node = 0; node < controllers.count(); ++node)
                if (call(node_ports[node], "GET", "/healthz", {}, 1).status != 200) return false;
            return members().size() == controllers.count();
        },
        20);
}

bool World::wait_for(const std::function<bool()>& condition, double seconds) {
    const double until = now_s() + seconds;
    while (now_s() < until) {
        if (condition()) return true;
        sleep_s(0.02);
    }
    return false;
}

World::Told World::submit_once(const JobSpec& job, std::size_t node) {
    {
        const std::lock_guard lock(mutex_);
        jobs_.emplace(job.id, job);
    }
    const Reply reply = call(node_ports[node], "POST", "/api/jobs", job.body(), 5);
    record.line("user: submits " + job.id + " at controller " + std::to_string(node) + ", answer " +
                std::to_string(reply.status) + " " + reply.body.dump());
    return {reply.status, reply.body.value("status", ""), now_s(), node};
}

World::Told World::submit(const JobSpec& job, std::size_t node) {
    const double until = now_s() + 60;
    Told told;
    while (now_s() < until) {
        told = submit_once(job, node);
        if (told.status == 200 || told.status == 201 || told.status == 400 || told.status == 422) return told;
        sleep_s(1);
        node = (node + 1) % node_ports.size();
    }
    return told;
}

World::Told World::poll(const std::string& id, std::size_t node) {
    const Reply reply = call(node_ports[node], "GET", "/api/jobs/" + id, {}, 2);
    record.line("user: asks for " + id + " at controller " + std::to_string(node) + ", answer " +
                std::to_string(reply.status) + " " + reply.body.dump());
    return {reply.status, reply.body.value("status", ""), now_s(), node};
}

World::Told World::cancel(const std::string& id, std::size_t node) {
    const double until = now_s() + 60;
    Told told;
    while (now_s() < until) {
        const Reply reply = call(node_ports[node], "POST", "/api/jobs/" + id + "/cancel", Json::object(), 5);
        told = {reply.status, reply.body.value("status", ""), now_s(), node};
        record.line("user: cancels " + id + " at controller " + std::to_string(node) + ", answer " +
                    std::to_string(reply.status) + " " + reply.body.dump());
        if (told.status == 200) {
            if (told.state == "cancelled") {
                const std::lock_guard lock(mutex_);
                cancelled_.emplace(id, told.at);
            }
            return told;
        }
        sleep_s(1);
        node = (node + 1) % node_ports.size();
    }
    return told;
}

std::string World::leader() {
    const auto epoch = store.value("h/epoch");
    return epoch ? epoch->value("leader", "") : "";
}
std::string World::owner(const std::string& team) {
    const auto epoch = store.value("h/epoch");
    return epoch && epoch->contains("owners") ? epoch->at("owners").value(team, "") : "";
}
std::vector<std::string> World::members() {
    std::vector<std::string> labels;
    const auto epoch = store.value("h/epoch");
    if (!epoch) return labels;
    for (const auto& member : epoch->value("members", Json::array())) labels.push_back(member[0]);
    return labels;
}

void World::add_event(TaskEvent event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
}
std::vector<TaskEvent> World::events() {
    const std::lock_guard lock(mutex_);
    return events_;
}
void World::complete(const std::string& job, int task) {
    const std::lock_guard lock(mutex_);
    completed_.emplace(std::make_pair(job, task), now_s());
}
bool World::completed(const std::string& job, int task) {
    const std::lock_guard lock(mutex_);
    return completed_.count({job, task}) != 0;
}
std::optional<double> World::completed_at(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto spec = jobs_.find(id);
    if (spec == jobs_.end()) return std::nullopt;
    double last = 0;
    for (int task = 0; task < spec->second.tasks; ++task) {
        const auto found = completed_.find({id, task});
        if (found == completed_.end()) return std::nullopt;
        last = std::max(last, found->second);
    }
    return last;
}
std::optional<JobSpec> World::job(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return std::nullopt;
    return found->second;
}
std::optional<double> World::cancelled_at(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = cancelled_.find(id);
    if (found == cancelled_.end()) return std::nullopt;
    return found->second;
}

Run parse_run(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    // The controllers end with this process.
    const auto give_up = [](int) { ::_exit(kCouldNotRun); };
    ::signal(SIGALRM, give_up);
    ::signal(SIGTERM, give_up);
    ::alarm(115);
    ::setenv("LOG_LEVEL", std::getenv("CASE_LOG") != nullptr ? std::getenv("CASE_LOG") : "info", 1);
    origin();
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s RECORD FOLDER COMMAND\n", argv[0]);
        std::exit(kCouldNotRun);
    }
    const char* trouble = std::getenv("TROUBLE");
    return {trouble == nullptr || std::string(trouble) != "0", argv[1], argv[2], argv[3]};
}

}  // namespace standin
