/// This controller's replica of the store's records, as of one revision.
///
/// Replica is the only writer; all other components hold a const reference. The state may be stale but is
/// never wrong: it changes only by what the store has committed, in the store's order.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/epoch.hpp"
#include "core/job_table.hpp"
#include "wire/peer_protocol.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// Records that are not newer than the present ones are ignored. Parts of dependency lists never change.
class ReplicatedState {
  public:
    /// Jobs, their recorded attempts and the attempt pages.
    const core::JobTable& job_table() const { return job_table_; }
    /// The leader, the members and the owner of each shard.
    const core::Epoch& epoch() const { return epoch_; }
    /// Monotonic time at which this controller received the current epoch.
    core::Micros epoch_seen_at() const { return epoch_seen_at_; }
    /// Records written by the members themselves, by label; each is deleted when its store lease expires.
    const std::map<std::string, core::MemberRecord>& member_records() const { return member_records_; }
    /// Machines that are being drained, kept in a single record.
    const std::set<std::string>& draining() const { return draining_; }
    /// The mod revision of the record of draining machines; 0 if there is no such record.
    core::Revision draining_mod_revision() const { return draining_mod_revision_; }
    /// The store revision up to which all changes have been applied.
    core::Revision revision() const { return revision_; }
    /// Returns false until the first snapshot of the store has been loaded.
    bool is_loaded() const { return loaded_; }
    /// Wall-clock time at which the last snapshot of the store was loaded.
    core::Micros loaded_at() const { return loaded_at_; }
    /// Returns the mod revision of the record of a job or an attempt page; 0 if there is no such record.
    core::Revision mod_revision_of(std::string_view key) const;
    /// Returns the cancellations committed after `revision` of jobs that have not ended.
    std::vector<wire::CancellationNotice> cancellations_after(core::Revision revision) const;

    /// Applies one record or its deletion. A record that cannot be decoded is logged and skipped.
    void apply(const wire::StoreItem& item);
    /// Replaces the state by a snapshot read at `revision`, except that an older epoch is ignored.
    void load(const std::vector<wire::StoreItem>& items, core::Revision revision);
    /// Records that all changes up to `revision` have been applied.
    void advance_to(core::Revision revision);
    /// Replaces the epoch; `monotonic_now` is the time at which this controller received it.
    void set_epoch(core::Epoch epoch, core::Micros monotonic_now);
    /// Applies cancellations that a peer reports as committed after this state's revision. Returns true if at
    /// least one was new.
    bool apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations);

  private:
    bool apply_record(const wire::StoreItem& item);
    bool apply_epoch(const wire::StoreItem& item);
    bool apply_member(const std::string& label, const wire::StoreItem& item);
    bool apply_job(const std::string& id, const wire::StoreItem& item);
    bool apply_page(const wire::StoreItem& item);
    bool apply_dependency_part(const wire::StoreItem& item);
    bool apply_draining(const wire::StoreItem& item);

    core::JobTable job_table_;
    core::Epoch epoch_;
    core::Micros epoch_seen_at_{0};
    std::map<std::string, core::MemberRecord> member_records_;
    std::set<std::string> draining_;
    core::Revision draining_mod_revision_ = 0;
    core::Revision revision_ = 0;
    bool loaded_ = false;
    core::Micros loaded_at_{0};
};

}  // namespace hatchwind::controller
