// The node's grant, its node lease and the epochs; promises to and from the other nodes.
#pragma once

#include "service/node.hpp"
#include "service/replica.hpp"

namespace hatchwind::service {

class Membership {
  public:
    Membership(Node& n, Replica& r) : node_(n), replica_(r), started_(io::steady_now()) {}
    io::Task<void> keep_grant();
    io::Task<void> keep_epoch();

    // Promises, by way of the mesh.
    std::function<void(const wire::MeshAsk&)> ask_all;
    bool may_promise() const;
    void promised_to(const std::string& label, io::Micros until) { promised_[label] = until; }
    void promise_received(const std::string& from, const wire::MeshPromise& p);

  private:
    io::Task<void> write_epoch(core::EpochPlan plan);
    Node& node_;
    Replica& replica_;
    const io::Micros started_;
    std::map<std::string, io::Micros> promised_;  // label -> steady
    // The stamp on which an epoch write of ours was conditional that got no answer: until the epoch has moved
    // on it may still be carried out, so no promise may be given.
    std::optional<core::Stamp> unresolved_;
    bool writing_ = false;
    core::Stamp key_stamp_ = 0;  // of this life's own key
    // Begins at the time of day: a late promise to an earlier life of this node must not count for this one.
    std::uint64_t ask_number_ = static_cast<std::uint64_t>(io::wall_now().count());
    std::map<std::uint64_t, io::Micros> asked_;
    io::Micros vacant_since_{0};
};

}  // namespace hatchwind::service
