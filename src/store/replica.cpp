#include "store/replica.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::string_view kJob = "h/job/";
constexpr std::string_view kRun = "h/run/";
constexpr std::string_view kNode = "h/node/";
constexpr std::string_view kDependencyLists = "h/awaits/";
constexpr Micros kReloadInterval{10'000'000};  // the whole store, at most so often for a copy that is wrong

std::optional<core::AttemptPageKey> page_key(std::string_view key) {
    const auto team_end = key.rfind('/');
    if (!key.starts_with(kRun) || team_end <= kRun.size()) return std::nullopt;
    const auto number =
        static_cast<std::uint32_t>(std::strtoul(std::string(key.substr(team_end + 1)).c_str(), nullptr, 10));
    if (number == 0) return std::nullopt;
    return core::AttemptPageKey{std::string(key.substr(kRun.size(), team_end - kRun.size())), number};
}

// A list of needs may name some five thousand jobs, and all of their endings have to be known at a time.
std::size_t final_states_kept(double memory_mb) {
    constexpr double kPartOfMemory = 1.0 / 64;
    constexpr double kBytesOfOne = 160;
    constexpr std::size_t kLeast = 4000;
    constexpr std::size_t kMost = 65'536;
    const auto affordable = static_cast<std::size_t>(memory_mb * 1024 * 1024 * kPartOfMemory / kBytesOfOne);
    return std::clamp(affordable, kLeast, kMost);
}

struct DependencyPartKey {
    std::string job;
    std::string list;
    std::uint32_t number = 0;
};
std::optional<DependencyPartKey> dependency_part_key(std::string_view key) {
    const auto number = wire::parse_task_name(key.substr(kDependencyLists.size()));
    if (!number) return std::nullopt;
    const auto list_start = number->first.rfind('/');
    if (list_start == std::string::npos) return std::nullopt;
    return DependencyPartKey{number->first.substr(0, list_start), number->first.substr(list_start + 1),
                             number->second};
}
}  // namespace

Replica::Replica(Node& n)
    : node_(n), final_states_(final_states_kept(n.settings.memory_mb)), read_done_(n.loop) {}

bool Replica::apply_epoch(const wire::StoreItem& item) {
    if (!item.value) return true;
    auto epoch = wire::parse_epoch_record(*item.value, item.mod_revision);
    if (!epoch) return false;
    if (epoch->mod_revision <= node_.epoch.mod_revision) return true;
    spdlog::info("event=epoch number={} leader={} members={} at={}", epoch->number, epoch->leader,
                 epoch->members.size(), item.mod_revision);
    node_.epoch = std::move(*epoch);
    node_.epoch_seen = steady_now();
    return true;
}

bool Replica::apply_member(const std::string& label, const wire::StoreItem& item) {
    core::MemberRecord& record = node_.member_records[label];
    if (record.mod_revision < item.mod_revision) {
        record.mod_revision = item.value ? item.mod_revision : 0;
        record.store_lease = item.value ? wire::whole(*item.value, "grant").value_or(0) : 0;
        record.capabilities = item.value ? wire::whole(*item.value, "capabilities").value_or(0) : 0;
    }
    if (record.mod_revision == 0) node_.member_records.erase(label);
    return true;
}

bool Replica::apply_job(const std::string& id, const wire::StoreItem& item) {
    if (!item.value) {
        node_.job_table.erase_job(id, item.mod_revision);
        return true;
    }
    auto job = wire::parse_job_record(id, *item.value);
    if (job) node_.job_table.put_job(std::move(*job), item.mod_revision);
    return job.has_value();
}

bool Replica::apply_page(const wire::StoreItem& item) {
    const auto page = page_key(item.key);
    if (!page) return false;
    if (!item.value) {
        node_.job_table.erase_page(*page, item.mod_revision);
        return true;
    }
    auto chunks = wire::parse_page_record(*item.value);
    if (chunks) node_.job_table.put_page(*page, item.mod_revision, std::move(*chunks));
    return chunks.has_value();
}

bool Replica::apply_dependency_part(const wire::StoreItem& item) {
    const auto part = dependency_part_key(item.key);
    if (!part) return false;
    if (!item.value) {
        node_.job_table.erase_dependency_part(part->job, part->list, part->number);
        return true;
    }
    auto ids = wire::parse_job_ids_record(*item.value);
    if (ids) node_.job_table.put_dependency_part(part->job, part->list, part->number, std::move(*ids));
    return ids.has_value();
}

bool Replica::apply_draining(const wire::StoreItem& item) {
    if (!item.value || item.mod_revision <= node_.draining_mod_revision) return true;
    auto names = wire::parse_names_record(*item.value);
    if (!names) return false;
    node_.draining = std::move(*names);
    node_.draining_mod_revision = item.mod_revision;
    return true;
}

bool Replica::apply_record(const wire::StoreItem& item) {
    const std::string_view key = item.key;
    if (key == keys::kEpoch) return apply_epoch(item);
    if (key == keys::kDraining) return apply_draining(item);
    if (key.starts_with(kNode)) return apply_member(std::string(key.substr(kNode.size())), item);
    if (key.starts_with(kJob)) return apply_job(std::string(key.substr(kJob.size())), item);
    if (key.starts_with(kRun)) return apply_page(item);
    if (key.starts_with(kDependencyLists)) return apply_dependency_part(item);
    return true;  // of a later version
}

void Replica::apply(const wire::StoreItem& item) {
    if (!apply_record(item))
        spdlog::error("event=unreadable_record key={} mod_revision={}", item.key, item.mod_revision);
}

void Replica::record_end(const std::string& id, core::Revision deleted) {
    const core::JobEntry* entry = node_.job_table.find(id);
    if (entry == nullptr || entry->mod_revision >= deleted || diverged_) return;
    // A job that waits for others can only end by a cancellation.
    if (entry->job.cancelled || entry->job.waiting()) {
        final_states_.insert(id, {wire::JobStatus::cancelled, entry->done});
    } else {
        final_states_.insert(id, {wire::JobStatus::done, entry->job.tasks});
    }
}

void Replica::committed(const wire::StoreItem& item) {
    // The answer to a commit may come long after the watch has brought the change, and its deletion too. A
    // deletion leaves no mod revision that would keep the old record out: it would stay in this copy alone,
    // and every transaction that names it would fail.
    latest_own_commit_ = std::max(latest_own_commit_, item.mod_revision);
    if (item.mod_revision <= node_.revision) return;
    apply(item);
    if (loading_) committed_while_loading_.push_back(item);
}

void Replica::committed(std::vector<wire::StoreItem>& items, core::Revision revision) {
    for (auto& item : items) {
        item.mod_revision = revision;
        committed(item);
    }
}

Task<bool> Replica::load() {
    // Until it is whole the old copy serves: it is old, never wrong, and whoever needs more waits for its
    // revision.
    std::vector<wire::StoreItem> all;
    std::string after;
    core::Revision first = 0;
    loading_ = true;
    committed_while_loading_.clear();
    while (true) {
        auto task = node_.state.page(keys::kRoot, after);
        auto page = co_await std::move(task);
        if (!page) {
            loading_ = false;
            co_return false;
        }
        // Changes after the first page's revision come again by the watch.
        if (first == 0) first = page->revision;
        for (auto& i : page->items) all.push_back(std::move(i));
        if (!page->more || all.empty()) break;
        after = all.back().key;
    }
    // The pages may have been read before a cancellation that a peer has told since.
    const std::vector<wire::CancellationNotice> told = node_.cancellations_after(first);
    node_.job_table.clear();
    node_.member_records.clear();
    node_.draining.clear();
    node_.draining_mod_revision = 0;
    for (const auto& i : all) apply(i);
    // The pages may have been read before this node's own latest commits: an attempt whose end it has
    // recorded and had acknowledged would count as open again, and be started a second time
    // (StoreMeetings.AnAttemptThatEndsWhileTheReplicaIsReadAnewIsNotStartedAgain).
    for (const auto& i : committed_while_loading_) apply(i);
    committed_while_loading_.clear();
    loading_ = false;
    node_.revision = first;
    node_.apply_cancellations(told);
    own_commit_at_load_ = latest_own_commit_;
    node_.replica_loaded = true;
    node_.replica_loaded_at = io::wall_now();
    node_.replica_advanced.notify_all();
    spdlog::info("event=replica_loaded keys={} revision={}", all.size(), first);
    co_return true;
}

Task<void> Replica::run() {
    bool loaded = false;
    while (true) {
        if (std::exchange(diverged_, false)) loaded = false;
        if (!loaded) {
            auto task = load();
            loaded = co_await std::move(task);
            if (!loaded) {
                co_await node_.loop.sleep(Micros{250'000});
                continue;
            }
        }
        const Micros opened = steady_now();
        auto task = node_.state.watch(keys::kRoot, node_.revision, Micros{2'500'000});
        const WatchResult w = co_await std::move(task);
        if (w.too_old) {
            spdlog::info("event=watch_compacted revision={}", node_.revision);
            loaded = false;
            continue;
        }
        if (!w.ok) {
            co_await node_.loop.sleep(Micros{150'000});
            continue;
        }
        for (const auto& i : w.page.items) {
            if (!i.value && i.key.starts_with(kJob)) record_end(i.key.substr(kJob.size()), i.mod_revision);
            apply(i);
        }
        node_.revision = std::max(node_.revision, w.page.revision);
        node_.replica_advanced.notify_all();
        if (!w.page.items.empty()) {
            node_.scheduling_needed.notify_all();
            node_.scaling_needed.notify_all();
            // Opened watches count as requests: changes that come close together share one.
            const Micros next = opened + node_.tunables.watch_gap;
            if (next > steady_now()) co_await node_.replica_read_requested.wait(next);
        }
    }
}

Task<bool> Replica::wait_for_revision(core::Revision revision, Micros deadline) {
    while (node_.revision < revision || !node_.replica_loaded) {
        if (steady_now() >= deadline) co_return false;
        node_.replica_read_requested.notify_all();
        co_await node_.replica_advanced.wait(deadline);
    }
    co_return true;
}

core::Revision Replica::mod_revision_of(std::string_view key) const {
    if (key.starts_with(kJob)) {
        const core::JobEntry* e = node_.job_table.find(std::string(key.substr(kJob.size())));
        return e == nullptr ? 0 : e->mod_revision;
    }
    const auto page = page_key(key);
    const auto known = page ? node_.job_table.pages().find(*page) : node_.job_table.pages().end();
    return known == node_.job_table.pages().end() ? 0 : known->second.mod_revision;
}

Task<bool> Replica::wait_for_conflict(std::vector<std::pair<std::string, core::Revision>> conditions,
                                      CommitResult conflict, Micros deadline) {
    auto task = wait_for_revision(conflict.revision, deadline);
    const bool reached = co_await std::move(task);
    if (!reached) co_return false;
    for (const auto& key : conflict.failed) {
        const auto c = std::find_if(conditions.begin(), conditions.end(),
                                    [&](const auto& condition) { return condition.first == key; });
        // A job may come and go between the conflict and now; any other mod revision is never used twice.
        if (c == conditions.end() || (c->second == 0 && !key.starts_with(kRun))) continue;
        if (!key.starts_with(kRun) && !key.starts_with(kJob)) continue;
        if (mod_revision_of(key) != c->second || steady_now() - diverged_at_ < kReloadInterval) continue;
        // One such record made every group commit fail that named it: two teams stood still for minutes.
        spdlog::warn("event=replica_diverged key={} mod_revision={} revision={}", key, c->second,
                     conflict.revision);
        diverged_at_ = steady_now();
        diverged_ = true;
    }
    co_return true;
}

Task<bool> Replica::wait_for_read_index(Micros deadline) {
    // One read in flight serves all that wait; whoever comes while it is under way needs the next one.
    const std::uint64_t wanted = reads_ + (read_sent_ ? 2 : 1);
    while (reads_ < wanted) {
        if (steady_now() >= deadline) co_return false;
        if (reading_) {
            co_await read_done_.wait(deadline);
            continue;
        }
        reading_ = true;
        // Reads count against the request budget: polls that come close together share one.
        const auto member_records = static_cast<double>(node_.peers.size() + 1);
        const Micros next =
            last_read_ + Micros{static_cast<std::int64_t>(member_records * 4e6 / node_.settings.state_rps)};
        if (next > steady_now()) co_await node_.loop.sleep(next - steady_now());
        last_read_ = steady_now();
        read_sent_ = true;
        auto task = node_.state.get("h/~", std::min(deadline, steady_now() + Micros{900'000}));
        const GetResult r = co_await std::move(task);
        reading_ = read_sent_ = false;
        ++reads_;
        read_ok_ = r.ok && !r.value;
        if (read_ok_) read_revision_ = std::max(read_revision_, r.revision);
        read_done_.notify_all();
    }
    if (!read_ok_) co_return false;
    auto task = wait_for_revision(read_revision_, deadline);
    const bool ok = co_await std::move(task);
    co_return ok;
}

}  // namespace hatchwind::controller
