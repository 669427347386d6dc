// Group commit: writes units in as few transactions as the store's limits allow, and acts on what is
// committed.
#pragma once

#include <span>
#include <vector>

#include "service/attempt_page_writer.hpp"
#include "service/node.hpp"
#include "service/order_dispatch.hpp"
#include "service/replica.hpp"
#include "service/write_unit.hpp"

namespace hatchwind::service {

class GroupCommit {
  public:
    GroupCommit(Node& node, Replica& replica, AttemptPageWriter& pages, OrderDispatch& dispatch)
        : node_(node), replica_(replica), pages_(pages), dispatch_(dispatch) {}

    // False when the pass must begin anew.
    io::Task<bool> write(std::vector<WriteUnit> units);
    // Erases a few pages that only speak of jobs that are over.
    io::Task<void> erase_unused_pages();

  private:
    // As many units from the front as go into one transaction.
    std::size_t fitting(std::span<const WriteUnit> units) const;
    wire::Transaction transaction(std::span<const WriteUnit> units) const;
    io::Task<bool> write_together(std::span<WriteUnit> units);
    void committed(WriteUnit& unit, core::Stamp revision, std::uint64_t epoch);
    bool unused(const core::AttemptPage& page) const;

    Node& node_;
    Replica& replica_;
    AttemptPageWriter& pages_;
    OrderDispatch& dispatch_;
};

}  // namespace hatchwind::service
