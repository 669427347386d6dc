#include "scheduling/page_assignment.hpp"

#include <algorithm>
#include <optional>

namespace hatchwind::controller {

namespace {

// A page is written and read whole on every node for each change: larger ones save writes and cost time. So
// much may be read a second by a node with a whole core, at the store's full rate of writes; a small node
// with 14 KiB to each page spent its time on reading.
constexpr double kReadBytes = 2.4e6;
constexpr std::size_t kLeastPageBytes = std::size_t{5} * 1024;
// The JSON form's bytes, about. A page that outgrows the value limit all the same is split when it is
// written.
constexpr std::size_t kChunkBytes = 60;
constexpr std::size_t kMachineBytes = 10;  // beside its name, for all of the chunk's attempts there
constexpr std::size_t kAttemptBytes = 8;
constexpr std::size_t kDoneRangeBytes = 10;

std::size_t page_bytes(const Settings& settings) {
    const auto affordable =
        static_cast<std::size_t>(kReadBytes * settings.cpu_share / settings.state_write_rps);
    return std::min(std::max(affordable, kLeastPageBytes), settings.value_bytes());
}

class PageAssignment {
  public:
    using Pages = std::map<core::AttemptPageKey, std::vector<core::ChunkKey>>;

    PageAssignment(const PageAssignmentInput& input, const std::set<std::string>& ending)
        : job_table_(input.job_table),
          capacity_(page_bytes(input.settings)),
          longest_name_(input.cluster_view.longest_name()) {
        for (const auto& [key, page] : job_table_.pages()) {
            if (input.leadership.owns_shard(key.team)) load_[key] = load_of(page, ending);
        }
    }

    Pages assign(StagedRecords& staged) {
        for (const auto& [key, record] : staged.chunks) {
            if (record.chunk.page == 0) continue;
            touched_[{job_table_.find(key.job)->job.team, record.chunk.page}].push_back(key);
        }
        for (auto& [key, record] : staged.chunks) {
            if (record.chunk.page != 0) continue;
            const core::JobEntry& entry = *job_table_.find(key.job);
            const std::size_t bytes = reserve(entry, key.number, record.chunk);
            const core::AttemptPageKey page = choose(entry.job.team, bytes);
            load_[page] += bytes;
            record.chunk.page = page.number;
            touched_[page].push_back(key);
        }
        return std::move(touched_);
    }

  private:
    // What the chunk may grow to, if its other tasks share machines as much as those that are open now. With
    // the worst for each task, pages were half empty, and the store counts the pages that are
    // written.
    std::size_t reserve(const core::JobEntry& entry, std::uint32_t index, const core::Chunk& chunk) const {
        const std::uint32_t first = index * core::kChunkTasks;
        const std::uint32_t tasks = std::min(core::kChunkTasks, entry.job.tasks - first);
        const std::size_t not_done = tasks - chunk.done.size();
        return kChunkBytes + entry.job.id.size() + not_done * kAttemptBytes +
               machines_of(chunk, not_done) * (longest_name_ + kMachineBytes) +
               chunk.done.ranges().size() * kDoneRangeBytes;
    }

    // Tasks that share a machine mostly follow each other.
    static std::size_t machines_of(const core::Chunk& chunk, std::size_t tasks) {
        if (chunk.open.empty()) return tasks;
        std::size_t machines = 0;
        const std::string* last = nullptr;
        for (const auto& [task, attempt] : chunk.open) {
            if (last == nullptr || *last != attempt.machine) ++machines;
            last = &attempt.machine;
        }
        return (machines * tasks + chunk.open.size() - 1) / chunk.open.size();
    }

    std::size_t load_of(const core::AttemptPage& page, const std::set<std::string>& ending) const {
        std::size_t sum = 0;
        for (const auto& [job, chunk] : page.chunks) {
            const core::JobEntry* entry = job_table_.find(job);
            if (entry == nullptr || ending.contains(job)) continue;
            sum += reserve(*entry, chunk, entry->chunks.at(chunk));
        }
        return sum;
    }

    // Pages that are written anyway first, then the emptiest, then a new one.
    core::AttemptPageKey choose(const std::string& team, std::size_t bytes) {
        if (const auto page = last_touched(team, bytes)) return *page;
        return emptiest_or_new(team, bytes);
    }

    std::optional<core::AttemptPageKey> last_touched(const std::string& team, std::size_t bytes) {
        std::optional<core::AttemptPageKey> last;
        for (const auto& [page, chunks] : touched_) {
            if (page.team == team && load_[page] + bytes <= capacity_) last = page;
        }
        return last;
    }

    core::AttemptPageKey emptiest_or_new(const std::string& team, std::size_t bytes) const {
        std::optional<core::AttemptPageKey> emptiest;
        core::AttemptPageKey fresh{team, 1};
        std::size_t least = capacity_;
        for (const auto& [page, load] : load_) {
            if (page.team != team) continue;
            if (page.number == fresh.number) ++fresh.number;
            if (load + bytes > least) continue;
            least = load + bytes;
            emptiest = page;
        }
        return emptiest.value_or(fresh);
    }

    const core::JobTable& job_table_;
    std::size_t capacity_;
    std::size_t longest_name_;
    std::map<core::AttemptPageKey, std::size_t> load_;  // bytes of this node's teams' pages, at the most
    Pages touched_;
};

}  // namespace

std::map<core::AttemptPageKey, std::vector<core::ChunkKey>> assign_pages(
    const PageAssignmentInput& input, StagedRecords& staged, const std::set<std::string>& ending) {
    return PageAssignment{input, ending}.assign(staged);
}

}  // namespace hatchwind::controller
