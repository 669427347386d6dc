#include "workers/worker_gateway.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::controller {

using io::HttpResponse;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCommandTimeout{2'500'000};
constexpr std::size_t kMaxQueuedCommands = 256;
constexpr std::size_t kStatusBytes = std::size_t{256} * 1024;
constexpr std::size_t kMinConcurrentProbes = 32;
}  // namespace

Task<HttpResponse> WorkerGateway::handle_heartbeat(std::string body) {
    HttpResponse out;
    const auto v = wire::decode(body);
    auto r = v ? wire::parse_worker_heartbeat(*v) : std::nullopt;
    if (!r) {
        ++malformed_;
        spdlog::warn("event=malformed_heartbeat count={}", malformed_);
        out.status = 400;
        co_return out;
    }
    // Not entitled, or behind the epoch that the worker has heard of: an answer would keep the worker here
    // while its lease runs out.
    if (!node_.holds_leadership() || r->fencing_token > node_.epoch.number) {
        out.status = 421;
        // In turn: when a node falls silent, whoever comes first in the list would bear all its workers.
        const auto homes = node_.redirect_candidates();
        out.body = wire::encode(wire::redirect_response(homes.empty() ? "" : homes[turn_++ % homes.size()]));
        co_return out;
    }
    if (const std::string home = less_loaded_controller(); !home.empty()) {
        node_.worker_redirected(r->machine);
        out.status = 421;
        out.body = wire::encode(wire::redirect_response(home));
        co_return out;
    }
    const auto stops = stops_for_cancelled(*r);
    node_.handle_heartbeat(std::move(*r), true);
    out.body = wire::encode(wire::heartbeat_response(node_.epoch.number, stops));
    co_return out;
}

std::vector<core::WorkerCommand> WorkerGateway::stops_for_cancelled(
    const core::WorkerHeartbeat& heartbeat) const {
    std::vector<core::WorkerCommand> stops;
    for (const auto& task : heartbeat.tasks) {
        if (task.state == core::TaskState::exited) continue;
        const core::JobEntry* entry = node_.job_table.find(task.job);
        if (entry == nullptr || !entry->job.cancelled) continue;
        stops.push_back({core::CommandKind::stop, task.job, task.task, task.attempt, 0});
    }
    return stops;
}

std::string WorkerGateway::less_loaded_controller() {
    // Workers stay where they are answered, so after a restart or a cut one node would bear the fleet's
    // reports for good. A few a second move; the rest never notice.
    const Micros now = steady_now();
    if (now < next_move_) return {};
    if (now - counted_ > Micros{1'000'000}) {
        counted_ = now;
        here_ = node_.assigned_worker_count();
        loads_.clear();
        for (const auto& label : node_.redirect_candidates())
            loads_[label] = node_.peers.at(label).heartbeat.workers;
    }
    std::size_t all = here_;
    for (const auto& [label, load] : loads_) all += load;
    const std::size_t part = all / (loads_.size() + 1);
    const auto to = std::min_element(loads_.begin(), loads_.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
    if (to == loads_.end() || here_ <= part + part / 4 + 4 || to->second >= part) return {};
    // A twentieth of them in a second.
    next_move_ = now + Micros{20'000'000} / static_cast<std::int64_t>(here_);
    --here_;
    ++to->second;
    return to->first;
}

void WorkerGateway::forget_earlier_epochs() {
    if (unanswered_epoch_ == node_.epoch.number) return;
    unanswered_epoch_ = node_.epoch.number;
    std::erase_if(unanswered_, [&](const auto& sent) { return sent.second.epoch < unanswered_epoch_; });
}

void WorkerGateway::enqueue(const std::string& machine, std::uint64_t incarnation, core::WorkerCommand o) {
    forget_earlier_epochs();
    CommandQueue& box = command_queues_[machine];
    if (box.incarnation != incarnation || box.epoch != node_.epoch.number) {
        // Orders die with the incarnation they were meant for, and with the epoch they were given in.
        for (const auto& old : box.commands) start_copy_resolved(old, box.epoch);
        box.commands.clear();
        box.incarnation = incarnation;
        box.epoch = node_.epoch.number;
    }
    if (box.commands.size() >= kMaxQueuedCommands) return;  // repeated later by whoever wants it
    if (o.kind == core::CommandKind::start) {
        Sent& sent = unanswered_[{o.job, o.task, o.attempt}];
        if (sent.epoch != node_.epoch.number) sent = {node_.epoch.number, 0};
        ++sent.copies;
    }
    box.commands.push_back(std::move(o));
    if (!box.busy) {
        box.busy = true;
        scope_.spawn(send(machine));
    }
}

bool WorkerGateway::start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const {
    const auto it = unanswered_.find({job, task, attempt});
    return it != unanswered_.end() && it->second.epoch == node_.epoch.number;
}

void WorkerGateway::start_copy_resolved(const core::WorkerCommand& o, std::uint64_t epoch) {
    if (o.kind != core::CommandKind::start) return;
    const auto it = unanswered_.find({o.job, o.task, o.attempt});
    if (it != unanswered_.end() && it->second.epoch == epoch && --it->second.copies == 0)
        unanswered_.erase(it);
}

void WorkerGateway::merge_status_response(const std::string& body) {
    const auto v = wire::decode(body);
    auto r = v ? wire::parse_worker_heartbeat(*v) : std::nullopt;
    if (!r) {
        ++malformed_;
        spdlog::warn("event=malformed_command_response count={}", malformed_);
        return;
    }
    node_.handle_heartbeat(std::move(*r), false);
}

Task<void> WorkerGateway::send(std::string machine) {
    // Orders of the same turn go out together.
    co_await node_.loop.yield();
    while (true) {
        auto box = command_queues_.find(machine);
        if (box == command_queues_.end()) co_return;
        const core::MachineView* view = node_.cluster_view.find(machine);
        const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last_heartbeat.address);
        if (box->second.commands.empty() || !address || !node_.holds_leadership()) {
            // Never sent, so nothing of them can be under way.
            for (const auto& o : box->second.commands) start_copy_resolved(o, box->second.epoch);
            command_queues_.erase(box);
            co_return;
        }
        const auto commands = std::exchange(box->second.commands, {});
        const std::uint64_t incarnation = box->second.incarnation;
        const std::uint64_t epoch = box->second.epoch;
        auto task = node_.workers_http.send(
            *address, "POST", "/orders", wire::encode(wire::commands_request(epoch, incarnation, commands)),
            steady_now() + kCommandTimeout, kStatusBytes);
        const io::HttpReply reply = co_await std::move(task);
        const bool answered = reply.status == 200 || reply.status == 409;
        if (answered || reply.never_sent) {
            // One copy of each: another one that got no answer may still arrive.
            for (const auto& o : commands) start_copy_resolved(o, epoch);
        }
        if (answered) {
            merge_status_response(reply.body);
            node_.scheduling_needed.notify_all();
        } else {
            // Without a socket of this node's own the machine was not asked: banned for that, live machines
            // of a large fleet got nothing after a takeover.
            if (!reply.pool_exhausted) node_.record_unanswered(machine);
            spdlog::debug("event=command_unanswered machine={} status={} commands={}", machine, reply.status,
                          commands.size());
        }
    }
}

Task<void> WorkerGateway::probe(std::string machine) {
    struct Count {
        std::size_t& n;
        ~Count() { --n; }
    } count{probes_in_flight_};
    const core::MachineView* view = node_.cluster_view.find(machine);
    const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last_heartbeat.address);
    if (!address) {
        node_.probes.erase(machine);
        co_return;
    }
    auto task = node_.workers_http.send(*address, "GET", "/status", "", steady_now() + Micros{1'500'000},
                                        kStatusBytes);
    const io::HttpReply reply = co_await std::move(task);
    if (reply.status == 200) {
        merge_status_response(reply.body);
        node_.probes.erase(machine);
        node_.scheduling_needed.notify_all();
        co_return;
    }
    const auto it = node_.probes.find(machine);
    if (it == node_.probes.end() || reply.pool_exhausted) co_return;
    it->second.pause = std::min(it->second.pause * 2, Micros{8'000'000});
    node_.record_unanswered(machine);
}

Task<void> WorkerGateway::probe_unconfirmed_workers() {
    // Asks machines whose reports alone prove nothing: new ones, silent ones that are back, and those that
    // report but did not answer a command. One that only sends would otherwise be given tasks for ever.
    while (true) {
        co_await node_.loop.sleep(Micros{200'000});
        if (!node_.replica_loaded) continue;
        const Micros now = steady_now();
        std::erase_if(node_.probes,
                      [&](const auto& s) { return node_.cluster_view.find(s.first) == nullptr; });
        // Those that wait longest go first: by name, some dozens of dead machines at the list's head took all
        // the turns, and live ones behind them stayed unused. So many at a time as lets a whole fleet answer
        // within seconds of a takeover.
        std::vector<std::pair<Micros, std::string>> due;
        for (const auto& [machine, s] : node_.probes) {
            if (s.next <= now) due.emplace_back(s.next, machine);
        }
        // Half of the sockets are left to commands.
        const std::size_t most =
            std::clamp(node_.cluster_view.machines().size() / 8, kMinConcurrentProbes,
                       std::max(kMinConcurrentProbes, node_.workers_http.most_connections() / 2));
        const std::size_t number = std::min(due.size(), most - std::min(most, probes_in_flight_));
        std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(number), due.end());
        for (std::size_t i = 0; i < number; ++i) {
            Node::ProbeState& s = node_.probes[due[i].second];
            s.next = now + Micros{2'000'000};
            s.asked = now;
            ++probes_in_flight_;
            scope_.spawn(probe(due[i].second));
        }
    }
}

Task<void> WorkerGateway::monitor_worker_connectivity() {
    // A node that is cut from the workers only cannot do an shard owner's part: it says so, and the leader
    // takes its teams away. Reports may all go to other nodes, so silence alone is no sign: it asks some
    // workers.
    const Micros quiet{static_cast<std::int64_t>(node_.settings.report_s * 2e6) + 1'500'000};
    std::size_t turn = 0;
    while (true) {
        co_await node_.loop.sleep(Micros{1'000'000});
        if (steady_now() - node_.last_worker_contact < quiet) {
            node_.healthy = true;
            continue;
        }
        std::vector<io::Address> others;
        for (const auto& [id, view] : node_.cluster_view.machines()) {
            // Only machines that other nodes hear.
            if (steady_now() - view.changed > quiet) continue;
            if (const auto a = io::parse_address(view.last_heartbeat.address)) others.push_back(*a);
        }
        if (others.size() < 2) continue;
        bool reached = false;
        for (std::size_t i = 0; i < 2 && !reached; ++i) {
            const io::Address a = others[turn++ % others.size()];
            auto task = node_.workers_http.send(a, "GET", "/status", "", steady_now() + Micros{900'000},
                                                kStatusBytes);
            const io::HttpReply reply = co_await std::move(task);
            if (reply.status == 200) {
                reached = true;
                merge_status_response(reply.body);
            }
        }
        if (reached != node_.healthy) spdlog::warn("event=worker_connectivity ok={}", reached);
        node_.healthy = reached;
    }
}

}  // namespace hatchwind::controller
