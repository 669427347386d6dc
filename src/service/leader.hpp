// The leader's duty: the cloud. These are the loops; the list of rentals, renting, drains and giving back are
// modules of their own.
#pragma once

#include <string>
#include <vector>

#include "service/cloud_client.hpp"
#include "service/drain_marks.hpp"
#include "service/draining.hpp"
#include "service/give_back.hpp"
#include "service/node.hpp"
#include "service/rental_list.hpp"
#include "service/renting.hpp"
#include "service/replica.hpp"

namespace hatchwind::service {

class Leader {
  public:
    Leader(Node& node, Replica& replica)
        : node_(node),
          cloud_(node),
          rentals_(node, cloud_),
          renting_(node, cloud_, rentals_),
          marks_(node, replica),
          draining_(node, marks_),
          give_back_(node, rentals_, marks_) {}
    // Every node needs the machine types, for submissions too.
    io::Task<void> keep_catalog();
    io::Task<void> keep_list();
    io::Task<void> rent();
    io::Task<void> drain();
    io::Task<void> give_back();
    // Gives machines back to the cloud; true once it has confirmed that they are gone. Any node may call it.
    io::Task<bool> release(std::vector<std::string> machines);

  private:
    io::Task<void> read_catalog();
    // Returns how many machines the cloud listed.
    io::Task<std::size_t> read_list();
    std::vector<std::string> vanished_machines() const;
    io::Task<void> release_in_batches(std::vector<std::string> machines);
    void start_term();
    void note_epoch();

    Node& node_;
    CloudClient cloud_;
    RentalList rentals_;
    Renting renting_;
    DrainMarks marks_;
    Draining draining_;
    GiveBack give_back_;
    std::uint64_t epoch_ = 0;   // that this node last led in
    io::Micros term_began_{0};  // steady: since when it leads, over epochs that follow one another
    bool list_fresh_ = false;   // the cloud's list was read in this term
};

}  // namespace hatchwind::service
