#include "scheduling/page_assignment.hpp"

#include <algorithm>
#include <optional>

namespace hatchwind::controller {

namespace {

// A page is written and read whole on every controller for each change: larger ones save writes and cost
// time. A controller with a whole core may read this much at the store's full rate of writes; a small one
// with 14 KiB to each page spent its time on reading.
constexpr double kReadBytesPerSecond = 2.4e6;
constexpr std::size_t kMinPageBytes = std::size_t{5} * 1024;
// Estimates of the JSON form. A page that outgrows the value limit all the same is split when it is written.
constexpr std::size_t kChunkBytes = 60;
constexpr std::size_t kMachineBytes = 10;  // beside its name, for all of the chunk's attempts there
constexpr std::size_t kAttemptBytes = 8;
constexpr std::size_t kDoneRangeBytes = 10;

std::size_t page_capacity_bytes(const Settings& settings) {
    const auto affordable =
        static_cast<std::size_t>(kReadBytesPerSecond * settings.cpu_share / settings.state_write_rps);
    return std::min(std::max(affordable, kMinPageBytes), settings.value_bytes());
}

// On how many machines that many tasks of the chunk may run, if they share machines as much as those that are
// open now. Tasks that share a machine mostly follow each other.
std::size_t estimate_machines(const core::Chunk& chunk, std::size_t tasks) {
    if (chunk.open.empty()) return tasks;
    std::size_t machines = 0;
    const std::string* last_machine = nullptr;
    for (const auto& [task, attempt] : chunk.open) {
        if (last_machine == nullptr || *last_machine != attempt.machine) ++machines;
        last_machine = &attempt.machine;
    }
    return (machines * tasks + chunk.open.size() - 1) / chunk.open.size();
}

class PageAssignment {
  public:
    PageAssignment(const PageAssignmentInput& input, const std::set<std::string>& ending_jobs)
        : job_table_(input.job_table),
          capacity_bytes_(page_capacity_bytes(input.settings)),
          longest_machine_name_(input.cluster_view.longest_name()) {
        for (const auto& [key, page] : job_table_.pages()) {
            if (input.leadership.owns_shard(key.team))
                reserved_bytes_[key] = bytes_to_reserve(page, ending_jobs);
        }
    }

    AssignedChunks assign(StagedRecords& staged) {
        collect_assigned(staged);
        for (auto& [key, record] : staged.chunks) {
            if (record.chunk.page == 0) assign_chunk(key, record.chunk);
        }
        return std::move(assigned_);
    }

  private:
    // Chunks that have a page already: it is written whatever else goes there.
    void collect_assigned(const StagedRecords& staged) {
        for (const auto& [key, record] : staged.chunks) {
            if (record.chunk.page == 0) continue;
            assigned_[{job_table_.find(key.job)->job.team, record.chunk.page}].push_back(key);
        }
    }

    void assign_chunk(const core::ChunkKey& key, core::Chunk& chunk) {
        const core::JobEntry& entry = *job_table_.find(key.job);
        const std::size_t bytes = bytes_to_reserve(entry, key.number, chunk);
        const core::AttemptPageKey page = choose_page(entry.job.team, bytes);
        reserved_bytes_[page] += bytes;
        chunk.page = page.number;
        assigned_[page].push_back(key);
    }

    // What the chunk may grow to. With the worst for each task, pages were half empty, and the store counts
    // the pages that are written.
    std::size_t bytes_to_reserve(const core::JobEntry& entry, std::uint32_t chunk_number,
                                 const core::Chunk& chunk) const {
        const std::uint32_t first_task = chunk_number * core::kChunkTasks;
        const std::uint32_t tasks = std::min(core::kChunkTasks, entry.job.tasks - first_task);
        const std::size_t not_done = tasks - chunk.done.size();
        return kChunkBytes + entry.job.id.size() + not_done * kAttemptBytes +
               estimate_machines(chunk, not_done) * (longest_machine_name_ + kMachineBytes) +
               chunk.done.ranges().size() * kDoneRangeBytes;
    }

    std::size_t bytes_to_reserve(const core::AttemptPage& page,
                                 const std::set<std::string>& ending_jobs) const {
        std::size_t sum = 0;
        for (const auto& chunk : page.chunks) {
            const core::JobEntry* entry = job_table_.find(chunk.job);
            if (entry == nullptr || ending_jobs.contains(chunk.job)) continue;
            sum += bytes_to_reserve(*entry, chunk.number, entry->chunks.at(chunk.number));
        }
        return sum;
    }

    // Pages that are written anyway first, then the emptiest, then a new one.
    core::AttemptPageKey choose_page(const std::string& team, std::size_t bytes) {
        if (const auto page = last_assigned(team, bytes)) return *page;
        return emptiest_or_new(team, bytes);
    }

    std::optional<core::AttemptPageKey> last_assigned(const std::string& team, std::size_t bytes) {
        std::optional<core::AttemptPageKey> last;
        for (const auto& [page, chunks] : assigned_) {
            if (page.team == team && reserved_bytes_[page] + bytes <= capacity_bytes_) last = page;
        }
        return last;
    }

    core::AttemptPageKey emptiest_or_new(const std::string& team, std::size_t bytes) const {
        std::optional<core::AttemptPageKey> emptiest;
        core::AttemptPageKey new_page{team, 1};
        std::size_t least_bytes = capacity_bytes_;
        for (const auto& [page, reserved] : reserved_bytes_) {
            if (page.team != team) continue;
            if (page.number == new_page.number) ++new_page.number;
            if (reserved + bytes > least_bytes) continue;
            least_bytes = reserved + bytes;
            emptiest = page;
        }
        return emptiest.value_or(new_page);
    }

    const core::JobTable& job_table_;
    std::size_t capacity_bytes_;
    std::size_t longest_machine_name_;
    std::map<core::AttemptPageKey, std::size_t> reserved_bytes_;  // of the pages of this controller's teams
    AssignedChunks assigned_;
};

}  // namespace

AssignedChunks assign_pages(const PageAssignmentInput& input, StagedRecords& staged,
                            const std::set<std::string>& ending_jobs) {
    return PageAssignment{input, ending_jobs}.assign(staged);
}

}  // namespace hatchwind::controller
