/// This controller's share of the store's write limit.
#pragma once

#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"

namespace hatchwind::controller {

/// The limit holds for all controllers together, and goes to those that have something to write: with fewer
/// teams than controllers, equal shares leave most of it unused. In proportion to what each wants, though,
/// one whose tasks end by the dozen left others so little that each pass of theirs waited two seconds for its
/// writes.
class WriteShare {
  public:
    WriteShare(const ReplicatedState& replicated, const Leadership& leadership, const PeerDirectory& peers,
               StoreClient& store)
        : replicated_(replicated), leadership_(leadership), peers_(peers), store_(store) {}

    /// Sets the store client's budgets by what the members demand now.
    void update();

  private:
    /// Earlier versions share in proportion to demand, and all shares must add up to the limit.
    bool everyone_shares_fairly() const;
    /// Writes a second that the members want, this controller's first.
    std::vector<double> demands() const;

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const PeerDirectory& peers_;
    StoreClient& store_;
};

/// Heartbeats tell demand in tenths of a write a second.
constexpr double kDemandUnitsPerWrite = 10;

}  // namespace hatchwind::controller
