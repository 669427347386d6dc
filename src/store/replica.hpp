// Keeps the node's copy of the store up to date by one watch, and answers whether the replica is new enough.
#pragma once

#include "cluster/node.hpp"
#include "store/final_state_cache.hpp"

namespace hatchwind::controller {

namespace keys {
constexpr const char* kRoot = "h/";
constexpr const char* kEpoch = "h/epoch";
inline std::string member(const std::string& label) { return "h/node/" + label; }
inline std::string job(const std::string& id) { return "h/job/" + id; }
inline std::string page(const core::AttemptPageKey& p) {
    return "h/run/" + p.first + "/" + std::to_string(p.second);
}
inline std::string dependency_part(const std::string& job, const std::string& list, std::uint32_t part) {
    return "h/awaits/" + job + "/" + list + "/" + std::to_string(part);
}
constexpr const char* kDraining = "h/draining";
inline std::string final(const std::string& id) { return "f/" + id; }
}  // namespace keys

class Replica {
  public:
    explicit Replica(Node& n);
    io::Task<void> run();
    // Read index: true once the replica holds all that was committed before the call.
    io::Task<bool> wait_for_read_index(io::Micros deadline);
    io::Task<bool> wait_for_revision(core::Revision revision, io::Micros deadline);
    // After a conflict: waits until the replica holds what the conflict was found in. If the replica then
    // still says what the store has refuted, it is wrong, and the store is read anew.
    io::Task<bool> wait_for_conflict(std::vector<std::pair<std::string, core::Revision>> conditions,
                                     CommitResult conflict, io::Micros deadline);
    // Takes what this node has committed itself, before the watch brings it.
    void committed(const wire::StoreItem& item);
    // The same for all writes of one transaction.
    void committed(std::vector<wire::StoreItem>& items, core::Revision revision);
    // False while the replica, read anew, may lack what this node has committed itself meanwhile.
    bool has_own_commits() const { return node_.revision >= own_commit_at_load_; }
    // How jobs ended that this node has seen end.
    FinalStateCache& final_states() { return final_states_; }

  private:
    // Before the deletion of a job's record is applied. The watch brings all changes in order, and the end is
    // conditional on the record as it stood: so the replica's record, which is the last before the end, says
    // how the job ended.
    void record_end(const std::string& id, core::Revision deleted);
    void apply(const wire::StoreItem& item);
    // One record, by its key. False when it can't be read.
    bool apply_record(const wire::StoreItem& item);
    bool apply_epoch(const wire::StoreItem& item);
    bool apply_member(const std::string& label, const wire::StoreItem& item);
    bool apply_job(const std::string& id, const wire::StoreItem& item);
    bool apply_page(const wire::StoreItem& item);
    bool apply_dependency_part(const wire::StoreItem& item);
    bool apply_draining(const wire::StoreItem& item);
    io::Task<bool> load();
    // 0: the replica has no such record.
    core::Revision mod_revision_of(std::string_view key) const;
    Node& node_;
    FinalStateCache final_states_;
    core::Revision latest_own_commit_ = 0;   // latest commit of this node
    core::Revision own_commit_at_load_ = 0;  // as it was when the replica was last read anew
    io::Signal read_done_;
    bool reading_ = false;    // one is under way, or waits for its turn
    bool read_sent_ = false;  // it has been sent: it serves nobody who comes now
    std::uint64_t reads_ = 0;
    io::Micros last_read_{0};  // steady
    core::Revision read_revision_ = 0;
    bool read_ok_ = false;
    bool loading_ = false;
    std::vector<wire::StoreItem> committed_while_loading_;  // by this node
    bool diverged_ = false;                                 // the replica, as a conflict has shown
    io::Micros diverged_at_{0};                             // steady
};

}  // namespace hatchwind::controller
