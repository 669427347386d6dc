#include "store/replica.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "store/store_keys.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kMinReloadInterval{10'000'000};  // between reloads of a diverged replica
constexpr Micros kLoadRetryDelay{250'000};
constexpr Micros kWatchRetryDelay{150'000};
constexpr Micros kWatchTimeout{2'500'000};
constexpr Micros kReadIndexTimeout{900'000};
// Interval between read-index requests of all controllers at a request limit of one a second. Together they
// use at most a quarter of the store's request limit.
constexpr double kReadIndexSpacingMicros = 4e6;

// Returns a capacity that scales with memory. A dependency list may name some five thousand jobs, whose final
// states all have to be cached at the same time.
std::size_t final_state_capacity(double memory_mb) {
    constexpr double kBytesPerMegabyte = 1024 * 1024;
    constexpr double kMemoryFraction = 1.0 / 64;
    constexpr double kBytesPerEntry = 160;
    constexpr std::size_t kMinEntries = 4000;
    constexpr std::size_t kMaxEntries = 65'536;
    const double cache_bytes = memory_mb * kBytesPerMegabyte * kMemoryFraction;
    const auto entries = static_cast<std::size_t>(cache_bytes / kBytesPerEntry);
    return std::clamp(entries, kMinEntries, kMaxEntries);
}
}  // namespace

Replica::Replica(io::Loop& loop, const Settings& settings, const Tunables& tunables, StoreClient& store,
                 ReplicatedState& replicated, ChangeSignals& signals)
    : loop_(loop),
      settings_(settings),
      tunables_(tunables),
      store_(store),
      replicated_(replicated),
      signals_(signals),
      final_states_(final_state_capacity(settings.memory_mb)),
      read_requested_(loop),
      read_done_(loop) {}

void Replica::cache_final_state(const std::string& id, core::Revision deleted) {
    const core::JobEntry* entry = replicated_.job_table().find(id);
    if (entry == nullptr || entry->mod_revision >= deleted || diverged_) return;
    // A job that still waits for its dependencies can only end by cancellation.
    if (entry->job.cancelled || entry->job.waiting()) {
        final_states_.insert(id, {wire::JobStatus::cancelled, entry->done});
    } else {
        final_states_.insert(id, {wire::JobStatus::done, entry->job.tasks});
    }
}

void Replica::apply_own_commit(const wire::StoreItem& item) {
    // The response to a commit may arrive long after the watch has delivered the change and even its
    // deletion. A deleted record leaves no mod revision to compare with, so without this check the old record
    // would reappear in this replica only, and every transaction with a condition on it would fail.
    latest_own_commit_ = std::max(latest_own_commit_, item.mod_revision);
    if (item.mod_revision <= replicated_.revision()) return;
    replicated_.apply(item);
    if (loading_) committed_while_loading_.push_back(item);
}

void Replica::apply_own_commit(std::vector<wire::StoreItem>& items, core::Revision revision) {
    for (auto& item : items) {
        item.mod_revision = revision;
        apply_own_commit(item);
    }
}

void Replica::apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations) {
    if (replicated_.apply_cancellations(cancellations)) signals_.scheduling_needed.notify_all();
}

Task<std::optional<Replica::StoreSnapshot>> Replica::read_store() {
    StoreSnapshot snapshot;
    std::string after;
    while (true) {
        auto reading = store_.page(keys::kRoot, after);
        auto page = co_await std::move(reading);
        if (!page) co_return std::nullopt;
        // The watch starts at the first page's revision and delivers all later changes.
        if (snapshot.revision == 0) snapshot.revision = page->revision;
        std::move(page->items.begin(), page->items.end(), std::back_inserter(snapshot.items));
        if (!page->more || snapshot.items.empty()) co_return snapshot;
        after = snapshot.items.back().key;
    }
}

Task<bool> Replica::load() {
    // The previous state is served until the new one is complete: it may be stale but is never wrong, and
    // callers that need a later state wait for its revision.
    loading_ = true;
    committed_while_loading_.clear();
    auto reading = read_store();
    auto snapshot = co_await std::move(reading);
    loading_ = false;
    if (!snapshot) co_return false;
    const std::size_t keys_read = snapshot->items.size();
    // The pages may have been read before a cancellation that a peer has reported in the meantime.
    const auto reported_cancellations = replicated_.cancellations_after(snapshot->revision);
    // The pages may have been read before this controller's own latest commits. Without these, an attempt
    // whose end has been committed would count as open again and be started a second time
    // (ReplicaReload.AnAttemptThatEndsDuringTheReloadIsNotStartedAgain).
    std::move(committed_while_loading_.begin(), committed_while_loading_.end(),
              std::back_inserter(snapshot->items));
    committed_while_loading_.clear();
    replicated_.load(snapshot->items, snapshot->revision);
    apply_cancellations(reported_cancellations);
    own_commit_at_load_ = latest_own_commit_;
    signals_.replica_advanced.notify_all();
    spdlog::info("event=replica_loaded keys={} revision={}", keys_read, snapshot->revision);
    co_return true;
}

void Replica::apply_changes(const wire::StorePage& page) {
    for (const auto& item : page.items) {
        if (!item.value && item.key.starts_with(keys::kJobPrefix)) {
            cache_final_state(item.key.substr(keys::kJobPrefix.size()), item.mod_revision);
        }
        replicated_.apply(item);
    }
    replicated_.advance_to(page.revision);
    signals_.replica_advanced.notify_all();
    if (page.items.empty()) return;
    signals_.scheduling_needed.notify_all();
    signals_.scaling_needed.notify_all();
}

Task<void> Replica::run() {
    bool loaded = false;
    while (true) {
        if (std::exchange(diverged_, false)) loaded = false;
        if (!loaded) {
            auto loading = load();
            loaded = co_await std::move(loading);
            if (!loaded) {
                co_await loop_.sleep(kLoadRetryDelay);
                continue;
            }
        }
        const Micros opened_at = steady_now();
        auto watching = store_.watch(keys::kRoot, replicated_.revision(), kWatchTimeout);
        const WatchResult changes = co_await std::move(watching);
        if (changes.compacted) {
            spdlog::info("event=watch_compacted revision={}", replicated_.revision());
            loaded = false;
            continue;
        }
        if (!changes.answered) {
            co_await loop_.sleep(kWatchRetryDelay);
            continue;
        }
        apply_changes(changes.page);
        if (changes.page.items.empty()) continue;
        // Each watch counts as a request: a minimum interval batches changes that follow each other closely.
        const Micros next_watch = opened_at + tunables_.watch_gap;
        if (next_watch > steady_now()) co_await read_requested_.wait(next_watch);
    }
}

Task<bool> Replica::wait_for_revision(core::Revision revision, Micros deadline) {
    while (replicated_.revision() < revision || !replicated_.is_loaded()) {
        if (steady_now() >= deadline) co_return false;
        read_requested_.notify_all();
        co_await signals_.replica_advanced.wait(deadline);
    }
    co_return true;
}

bool Replica::has_rejected_revision(const std::string& key,
                                    const std::vector<wire::Condition>& conditions) const {
    const auto condition = std::find_if(conditions.begin(), conditions.end(),
                                        [&](const auto& candidate) { return candidate.key == key; });
    if (condition == conditions.end()) return false;
    const bool is_page = key.starts_with(keys::kAttemptPagePrefix);
    // Absence (mod revision 0) of a job proves nothing: the job may have been created and deleted since the
    // conflict. Any other mod revision is never used twice.
    if (condition->mod_revision == 0 && !is_page) return false;
    if (!is_page && !key.starts_with(keys::kJobPrefix)) return false;
    return replicated_.mod_revision_of(key) == condition->mod_revision;
}

Task<bool> Replica::wait_for_conflict(std::vector<wire::Condition> conditions, CommitResult conflict,
                                      Micros deadline) {
    auto reaching = wait_for_revision(conflict.revision, deadline);
    const bool reached = co_await std::move(reaching);
    if (!reached) co_return false;
    for (const auto& key : conflict.failed) {
        if (!has_rejected_revision(key, conditions) || steady_now() - diverged_at_ < kMinReloadInterval)
            continue;
        // Without a reload, every group commit with a condition on this record fails: in one run, two teams
        // were blocked for minutes.
        spdlog::warn("event=replica_diverged key={} mod_revision={} revision={}", key,
                     replicated_.mod_revision_of(key), conflict.revision);
        diverged_at_ = steady_now();
        diverged_ = true;
    }
    co_return true;
}

Task<void> Replica::read_revision(Micros deadline) {
    reading_ = true;
    // Reads count against the request budget: concurrent callers share one, with a minimum interval between
    // reads.
    const auto controllers = static_cast<double>(settings_.peers.size() + 1);
    const auto spacing_micros =
        static_cast<std::int64_t>(controllers * kReadIndexSpacingMicros / settings_.state_rps);
    const Micros next_read = last_read_at_ + Micros{spacing_micros};
    if (next_read > steady_now()) co_await loop_.sleep(next_read - steady_now());
    last_read_at_ = steady_now();
    read_sent_ = true;
    auto reading = store_.get(keys::kReadIndex, std::min(deadline, steady_now() + kReadIndexTimeout));
    const GetResult result = co_await std::move(reading);
    reading_ = false;
    read_sent_ = false;
    ++completed_reads_;
    read_ok_ = result.answered && !result.value;
    if (read_ok_) read_revision_ = std::max(read_revision_, result.revision);
    read_done_.notify_all();
}

Task<bool> Replica::wait_for_read_index(Micros deadline) {
    // One read serves all callers that arrived before it was sent; later callers need the next read.
    const std::uint64_t required_reads = completed_reads_ + (read_sent_ ? 2 : 1);
    while (completed_reads_ < required_reads) {
        if (steady_now() >= deadline) co_return false;
        if (reading_) {
            co_await read_done_.wait(deadline);
            continue;
        }
        auto reading = read_revision(deadline);
        co_await std::move(reading);
    }
    if (!read_ok_) co_return false;
    auto reaching = wait_for_revision(read_revision_, deadline);
    const bool reached = co_await std::move(reaching);
    co_return reached;
}

}  // namespace hatchwind::controller
