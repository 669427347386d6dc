#include "emulator/load_balancer.hpp"

#include <algorithm>

namespace hatchwind::emulator {

namespace {
constexpr int ok = 200;
constexpr Micros probe_every{1'000'000};
constexpr Micros probe_patience{1'000'000};
constexpr std::size_t probes_kept = 6;
constexpr std::size_t failures_kept = 3;  // of those kept
constexpr std::uint32_t failures_row = 2;
constexpr std::uint32_t successes_row = 2;
constexpr Micros first_pause{3'000'000};
constexpr Micros longest_pause{60'000'000};
constexpr Micros pause_remembered{120'000'000};
constexpr Micros reset_after{5'000'000};
constexpr Micros full_share_after{10'000'000};
constexpr std::uint32_t refusals_row = 3;
constexpr Micros passed_over{3'000'000};
}  // namespace

LoadBalancer::LoadBalancer(io::Loop& loop, std::vector<NodeAddress> nodes, std::uint64_t seed)
    : loop_(loop), addresses_(std::move(nodes)), random_(seed, "load balancer"), client_(loop) {
    for (const NodeAddress& address : addresses_) {
        Node node;
        node.node = address;
        nodes_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) scope_.spawn(probe(i));
}

LoadBalancer::Connection::Connection(LoadBalancer& balancer, std::size_t node)
    : balancer_(balancer), node_(node), generation_(balancer.nodes_[node].generation) {
    ++balancer_.nodes_[node_].connections;
}

LoadBalancer::Connection::~Connection() { --balancer_.nodes_[node_].connections; }

void LoadBalancer::Connection::refused() {
    Node& node = balancer_.nodes_[node_];
    if (++node.refusals_in_row < refusals_row) return;
    node.refusals_in_row = 0;
    node.passed_over_until = io::steady_now() + passed_over;
}

void LoadBalancer::Connection::accepted() { balancer_.nodes_[node_].refusals_in_row = 0; }

bool LoadBalancer::usable(const Node& node, Micros now) const {
    return node.healthy && now >= node.passed_over_until;
}

// A node that has just become healthy is raised to its share.
double LoadBalancer::weight(const Node& node, Micros now) const {
    const double raised = to_seconds(now - node.healthy_since) / to_seconds(full_share_after);
    constexpr double least = 0.05;
    return std::clamp(raised, least, 1.0) / static_cast<double>(node.connections + 1);
}

std::unique_ptr<LoadBalancer::Connection> LoadBalancer::open() {
    const Micros now = io::steady_now();
    double total = 0;
    for (const Node& node : nodes_) {
        if (usable(node, now)) total += weight(node, now);
    }
    if (total <= 0) return nullptr;
    double drawn = random_.uniform(0, total);
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!usable(nodes_[i], now)) continue;
        chosen = i;
        drawn -= weight(nodes_[i], now);
        if (drawn <= 0) break;
    }
    return std::make_unique<Connection>(*this, *chosen);
}

bool LoadBalancer::healthy(const std::string& label) const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [&](const Node& node) { return node.node.label == label && node.healthy; });
}

io::Task<void> LoadBalancer::probe(std::size_t index) {
    while (true) {
        const Micros begun = io::steady_now();
        const io::Address address = nodes_[index].node.address;
        auto sending = client_.send(address, "GET", "/healthz", "", begun + probe_patience);
        const io::HttpResult reply = co_await std::move(sending);
        note_probe(nodes_[index], reply.has_status(ok), io::steady_now());
        const Micros jitter = random_.between(Micros{-50'000}, Micros{50'000});
        co_await loop_.sleep_until(std::max(begun + probe_every + jitter, io::steady_now() + Micros{1}));
    }
}

void LoadBalancer::note_probe(Node& node, bool success, Micros now) {
    node.probes.push_back(success);
    if (node.probes.size() > probes_kept) node.probes.pop_front();
    node.failures_in_row = success ? 0 : node.failures_in_row + 1;
    node.successes_in_row = success ? node.successes_in_row + 1 : 0;
    if (node.healthy) {
        const auto failures =
            static_cast<std::size_t>(std::count(node.probes.begin(), node.probes.end(), false));
        if (node.failures_in_row >= failures_row || failures >= failures_kept) mark_unhealthy(node, now);
        return;
    }
    if (!node.reset && now - node.unhealthy_since >= reset_after) {
        node.reset = true;
        ++node.generation;
    }
    const bool enough = node.ever_healthy ? node.successes_in_row >= successes_row : success;
    if (!enough || (node.ever_healthy && now - node.unhealthy_since < node.pause)) return;
    node.healthy = true;
    node.ever_healthy = true;
    node.healthy_since = now;
    node.probes.clear();
}

void LoadBalancer::mark_unhealthy(Node& node, Micros now) {
    const bool again_soon = node.pause > Micros{0} && now - node.unhealthy_since < pause_remembered;
    node.pause = again_soon ? std::min(node.pause * 2, longest_pause) : first_pause;
    node.healthy = false;
    node.unhealthy_since = now;
    node.reset = false;
    node.successes_in_row = 0;
}

}  // namespace hatchwind::emulator
