#include "service/workers.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::service {

using io::HttpResponse;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kOrderTime{2'500'000};
constexpr std::size_t kOutboxOrders = 256;
constexpr std::size_t kStatusBytes = std::size_t{256} * 1024;
constexpr std::size_t kAsking = 32;
}  // namespace

Task<HttpResponse> Workers::hello(std::string body) {
    HttpResponse out;
    const auto v = wire::decode(body);
    auto r = v ? wire::parse_report(*v) : std::nullopt;
    if (!r) {
        ++malformed_;
        spdlog::warn("event=malformed_report count={}", malformed_);
        out.status = 400;
        co_return out;
    }
    // Not entitled, or behind the epoch that the worker has heard of: an answer would keep the worker here
    // while its lease runs out.
    if (!node_.acting() || r->token > node_.epoch.number) {
        out.status = 421;
        // In turn: when a node falls silent, whoever comes first in the list would bear all its workers.
        const auto homes = node_.other_homes();
        out.body = wire::encode(wire::home_answer(homes.empty() ? "" : homes[turn_++ % homes.size()]));
        co_return out;
    }
    if (const std::string home = better_home(); !home.empty()) {
        node_.moved_away(r->machine);
        out.status = 421;
        out.body = wire::encode(wire::home_answer(home));
        co_return out;
    }
    const auto stops = stops_for_cancelled(*r);
    node_.take_report(std::move(*r), true);
    out.body = wire::encode(wire::report_answer(node_.epoch.number, stops));
    co_return out;
}

std::vector<core::Order> Workers::stops_for_cancelled(const core::WorkerReport& report) const {
    std::vector<core::Order> stops;
    for (const auto& task : report.tasks) {
        if (task.state == core::TaskState::exited) continue;
        const core::JobEntry* entry = node_.ledger.find(task.job);
        if (entry == nullptr || !entry->job.cancelled) continue;
        stops.push_back({core::OrderKind::stop, task.job, task.task, task.attempt, 0});
    }
    return stops;
}

std::string Workers::better_home() {
    // Workers stay where they are answered, so after a restart or a cut one node would bear the fleet's
    // reports for good. A few a second move; the rest never notice.
    const Micros now = steady_now();
    if (now < next_move_) return {};
    if (now - counted_ > Micros{1'000'000}) {
        counted_ = now;
        here_ = node_.workers_here();
        loads_.clear();
        for (const auto& label : node_.other_homes()) loads_[label] = node_.peers.at(label).heartbeat.workers;
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

void Workers::forget_earlier_epochs() {
    if (unanswered_epoch_ == node_.epoch.number) return;
    unanswered_epoch_ = node_.epoch.number;
    std::erase_if(unanswered_, [&](const auto& sent) { return sent.second.epoch < unanswered_epoch_; });
}

void Workers::order(const std::string& machine, std::uint64_t session, core::Order o) {
    forget_earlier_epochs();
    Outbox& box = outboxes_[machine];
    if (box.session != session || box.epoch != node_.epoch.number) {
        // Orders die with the session they were meant for, and with the epoch they were given in.
        for (const auto& old : box.orders) settle_copy(old, box.epoch);
        box.orders.clear();
        box.session = session;
        box.epoch = node_.epoch.number;
    }
    if (box.orders.size() >= kOutboxOrders) return;  // repeated later by whoever wants it
    if (o.kind == core::OrderKind::start) {
        Sent& sent = unanswered_[{o.job, o.task, o.attempt}];
        if (sent.epoch != node_.epoch.number) sent = {node_.epoch.number, 0};
        ++sent.copies;
    }
    box.orders.push_back(std::move(o));
    if (!box.busy) {
        box.busy = true;
        scope_.spawn(send(machine));
    }
}

bool Workers::start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const {
    const auto it = unanswered_.find({job, task, attempt});
    return it != unanswered_.end() && it->second.epoch == node_.epoch.number;
}

void Workers::settle_copy(const core::Order& o, std::uint64_t epoch) {
    if (o.kind != core::OrderKind::start) return;
    const auto it = unanswered_.find({o.job, o.task, o.attempt});
    if (it != unanswered_.end() && it->second.epoch == epoch && --it->second.copies == 0)
        unanswered_.erase(it);
}

void Workers::absorb_answer(const std::string& body) {
    const auto v = wire::decode(body);
    auto r = v ? wire::parse_report(*v) : std::nullopt;
    if (!r) {
        ++malformed_;
        spdlog::warn("event=malformed_order_answer count={}", malformed_);
        return;
    }
    node_.take_report(std::move(*r), false);
}

Task<void> Workers::send(std::string machine) {
    // Orders of the same turn go out together.
    co_await node_.loop.yield();
    while (true) {
        auto box = outboxes_.find(machine);
        if (box == outboxes_.end()) co_return;
        const core::MachineView* view = node_.cluster_view.find(machine);
        const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last.address);
        if (box->second.orders.empty() || !address || !node_.acting()) {
            // Never sent, so nothing of them can be under way.
            for (const auto& o : box->second.orders) settle_copy(o, box->second.epoch);
            outboxes_.erase(box);
            co_return;
        }
        const auto orders = std::exchange(box->second.orders, {});
        const std::uint64_t session = box->second.session;
        const std::uint64_t epoch = box->second.epoch;
        auto task = node_.workers_http.send(*address, "POST", "/orders",
                                            wire::encode(wire::orders_request(epoch, session, orders)),
                                            steady_now() + kOrderTime, kStatusBytes);
        const io::HttpReply reply = co_await std::move(task);
        const bool answered = reply.status == 200 || reply.status == 409;
        if (answered || reply.never_sent) {
            // One copy of each: another one that got no answer may still arrive.
            for (const auto& o : orders) settle_copy(o, epoch);
        }
        if (answered) {
            absorb_answer(reply.body);
            node_.work.notify_all();
        } else {
            // Without a socket of this node's own the machine was not asked: banned for that, live machines
            // of a large fleet got nothing after a takeover.
            if (!reply.pool_exhausted) node_.note_unanswered(machine);
            spdlog::debug("event=order_unanswered machine={} status={} orders={}", machine, reply.status,
                          orders.size());
        }
    }
}

Task<void> Workers::ask(std::string machine) {
    struct Count {
        std::size_t& n;
        ~Count() { --n; }
    } count{asking_};
    const core::MachineView* view = node_.cluster_view.find(machine);
    const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last.address);
    if (!address) {
        node_.suspects.erase(machine);
        co_return;
    }
    auto task = node_.workers_http.send(*address, "GET", "/status", "", steady_now() + Micros{1'500'000},
                                        kStatusBytes);
    const io::HttpReply reply = co_await std::move(task);
    if (reply.status == 200) {
        absorb_answer(reply.body);
        node_.suspects.erase(machine);
        node_.work.notify_all();
        co_return;
    }
    const auto it = node_.suspects.find(machine);
    if (it == node_.suspects.end() || reply.pool_exhausted) co_return;
    it->second.pause = std::min(it->second.pause * 2, Micros{8'000'000});
    node_.note_unanswered(machine);
}

Task<void> Workers::keep_reach() {
    // Asks machines whose reports alone prove nothing: new ones, silent ones that are back, and those that
    // report but did not answer an order. One that only sends would otherwise be given tasks for ever.
    while (true) {
        co_await node_.loop.sleep(Micros{200'000});
        if (!node_.synced) continue;
        const Micros now = steady_now();
        std::erase_if(node_.suspects,
                      [&](const auto& s) { return node_.cluster_view.find(s.first) == nullptr; });
        // Those that wait longest go first: by name, some dozens of dead machines at the list's head took all
        // the turns, and live ones behind them stayed unused. So many at a time as lets a whole fleet answer
        // within seconds of a takeover.
        std::vector<std::pair<Micros, std::string>> due;
        for (const auto& [machine, s] : node_.suspects) {
            if (s.next <= now) due.emplace_back(s.next, machine);
        }
        // Half of the sockets are left to orders.
        const std::size_t most = std::clamp(node_.cluster_view.machines().size() / 8, kAsking,
                                            std::max(kAsking, node_.workers_http.most_connections() / 2));
        const std::size_t number = std::min(due.size(), most - std::min(most, asking_));
        std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(number), due.end());
        for (std::size_t i = 0; i < number; ++i) {
            Node::Suspect& s = node_.suspects[due[i].second];
            s.next = now + Micros{2'000'000};
            s.asked = now;
            ++asking_;
            scope_.spawn(ask(due[i].second));
        }
    }
}

Task<void> Workers::watch_reach() {
    // A node that is cut from the workers only cannot do an owner's part: it says so, and the leader takes
    // its teams away. Reports may all go to other nodes, so silence alone is no sign: it asks some workers.
    const Micros quiet{static_cast<std::int64_t>(node_.settings.report_s * 2e6) + 1'500'000};
    std::size_t turn = 0;
    while (true) {
        co_await node_.loop.sleep(Micros{1'000'000});
        if (steady_now() - node_.last_worker_contact < quiet) {
            node_.fit = true;
            continue;
        }
        std::vector<io::Address> others;
        for (const auto& [id, view] : node_.cluster_view.machines()) {
            // Only machines that other nodes hear.
            if (steady_now() - view.changed > quiet) continue;
            if (const auto a = io::parse_address(view.last.address)) others.push_back(*a);
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
                absorb_answer(reply.body);
            }
        }
        if (reached != node_.fit) spdlog::warn("event=worker_reach ok={}", reached);
        node_.fit = reached;
    }
}

}  // namespace hatchwind::service
