#include "store/replicated_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "io/loop.hpp"
#include "store/store_keys.hpp"
#include "wire/identifiers.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using core::Micros;

namespace {
std::optional<core::AttemptPageKey> parse_page_key(std::string_view key) {
    const std::string_view prefix = keys::kAttemptPagePrefix;
    const auto team_end = key.rfind('/');
    if (!key.starts_with(prefix) || team_end <= prefix.size()) return std::nullopt;
    const auto number =
        static_cast<std::uint32_t>(std::strtoul(std::string(key.substr(team_end + 1)).c_str(), nullptr, 10));
    if (number == 0) return std::nullopt;
    return core::AttemptPageKey{std::string(key.substr(prefix.size(), team_end - prefix.size())), number};
}

struct StoredPartKey {
    std::string job;
    std::string list;
    std::uint32_t number = 0;
};

std::optional<StoredPartKey> parse_dependency_part_key(std::string_view key) {
    // A part's key has the form of a task name: "job/list" followed by a number.
    const auto part = wire::parse_task_name(key.substr(keys::kDependencyListPrefix.size()));
    if (!part) return std::nullopt;
    const auto job_end = part->job.rfind('/');
    if (job_end == std::string::npos) return std::nullopt;
    return StoredPartKey{part->job.substr(0, job_end), part->job.substr(job_end + 1), part->index};
}

std::string without_prefix(std::string_view key, std::string_view prefix) {
    return std::string(key.substr(prefix.size()));
}
}  // namespace

void ReplicatedState::set_epoch(core::Epoch epoch, Micros monotonic_now) {
    epoch_ = std::move(epoch);
    epoch_seen_at_ = monotonic_now;
}

bool ReplicatedState::apply_epoch(const wire::StoreItem& item) {
    if (!item.value) return true;
    auto epoch = wire::parse_epoch_record(*item.value, item.mod_revision);
    if (!epoch) return false;
    if (epoch->mod_revision <= epoch_.mod_revision) return true;
    spdlog::info("event=epoch number={} leader={} members={} at={}", epoch->number, epoch->leader,
                 epoch->members.size(), item.mod_revision);
    set_epoch(std::move(*epoch), io::steady_now());
    return true;
}

bool ReplicatedState::apply_member(const std::string& label, const wire::StoreItem& item) {
    core::MemberRecord& record = member_records_[label];
    if (record.mod_revision < item.mod_revision) {
        record =
            item.value ? wire::parse_member_record(*item.value, item.mod_revision) : core::MemberRecord{};
    }
    if (record.mod_revision == 0) member_records_.erase(label);
    return true;
}

bool ReplicatedState::apply_job(const std::string& id, const wire::StoreItem& item) {
    if (!item.value) {
        job_table_.erase_job(id, item.mod_revision);
        return true;
    }
    auto job = wire::parse_job_record(id, *item.value);
    if (job) job_table_.put_job(std::move(*job), item.mod_revision);
    return job.has_value();
}

bool ReplicatedState::apply_page(const wire::StoreItem& item) {
    const auto page = parse_page_key(item.key);
    if (!page) return false;
    if (!item.value) {
        job_table_.erase_page(*page, item.mod_revision);
        return true;
    }
    auto chunks = wire::parse_page_record(*item.value);
    if (chunks) job_table_.put_page(*page, item.mod_revision, std::move(*chunks));
    return chunks.has_value();
}

bool ReplicatedState::apply_dependency_part(const wire::StoreItem& item) {
    const auto part = parse_dependency_part_key(item.key);
    if (!part) return false;
    if (!item.value) {
        job_table_.erase_dependency_part(part->job, part->list, part->number);
        return true;
    }
    auto ids = wire::parse_job_ids_record(*item.value);
    if (ids) job_table_.put_dependency_part(part->job, part->list, part->number, std::move(*ids));
    return ids.has_value();
}

bool ReplicatedState::apply_draining(const wire::StoreItem& item) {
    if (!item.value || item.mod_revision <= draining_mod_revision_) return true;
    auto names = wire::parse_names_record(*item.value);
    if (!names) return false;
    draining_ = std::move(*names);
    draining_mod_revision_ = item.mod_revision;
    return true;
}

bool ReplicatedState::apply_record(const wire::StoreItem& item) {
    const std::string_view key = item.key;
    if (key == keys::kEpoch) return apply_epoch(item);
    if (key == keys::kDraining) return apply_draining(item);
    if (key.starts_with(keys::kMemberPrefix))
        return apply_member(without_prefix(key, keys::kMemberPrefix), item);
    if (key.starts_with(keys::kJobPrefix)) return apply_job(without_prefix(key, keys::kJobPrefix), item);
    if (key.starts_with(keys::kAttemptPagePrefix)) return apply_page(item);
    if (key.starts_with(keys::kDependencyListPrefix)) return apply_dependency_part(item);
    return true;  // a key that a later version writes
}

void ReplicatedState::apply(const wire::StoreItem& item) {
    if (!apply_record(item)) {
        spdlog::error("event=unreadable_record key={} mod_revision={}", item.key, item.mod_revision);
    }
}

void ReplicatedState::load(const std::vector<wire::StoreItem>& items, core::Revision revision) {
    job_table_.clear();
    member_records_.clear();
    draining_.clear();
    draining_mod_revision_ = 0;
    for (const auto& item : items) apply(item);
    revision_ = revision;
    loaded_ = true;
    loaded_at_ = io::wall_now();
}

void ReplicatedState::advance_to(core::Revision revision) { revision_ = std::max(revision_, revision); }

core::Revision ReplicatedState::mod_revision_of(std::string_view key) const {
    if (key.starts_with(keys::kJobPrefix)) {
        const core::JobEntry* entry = job_table_.find(without_prefix(key, keys::kJobPrefix));
        return entry == nullptr ? 0 : entry->mod_revision;
    }
    const auto page = parse_page_key(key);
    const auto found = page ? job_table_.pages().find(*page) : job_table_.pages().end();
    return found == job_table_.pages().end() ? 0 : found->second.mod_revision;
}

std::vector<wire::CancellationNotice> ReplicatedState::cancellations_after(core::Revision revision) const {
    std::vector<wire::CancellationNotice> cancellations;
    for (const auto& [id, entry] : job_table_.jobs()) {
        if (!entry.job.cancelled || entry.cancellation_revision() <= revision) continue;
        cancellations.push_back({id, entry.cancellation_revision(), entry.job.cancelled_at.count()});
    }
    return cancellations;
}

bool ReplicatedState::apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations) {
    bool any_new = false;
    for (const auto& notice : cancellations) {
        // The replica already includes this cancellation, and possibly the job's end: a late notice must not
        // make an ended job reappear.
        if (notice.revision <= revision_) continue;
        const core::JobEntry* entry = job_table_.find(notice.job);
        if (entry == nullptr) continue;
        if (std::max(entry->mod_revision, entry->announced_cancellation) >= notice.revision) continue;
        spdlog::debug("event=cancellation_received job={} revision={}", notice.job, notice.revision);
        job_table_.put_cancel(notice.job, notice.revision, Micros{notice.cancelled_us});
        any_new = true;
    }
    return any_new;
}

}  // namespace hatchwind::controller
