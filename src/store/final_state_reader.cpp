#include "store/final_state_reader.hpp"

#include <algorithm>
#include <utility>

#include "store/store_keys.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kConcurrentReads = 4;
// Longer lists are read as pages of keys: a list may name thousands of jobs, while the request budget allows
// only some dozens of requests a second.
constexpr std::size_t kMaxSingleReads = 12;

// Returns a key that sorts before `key`, with no job's key between the two: '~' sorts after all digits.
std::string key_just_before(std::string key) {
    --key.back();
    return key + '~';
}

// Caches the item if its job is in `sorted_jobs`. Returns false if that job's final state cannot be decoded.
bool cache_if_requested(const wire::StoreItem& item, const std::vector<std::string>& sorted_jobs,
                        FinalStateCache& cache) {
    const std::string job = item.key.substr(keys::kFinalPrefix.size());
    if (!item.value || !std::binary_search(sorted_jobs.begin(), sorted_jobs.end(), job)) return true;
    const auto state = wire::parse_final_record(*item.value);
    if (state) cache.insert(job, *state);
    return state.has_value();
}
}  // namespace

// State shared by the concurrent readers of one call.
struct FinalStateReader::Batch {
    std::vector<std::string> jobs;
    Micros deadline;
    io::Signal all_read;
    std::size_t next_job = 0;  // index into `jobs`
    std::size_t active_readers = 0;
    core::Revision revision = 0;
    bool all_answered = true;
};

std::optional<core::TerminalState> FinalStateReader::terminal_state(const std::string& job) const {
    const FinalState* state = known(job);
    if (state == nullptr) return std::nullopt;
    return state->status == wire::JobStatus::done ? core::TerminalState::done
                                                  : core::TerminalState::cancelled;
}

Task<FinalStateResult> FinalStateReader::find(std::string job, Micros deadline) {
    if (const FinalState* state = known(job)) co_return FinalStateResult{Lookup::found, *state, 0};
    auto reading = store_.get(keys::final(job), deadline);
    const GetResult result = co_await std::move(reading);
    if (!result.answered) co_return FinalStateResult{};
    if (!result.value) co_return FinalStateResult{Lookup::absent, {}, result.revision};
    const auto state = wire::parse_final_record(*result.value);
    if (!state) co_return FinalStateResult{};
    cache_.insert(job, *state);
    co_return FinalStateResult{Lookup::found, *state, 0};
}

Task<void> FinalStateReader::read_from_batch(Batch& batch) {
    while (batch.all_answered && batch.next_job < batch.jobs.size()) {
        auto finding = find(batch.jobs[batch.next_job++], batch.deadline);
        const FinalStateResult result = co_await std::move(finding);
        if (result.lookup == Lookup::failed) batch.all_answered = false;
        if (result.lookup == Lookup::absent) batch.revision = std::max(batch.revision, result.revision);
    }
    if (--batch.active_readers == 0) batch.all_read.notify_all();
}

bool FinalStateReader::cache_requested(const wire::StorePage& page,
                                       const std::vector<std::string>& sorted_jobs) {
    return std::all_of(page.items.begin(), page.items.end(),
                       [&](const auto& item) { return cache_if_requested(item, sorted_jobs, cache_); });
}

Task<std::optional<core::Revision>> FinalStateReader::read_pages(std::vector<std::string> jobs,
                                                                 Micros deadline) {
    core::Revision revision = 0;
    std::size_t next_job = 0;
    while (next_job < jobs.size()) {
        if (steady_now() >= deadline) co_return std::nullopt;
        auto reading =
            store_.page(std::string(keys::kFinalPrefix), key_just_before(keys::final(jobs[next_job])));
        const auto page = co_await std::move(reading);
        if (!page || !cache_requested(*page, jobs)) co_return std::nullopt;
        revision = std::max(revision, page->revision);
        // The page covers all keys up to its last one, or all remaining keys if there are no more pages.
        if (!page->more || page->items.empty()) co_return revision;
        const std::string& last_key = page->items.back().key;
        while (next_job < jobs.size() && keys::final(jobs[next_job]) <= last_key) ++next_job;
    }
    co_return revision;
}

Task<std::optional<core::Revision>> FinalStateReader::read_all(std::vector<std::string> jobs,
                                                               Micros deadline) {
    std::erase_if(jobs, [&](const auto& job) { return known(job) != nullptr; });
    if (jobs.size() > kMaxSingleReads) {
        std::sort(jobs.begin(), jobs.end());
        auto reading = read_pages(std::move(jobs), deadline);
        const std::optional<core::Revision> revision = co_await std::move(reading);
        co_return revision;
    }
    const std::size_t readers = std::min(jobs.size(), kConcurrentReads);
    Batch batch{std::move(jobs), deadline, io::Signal{loop_}, 0, readers, 0, true};
    io::Scope scope;
    for (std::size_t reader = 0; reader < readers; ++reader) scope.spawn(read_from_batch(batch));
    while (batch.active_readers > 0) co_await batch.all_read.wait();
    co_return batch.all_answered ? std::optional{batch.revision} : std::nullopt;
}

}  // namespace hatchwind::controller
