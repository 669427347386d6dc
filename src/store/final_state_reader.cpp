#include "store/final_state_reader.hpp"

#include <algorithm>

#include "store/store_keys.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kReadersOfOneCall = 4;
// More than so many are read as pages of keys: a list may name thousands of jobs, and the budget of requests
// is some dozens a second.
constexpr std::size_t kReadSingly = 12;
constexpr std::string_view kFinal = "f/";

// A key before `key` with nothing in between that a job may have.
std::string just_before(std::string key) {
    --key.back();
    return key + '~';
}
}  // namespace

// What the readers of one call share.
struct FinalStateReader::Batch {
    std::vector<std::string> jobs;
    Micros deadline;
    io::Signal read;
    std::size_t next = 0;
    std::size_t readers = 0;
    core::Revision revision = 0;
    bool ok = true;
};

std::optional<core::TerminalState> FinalStateReader::ending(const std::string& job) const {
    const FinalState* state = known(job);
    if (state == nullptr) return std::nullopt;
    return state->status == wire::JobStatus::done ? core::TerminalState::done
                                                  : core::TerminalState::cancelled;
}

Task<Lookup> FinalStateReader::find(std::string job, FinalState& into, core::Revision& revision,
                                    Micros deadline) {
    if (const FinalState* state = known(job)) {
        into = *state;
        co_return Lookup::found;
    }
    auto task = store_.get(keys::final(job), deadline);
    const GetResult r = co_await std::move(task);
    if (!r.ok) co_return Lookup::failed;
    revision = r.revision;
    if (!r.value) co_return Lookup::absent;
    const auto f = wire::parse_final_record(*r.value);
    if (!f) co_return Lookup::failed;
    into = {f->first, f->second};
    note(job, into);
    co_return Lookup::found;
}

Task<void> FinalStateReader::read_singly(Batch& batch) {
    while (batch.ok && batch.next < batch.jobs.size()) {
        FinalState state;
        core::Revision revision = 0;
        auto task = find(batch.jobs[batch.next++], state, revision, batch.deadline);
        const Lookup lookup = co_await std::move(task);
        if (lookup == Lookup::failed) batch.ok = false;
        if (lookup == Lookup::absent) batch.revision = std::max(batch.revision, revision);
    }
    if (--batch.readers == 0) batch.read.notify_all();
}

Task<bool> FinalStateReader::read_pages(std::vector<std::string> jobs, core::Revision& revision,
                                        Micros deadline) {
    std::size_t next = 0;
    while (next < jobs.size()) {
        if (steady_now() >= deadline) co_return false;
        auto task = store_.page(std::string(kFinal), just_before(keys::final(jobs[next])));
        const auto page = co_await std::move(task);
        if (!page) co_return false;
        revision = std::max(revision, page->revision);
        const std::string last = page->more && !page->items.empty() ? page->items.back().key : std::string{};
        for (const auto& item : page->items) {
            const std::string job = item.key.substr(kFinal.size());
            if (!std::binary_search(jobs.begin(), jobs.end(), job) || !item.value) continue;
            const auto state = wire::parse_final_record(*item.value);
            if (!state) co_return false;
            note(job, {state->first, state->second});
        }
        // The page tells of everything up to its last key, or of all the rest.
        if (last.empty()) co_return true;
        while (next < jobs.size() && keys::final(jobs[next]) <= last) ++next;
    }
    co_return true;
}

Task<bool> FinalStateReader::read_all(std::vector<std::string> jobs, core::Revision& revision,
                                      Micros deadline) {
    std::erase_if(jobs, [&](const auto& job) { return known(job) != nullptr; });
    if (jobs.size() > kReadSingly) {
        std::sort(jobs.begin(), jobs.end());
        auto pages = read_pages(std::move(jobs), revision, deadline);
        const bool ok = co_await std::move(pages);
        co_return ok;
    }
    const std::size_t readers = std::min(jobs.size(), kReadersOfOneCall);
    Batch batch{std::move(jobs), deadline, io::Signal{loop_}, 0, readers, 0, true};
    io::Scope scope;
    for (std::size_t i = 0; i < readers; ++i) scope.spawn(read_singly(batch));
    while (batch.readers > 0) co_await batch.read.wait();
    revision = std::max(revision, batch.revision);
    co_return batch.ok;
}

}  // namespace hatchwind::controller
