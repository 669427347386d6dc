// The store's record of the machines that are being drained.
#pragma once

#include <set>
#include <string>

#include "cluster/node.hpp"
#include "store/replica.hpp"

namespace hatchwind::controller {

class CordonRecord {
  public:
    CordonRecord(Node& node, Replica& replica) : node_(node), replica_(replica) {}

    // Replaces all marks; true once that is committed.
    io::Task<bool> write(std::set<std::string> machines);

  private:
    // Drops marks that one value cannot hold.
    void fit_value_limit(std::set<std::string>& machines) const;
    Node& node_;
    Replica& replica_;
};

}  // namespace hatchwind::controller
