// The node's store lease, its leadership lease and the epochs; extension votes to and from the other nodes.
#pragma once

#include "cluster/node.hpp"
#include "store/replica.hpp"

namespace hatchwind::controller {

class Membership {
  public:
    Membership(Node& n, Replica& r) : node_(n), replica_(r), started_(io::steady_now()) {}
    io::Task<void> keep_store_lease();
    io::Task<void> keep_epoch();

    // Promises, by way of the mesh.
    std::function<void(const wire::LeaseExtensionRequest&)> broadcast_lease_extension_request;
    bool may_vote_for_extension() const;
    void record_vote_given(const std::string& label, io::Micros until) { protected_until_[label] = until; }
    void handle_lease_extension_vote(const std::string& from, const wire::LeaseExtensionVote& p);

  private:
    io::Task<void> write_epoch(core::EpochPlan plan);
    Node& node_;
    Replica& replica_;
    const io::Micros started_;
    std::map<std::string, io::Micros> protected_until_;  // label -> steady
    // The mod revision on which an epoch write of ours was conditional that got no answer: until the epoch
    // has moved on it may still be carried out, so no extension vote may be given.
    std::optional<core::Revision> unresolved_;
    bool writing_ = false;
    core::Revision key_mod_revision_ = 0;  // of this life's own key
    // Begins at the time of day: a late extension vote to an earlier life of this node must not count for
    // this one.
    std::uint64_t extension_request_number_ = static_cast<std::uint64_t>(io::wall_now().count());
    std::map<std::uint64_t, io::Micros> extension_requests_;
    io::Micros vacant_since_{0};
};

}  // namespace hatchwind::controller
