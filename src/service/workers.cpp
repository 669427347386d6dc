#include "service/workers.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::service {

using io::HttpResponse;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kOrderTime{2'500'000};
constexpr std::size_t kOutboxOrders = 256;
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
    if (!n_.acting() || r->token > n_.epoch.number) {
        out.status = 421;
        const Micros now = steady_now();
        for (const auto& m : n_.epoch.members) {
            if (m.label != n_.self.label && n_.peer_fresh(m.label, now) && n_.peers[m.label].beat.grant == m.grant &&
                n_.peers[m.label].beat.fit) {
                out.body = wire::encode(wire::home_answer(m.label));
                break;
            }
        }
        if (out.body.empty()) out.body = wire::encode(wire::home_answer(""));
        co_return out;
    }
    n_.take_report(*r, true);
    out.body = wire::encode(wire::report_answer(n_.epoch.number));
    co_return out;
}

void Workers::order(const std::string& machine, std::uint64_t session, core::Order o) {
    Outbox& box = outboxes_[machine];
    if (box.session != session) {
        // Orders die with the session they were meant for.
        box.orders.clear();
        box.session = session;
    }
    if (box.orders.size() >= kOutboxOrders) return;  // repeated later by whoever wants it
    if (o.kind == core::OrderKind::start) unanswered_[{o.job, o.task, o.attempt}] = n_.epoch.number;
    box.orders.push_back(std::move(o));
    if (!box.busy) {
        box.busy = true;
        scope_.spawn(send(machine));
    }
}

bool Workers::start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const {
    const auto it = unanswered_.find({job, task, attempt});
    return it != unanswered_.end() && it->second == n_.epoch.number;
}

void Workers::absorb_answer(const std::string& body) {
    const auto v = wire::decode(body);
    const auto r = v ? wire::parse_report(*v) : std::nullopt;
    if (!r) {
        ++malformed_;
        spdlog::warn("event=malformed_order_answer count={}", malformed_);
        return;
    }
    n_.take_report(*r, false);
}

Task<void> Workers::send(std::string machine) {
    // Orders of the same turn go out together.
    co_await n_.loop.yield();
    while (true) {
        auto box = outboxes_.find(machine);
        if (box == outboxes_.end()) co_return;
        const core::MachineView* view = n_.picture.find(machine);
        const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last.address);
        if (box->second.orders.empty() || !address || !n_.acting()) {
            for (const auto& o : box->second.orders) {
                // Never sent, so nothing of it can be under way.
                if (o.kind == core::OrderKind::start) unanswered_.erase({o.job, o.task, o.attempt});
            }
            outboxes_.erase(box);
            co_return;
        }
        const auto orders = std::exchange(box->second.orders, {});
        const std::uint64_t session = box->second.session;
        auto task = n_.workers_http.send(*address, "POST", "/orders",
                                         wire::encode(wire::orders_request(n_.epoch.number, session, orders)),
                                         steady_now() + kOrderTime, 256 * 1024);
        const io::HttpReply reply = co_await std::move(task);
        const bool answered = reply.status == 200 || reply.status == 409;
        if (answered || reply.never_sent) {
            for (const auto& o : orders) {
                if (o.kind == core::OrderKind::start) unanswered_.erase({o.job, o.task, o.attempt});
            }
        }
        if (answered) {
            absorb_answer(reply.body);
            n_.work.notify_all();
        } else {
            spdlog::debug("event=order_unanswered machine={} status={} orders={}", machine, reply.status, orders.size());
        }
        if (unanswered_.size() > 4096) {
            std::erase_if(unanswered_, [&](const auto& u) { return u.second != n_.epoch.number; });
        }
    }
}

Task<void> Workers::watch_reach() {
    // A node that is cut from the workers only cannot do an owner's part: it says so, and the leader takes
    // its teams away. Reports may all go to other nodes, so silence alone is no sign: it asks some workers.
    const Micros quiet{static_cast<std::int64_t>(n_.settings.report_s * 2e6) + 1'500'000};
    std::size_t turn = 0;
    while (true) {
        co_await n_.loop.sleep(Micros{1'000'000});
        if (steady_now() - n_.last_worker_contact < quiet) {
            n_.fit = true;
            continue;
        }
        std::vector<io::Address> others;
        for (const auto& [id, view] : n_.picture.machines()) {
            // Only machines that other nodes hear.
            if (steady_now() - view.changed > quiet) continue;
            if (const auto a = io::parse_address(view.last.address)) others.push_back(*a);
        }
        if (others.size() < 2) continue;
        bool reached = false;
        for (std::size_t i = 0; i < 2 && !reached; ++i) {
            const io::Address a = others[turn++ % others.size()];
            auto task = n_.workers_http.send(a, "GET", "/status", "", steady_now() + Micros{900'000}, 256 * 1024);
            const io::HttpReply reply = co_await std::move(task);
            if (reply.status == 200) {
                reached = true;
                absorb_answer(reply.body);
            }
        }
        if (reached != n_.fit) spdlog::warn("event=worker_reach ok={}", reached);
        n_.fit = reached;
    }
}

}  // namespace hatchwind::service
