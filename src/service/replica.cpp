#include "service/replica.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hatchwind::service {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::string_view kJob = "h/job/";
constexpr std::string_view kRun = "h/run/";
constexpr std::string_view kNode = "h/node/";
constexpr std::string_view kAwaits = "h/awaits/";
constexpr Micros kReadAnew{10'000'000};  // the whole store, at most so often for a copy that is wrong

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

struct AwaitPartKey {
    std::string job;
    std::string list;
    std::uint32_t number = 0;
};
std::optional<AwaitPartKey> await_part_key(std::string_view key) {
    const auto number = wire::parse_task_name(key.substr(kAwaits.size()));
    if (!number) return std::nullopt;
    const auto list_start = number->first.rfind('/');
    if (list_start == std::string::npos) return std::nullopt;
    return AwaitPartKey{number->first.substr(0, list_start), number->first.substr(list_start + 1),
                        number->second};
}
}  // namespace

Replica::Replica(Node& n)
    : node_(n), final_states_(final_states_kept(n.settings.memory_mb)), read_done_(n.loop) {}

bool Replica::apply_epoch(const wire::StoreItem& item) {
    if (!item.value) return true;
    auto epoch = wire::parse_epoch_record(*item.value, item.stamp);
    if (!epoch) return false;
    if (epoch->stamp <= node_.epoch.stamp) return true;
    spdlog::info("event=epoch number={} leader={} members={} at={}", epoch->number, epoch->leader,
                 epoch->members.size(), item.stamp);
    node_.epoch = std::move(*epoch);
    node_.epoch_seen = steady_now();
    return true;
}

bool Replica::apply_node(const std::string& label, const wire::StoreItem& item) {
    core::NodeRecord& record = node_.nodes[label];
    if (record.stamp < item.stamp) {
        record.stamp = item.value ? item.stamp : 0;
        record.grant = item.value ? wire::whole(*item.value, "grant").value_or(0) : 0;
        record.capabilities = item.value ? wire::whole(*item.value, "capabilities").value_or(0) : 0;
    }
    if (record.stamp == 0) node_.nodes.erase(label);
    return true;
}

bool Replica::apply_job(const std::string& id, const wire::StoreItem& item) {
    if (!item.value) {
        node_.ledger.erase_job(id, item.stamp);
        return true;
    }
    auto job = wire::parse_job_record(id, *item.value);
    if (job) node_.ledger.put_job(std::move(*job), item.stamp);
    return job.has_value();
}

bool Replica::apply_page(const wire::StoreItem& item) {
    const auto page = page_key(item.key);
    if (!page) return false;
    if (!item.value) {
        node_.ledger.erase_page(*page, item.stamp);
        return true;
    }
    auto chunks = wire::parse_page_record(*item.value);
    if (chunks) node_.ledger.put_page(*page, item.stamp, std::move(*chunks));
    return chunks.has_value();
}

bool Replica::apply_await_part(const wire::StoreItem& item) {
    const auto part = await_part_key(item.key);
    if (!part) return false;
    if (!item.value) {
        node_.ledger.erase_await_part(part->job, part->list, part->number);
        return true;
    }
    auto ids = wire::parse_job_ids_record(*item.value);
    if (ids) node_.ledger.put_await_part(part->job, part->list, part->number, std::move(*ids));
    return ids.has_value();
}

bool Replica::apply_draining(const wire::StoreItem& item) {
    if (!item.value || item.stamp <= node_.draining_stamp) return true;
    auto names = wire::parse_names_record(*item.value);
    if (!names) return false;
    node_.draining = std::move(*names);
    node_.draining_stamp = item.stamp;
    return true;
}

bool Replica::apply_record(const wire::StoreItem& item) {
    const std::string_view key = item.key;
    if (key == keys::kEpoch) return apply_epoch(item);
    if (key == keys::kDraining) return apply_draining(item);
    if (key.starts_with(kNode)) return apply_node(std::string(key.substr(kNode.size())), item);
    if (key.starts_with(kJob)) return apply_job(std::string(key.substr(kJob.size())), item);
    if (key.starts_with(kRun)) return apply_page(item);
    if (key.starts_with(kAwaits)) return apply_await_part(item);
    return true;  // of a later version
}

void Replica::apply(const wire::StoreItem& item) {
    if (!apply_record(item)) spdlog::error("event=bad_record key={} stamp={}", item.key, item.stamp);
}

void Replica::note_end(const std::string& id, core::Stamp deleted) {
    const core::JobEntry* entry = node_.ledger.find(id);
    if (entry == nullptr || entry->stamp >= deleted || wrong_) return;
    // A job that waits for others can only end by a cancellation.
    if (entry->job.cancelled || entry->job.waiting()) {
        final_states_.insert(id, {wire::JobStatus::cancelled, entry->done});
    } else {
        final_states_.insert(id, {wire::JobStatus::done, entry->job.tasks});
    }
}

void Replica::committed(const wire::StoreItem& item) {
    // The answer to a commit may come long after the watch has brought the change, and its deletion too. A
    // deletion leaves no stamp that would keep the old record out: it would stay in this copy alone, and
    // every transaction that names it would fail.
    latest_own_ = std::max(latest_own_, item.stamp);
    if (item.stamp <= node_.revision) return;
    apply(item);
    if (loading_) committed_while_loading_.push_back(item);
}

void Replica::committed(std::vector<wire::StoreItem>& items, core::Stamp revision) {
    for (auto& item : items) {
        item.stamp = revision;
        committed(item);
    }
}

Task<bool> Replica::load() {
    // Until it is whole the old copy serves: it is old, never wrong, and whoever needs more waits for its
    // revision.
    std::vector<wire::StoreItem> all;
    std::string after;
    core::Stamp first = 0;
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
    const std::vector<wire::CancelNotice> told = node_.cancels_after(first);
    node_.ledger.clear();
    node_.nodes.clear();
    node_.draining.clear();
    node_.draining_stamp = 0;
    for (const auto& i : all) apply(i);
    // The pages may have been read before this node's own latest commits: an attempt whose end it has
    // recorded and had reaped would count as open again, and be started a second time
    // (StoreMeetings.AnAttemptThatEndsWhileTheReplicaIsReadAnewIsNotStartedAgain).
    for (const auto& i : committed_while_loading_) apply(i);
    committed_while_loading_.clear();
    loading_ = false;
    node_.revision = first;
    node_.take_cancels(told);
    own_at_load_ = latest_own_;
    node_.synced = true;
    node_.synced_wall = io::wall_now();
    node_.advanced.notify_all();
    spdlog::info("event=copy_loaded keys={} revision={}", all.size(), first);
    co_return true;
}

Task<void> Replica::run() {
    bool loaded = false;
    while (true) {
        if (std::exchange(wrong_, false)) loaded = false;
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
            spdlog::info("event=watch_too_old revision={}", node_.revision);
            loaded = false;
            continue;
        }
        if (!w.ok) {
            co_await node_.loop.sleep(Micros{150'000});
            continue;
        }
        for (const auto& i : w.page.items) {
            if (!i.value && i.key.starts_with(kJob)) note_end(i.key.substr(kJob.size()), i.stamp);
            apply(i);
        }
        node_.revision = std::max(node_.revision, w.page.revision);
        node_.advanced.notify_all();
        if (!w.page.items.empty()) {
            node_.work.notify_all();
            node_.fleet_work.notify_all();
            // Opened watches count as requests: changes that come close together share one.
            const Micros next = opened + node_.tunables.watch_gap;
            if (next > steady_now()) co_await node_.hurry.wait(next);
        }
    }
}

Task<bool> Replica::reach(core::Stamp revision, Micros deadline) {
    while (node_.revision < revision || !node_.synced) {
        if (steady_now() >= deadline) co_return false;
        node_.hurry.notify_all();
        co_await node_.advanced.wait(deadline);
    }
    co_return true;
}

core::Stamp Replica::stamp_of(std::string_view key) const {
    if (key.starts_with(kJob)) {
        const core::JobEntry* e = node_.ledger.find(std::string(key.substr(kJob.size())));
        return e == nullptr ? 0 : e->stamp;
    }
    const auto page = page_key(key);
    const auto known = page ? node_.ledger.pages().find(*page) : node_.ledger.pages().end();
    return known == node_.ledger.pages().end() ? 0 : known->second.stamp;
}

Task<bool> Replica::reach_conflict(std::vector<std::pair<std::string, core::Stamp>> conditions,
                                   CommitResult conflict, Micros deadline) {
    auto task = reach(conflict.revision, deadline);
    const bool reached = co_await std::move(task);
    if (!reached) co_return false;
    for (const auto& key : conflict.failed) {
        const auto c = std::find_if(conditions.begin(), conditions.end(),
                                    [&](const auto& condition) { return condition.first == key; });
        // A job may come and go between the conflict and now; any other stamp is never used twice.
        if (c == conditions.end() || (c->second == 0 && !key.starts_with(kRun))) continue;
        if (!key.starts_with(kRun) && !key.starts_with(kJob)) continue;
        if (stamp_of(key) != c->second || steady_now() - found_wrong_ < kReadAnew) continue;
        // One such record made every group commit fail that named it: two teams stood still for minutes.
        spdlog::warn("event=copy_wrong key={} stamp={} revision={}", key, c->second, conflict.revision);
        found_wrong_ = steady_now();
        wrong_ = true;
    }
    co_return true;
}

Task<bool> Replica::caught_up(Micros deadline) {
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
        const auto nodes = static_cast<double>(node_.peers.size() + 1);
        const Micros next =
            last_read_ + Micros{static_cast<std::int64_t>(nodes * 4e6 / node_.settings.state_rps)};
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
    auto task = reach(read_revision_, deadline);
    const bool ok = co_await std::move(task);
    co_return ok;
}

}  // namespace hatchwind::service
