// The load balancer before the controllers: health checks, and which node a user's connection goes to.
//
// How to make and drive one: construct it on the users' io::Loop; its probes start at once. A user opens a
// Connection, sends requests to its node, and drops it when it fails. Simplification: the real one works on
// connections and passes over a node that does not accept within half a second; here a request that was never
// sent counts as such a refusal.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/worker.hpp"
#include "io/http_client.hpp"

namespace hatchwind::emulator {

class LoadBalancer {
  public:
    LoadBalancer(io::Loop& loop, std::vector<NodeAddress> nodes, std::uint64_t seed);

    /// A user's open connection to one node; closing it is destroying it.
    class Connection {
      public:
        Connection(LoadBalancer& balancer, std::size_t node);
        ~Connection();
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;
        const NodeAddress& node() const { return balancer_.nodes_[node_].node; }
        /// False once the balancer has reset the connections of its node.
        bool open() const { return generation_ == balancer_.nodes_[node_].generation; }
        /// The node refused or accepted a connection.
        void refused();
        void accepted();

      private:
        LoadBalancer& balancer_;
        std::size_t node_;
        std::uint64_t generation_;
    };
    /// Nothing when no node is healthy.
    std::unique_ptr<Connection> open();

    const std::vector<NodeAddress>& addresses() const { return addresses_; }
    bool healthy(const std::string& label) const;

  private:
    struct Node {
        NodeAddress node;
        bool healthy = false;
        bool ever_healthy = false;
        std::deque<bool> probes;  // the last six, the newest last
        std::uint32_t failures_in_row = 0;
        std::uint32_t successes_in_row = 0;
        Micros unhealthy_since{};
        Micros healthy_since{};
        Micros pause{};  // not healthy again before
        bool reset = false;
        std::size_t connections = 0;
        std::uint64_t generation = 0;
        std::uint32_t refusals_in_row = 0;
        Micros passed_over_until{};
    };

    io::Task<void> probe(std::size_t index);
    void note_probe(Node& node, bool success, Micros now);
    void mark_unhealthy(Node& node, Micros now);
    bool usable(const Node& node, Micros now) const;
    double weight(const Node& node, Micros now) const;

    io::Loop& loop_;
    std::vector<NodeAddress> addresses_;
    std::vector<Node> nodes_;
    Random random_;
    io::HttpClient client_;
    io::Scope scope_;
};

}  // namespace hatchwind::emulator
