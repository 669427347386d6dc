#include "cluster/leadership.hpp"

#include "io/loop.hpp"

namespace hatchwind::controller {

namespace {
std::vector<std::string> labels_of(const std::vector<Peer>& peers) {
    std::vector<std::string> labels;
    labels.reserve(peers.size());
    for (const auto& peer : peers) labels.push_back(peer.label);
    return labels;
}
}  // namespace

Leadership::Leadership(const Settings& settings, const ReplicatedState& replicated)
    : replicated_(replicated), self_{settings.label, 0}, lease_(labels_of(settings.peers)) {}

bool Leadership::holds_leadership() const {
    if (!replicated_.is_loaded() || !lease_.is_valid(io::steady_now())) return false;
    const core::Member* member = replicated_.epoch().member(self_.label);
    return member != nullptr && *member == self_;
}

bool Leadership::is_cluster_leader() const {
    return holds_leadership() && replicated_.epoch().leader == self_.label;
}

bool Leadership::owns_shard(const std::string& team) const {
    const auto& shard_owners = replicated_.epoch().shard_owners;
    const auto owner = shard_owners.find(team);
    return owner != shard_owners.end() && owner->second == self_.label;
}

void Leadership::join(std::uint64_t store_lease, core::Micros requested_at, core::Micros ttl) {
    self_.store_lease = store_lease;
    lease_.record_renewal(requested_at, ttl);
}

void Leadership::resign() {
    lease_.invalidate();
    self_.store_lease = 0;
}

}  // namespace hatchwind::controller
