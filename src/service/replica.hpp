// Keeps the node's copy of the store up to date by one watch, and answers whether the copy is new enough.
#pragma once

#include "service/final_states.hpp"
#include "service/node.hpp"

namespace hatchwind::service {

namespace keys {
constexpr const char* kRoot = "h/";
constexpr const char* kEpoch = "h/epoch";
inline std::string node(const std::string& label) { return "h/node/" + label; }
inline std::string job(const std::string& id) { return "h/job/" + id; }
inline std::string page(const core::AttemptPageKey& p) {
    return "h/run/" + p.first + "/" + std::to_string(p.second);
}
inline std::string await_part(const std::string& job, const std::string& list, std::uint32_t part) {
    return "h/awaits/" + job + "/" + list + "/" + std::to_string(part);
}
constexpr const char* kDraining = "h/draining";
inline std::string final(const std::string& id) { return "f/" + id; }
}  // namespace keys

class Replica {
  public:
    explicit Replica(Node& n);
    io::Task<void> run();
    // Read index: true once the copy holds all that was committed before the call.
    io::Task<bool> caught_up(io::Micros deadline);
    io::Task<bool> reach(core::Stamp revision, io::Micros deadline);
    // After a conflict: waits until the copy holds what the conflict was found in. If the copy then still
    // says what the store has refuted, it is wrong, and the store is read anew.
    io::Task<bool> reach_conflict(std::vector<std::pair<std::string, core::Stamp>> conditions,
                                  CommitResult conflict, io::Micros deadline);
    // Takes what this node has committed itself, before the watch brings it.
    void committed(const wire::StoreItem& item);
    // The same for all writes of one transaction.
    void committed(std::vector<wire::StoreItem>& items, core::Stamp revision);
    // False while the copy, read anew, may lack what this node has committed itself meanwhile.
    bool has_own_commits() const { return node_.revision >= own_at_load_; }
    // How jobs ended that this node has seen end.
    FinalStates& final_states() { return final_states_; }

  private:
    // Before the deletion of a job's record is applied. The watch brings all changes in order, and the end is
    // conditional on the record as it stood: so the copy's record, which is the last before the end, says how
    // the job ended.
    void note_end(const std::string& id, core::Stamp deleted);
    void apply(const wire::StoreItem& item);
    // One record, by its key. False when it can't be read.
    bool apply_record(const wire::StoreItem& item);
    bool apply_epoch(const wire::StoreItem& item);
    bool apply_node(const std::string& label, const wire::StoreItem& item);
    bool apply_job(const std::string& id, const wire::StoreItem& item);
    bool apply_page(const wire::StoreItem& item);
    bool apply_await_part(const wire::StoreItem& item);
    bool apply_draining(const wire::StoreItem& item);
    io::Task<bool> load();
    // 0: the copy has no such record.
    core::Stamp stamp_of(std::string_view key) const;
    Node& node_;
    FinalStates final_states_;
    core::Stamp latest_own_ = 0;   // latest commit of this node
    core::Stamp own_at_load_ = 0;  // as it was when the copy was last read anew
    io::Signal read_done_;
    bool reading_ = false;    // one is under way, or waits for its turn
    bool read_sent_ = false;  // it has been sent: it serves nobody who comes now
    std::uint64_t reads_ = 0;
    io::Micros last_read_{0};  // steady
    core::Stamp read_revision_ = 0;
    bool read_ok_ = false;
    bool loading_ = false;
    std::vector<wire::StoreItem> committed_while_loading_;  // by this node
    bool wrong_ = false;                                    // the copy, as a conflict has shown
    io::Micros found_wrong_{0};                             // steady
};

}  // namespace hatchwind::service
