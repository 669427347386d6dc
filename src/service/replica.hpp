// Keeps the node's copy of the store up to date by one watch, and answers whether the copy is new enough.
#pragma once

#include "service/node.hpp"

namespace hatchwind::service {

namespace keys {
constexpr const char* kRoot = "h/";
constexpr const char* kEpoch = "h/epoch";
inline std::string node(const std::string& label) { return "h/node/" + label; }
inline std::string job(const std::string& id) { return "h/job/" + id; }
inline std::string page(const core::PageKey& p) {
    return "h/run/" + p.first + "/" + std::to_string(p.second);
}
constexpr const char* kDraining = "h/draining";
inline std::string final(const std::string& id) { return "f/" + id; }
}  // namespace keys

class Replica {
  public:
    explicit Replica(Node& n) : n_(n), read_done_(n.loop) {}
    io::Task<void> run();
    // Read index: true once the copy holds all that was committed before the call.
    io::Task<bool> caught_up(io::Micros deadline);
    io::Task<bool> reach(core::Stamp revision, io::Micros deadline);
    // Takes a change, from the watch or from this node's own commit.
    void apply(const wire::StoreItem& item);

  private:
    io::Task<bool> load();
    Node& n_;
    io::Signal read_done_;
    bool reading_ = false;    // one is under way, or waits for its turn
    bool read_sent_ = false;  // it has been sent: it serves nobody who comes now
    std::uint64_t reads_ = 0;
    io::Micros last_read_{0};  // steady
    core::Stamp read_revision_ = 0;
    bool read_ok_ = false;
};

}  // namespace hatchwind::service
