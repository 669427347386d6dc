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
// More than so many are read as pages of keys: a list may name thousands of jobs, and the budget of requests
// is some dozens a second.
constexpr std::size_t kMaxSingleReads = 12;

// A key before `key` with no key of a job between them: '~' sorts after all digits.
std::string just_before(std::string key) {
    --key.back();
    return key + '~';
}

// False when the final state of a job that is wanted can't be decoded.
bool cache_if_wanted(const wire::StoreItem& item, const std::vector<std::string>& sorted_jobs,
                     FinalStateCache& cache) {
    const std::string job = item.key.substr(keys::kFinalPrefix.size());
    if (!item.value || !std::binary_search(sorted_jobs.begin(), sorted_jobs.end(), job)) return true;
    const auto state = wire::parse_final_record(*item.value);
    if (state) cache.insert(job, *state);
    return state.has_value();
}
}  // namespace

// What the concurrent readers of one call share.
struct FinalStateReader::Batch {
    std::vector<std::string> jobs;
    Micros deadline;
    io::Signal all_read;
    std::size_t next = 0;
    std::size_t readers = 0;
    core::Revision revision = 0;
    bool all_answered = true;
};

std::optional<core::TerminalState> FinalStateReader::ending(const std::string& job) const {
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

Task<void> FinalStateReader::read_singly(Batch& batch) {
    while (batch.all_answered && batch.next < batch.jobs.size()) {
        auto finding = find(batch.jobs[batch.next++], batch.deadline);
        const FinalStateResult result = co_await std::move(finding);
        if (result.lookup == Lookup::failed) batch.all_answered = false;
        if (result.lookup == Lookup::absent) batch.revision = std::max(batch.revision, result.revision);
    }
    if (--batch.readers == 0) batch.all_read.notify_all();
}

bool FinalStateReader::cache_wanted(const wire::StorePage& page,
                                    const std::vector<std::string>& sorted_jobs) {
    return std::all_of(page.items.begin(), page.items.end(),
                       [&](const auto& item) { return cache_if_wanted(item, sorted_jobs, cache_); });
}

Task<std::optional<core::Revision>> FinalStateReader::read_pages(std::vector<std::string> jobs,
                                                                 Micros deadline) {
    core::Revision revision = 0;
    std::size_t next = 0;
    while (next < jobs.size()) {
        if (steady_now() >= deadline) co_return std::nullopt;
        auto reading = store_.page(std::string(keys::kFinalPrefix), just_before(keys::final(jobs[next])));
        const auto page = co_await std::move(reading);
        if (!page || !cache_wanted(*page, jobs)) co_return std::nullopt;
        revision = std::max(revision, page->revision);
        // The page tells of everything up to its last key, or of all the rest.
        if (!page->more || page->items.empty()) co_return revision;
        const std::string& last_key = page->items.back().key;
        while (next < jobs.size() && keys::final(jobs[next]) <= last_key) ++next;
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
    for (std::size_t reader = 0; reader < readers; ++reader) scope.spawn(read_singly(batch));
    while (batch.readers > 0) co_await batch.all_read.wait();
    co_return batch.all_answered ? std::optional{batch.revision} : std::nullopt;
}

}  // namespace hatchwind::controller
