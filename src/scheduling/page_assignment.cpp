#include "scheduling/page_assignment.hpp"

#include <algorithm>
#include <optional>

namespace hatchwind::controller {

namespace {

// Every change rewrites a whole page, which every controller then reads: larger pages need fewer writes but
// more processor time. A controller with a whole core can read this much at the store's maximum write rate.
// With pages of 14 KiB, a small controller would spend its processor time on reading.
constexpr double kReadBytesPerSecond = 2.4e6;
constexpr std::size_t kMinPageBytes = std::size_t{5} * 1024;
// Estimated sizes in JSON form. A page that exceeds the value limit nevertheless is split when it is written.
constexpr std::size_t kChunkBytes = 60;
constexpr std::size_t kMachineBytes = 10;  // without its name; once for all of the chunk's attempts on it
constexpr std::size_t kAttemptBytes = 8;
constexpr std::size_t kDoneRangeBytes = 10;

std::size_t page_capacity_bytes(const Settings& settings) {
    const auto affordable =
        static_cast<std::size_t>(kReadBytesPerSecond * settings.cpu_share / settings.state_write_rps);
    return std::min(std::max(affordable, kMinPageBytes), settings.value_bytes());
}

// Estimates the number of machines on which `tasks` tasks of the chunk will run, if they share machines to
// the same degree as the chunk's open attempts. Counts changes of the machine between neighbouring tasks,
// because tasks that share a machine mostly have consecutive numbers.
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
          longest_machine_name_(input.cluster_view.max_machine_id_length()) {
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
    // Collects the staged chunks that already have a page. Those pages have to be written in any case.
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

    // Returns the size to which the chunk is expected to grow. Reserving the maximum for each task would
    // leave pages half empty, and the write budget counts the pages that are written.
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

    // Prefers a page that is written anyway, then the least full page, then a new one.
    core::AttemptPageKey choose_page(const std::string& team, std::size_t bytes) {
        if (const auto page = last_assigned(team, bytes)) return *page;
        return least_full_or_new(team, bytes);
    }

    std::optional<core::AttemptPageKey> last_assigned(const std::string& team, std::size_t bytes) {
        std::optional<core::AttemptPageKey> last;
        for (const auto& [page, chunks] : assigned_) {
            if (page.team == team && reserved_bytes_[page] + bytes <= capacity_bytes_) last = page;
        }
        return last;
    }

    core::AttemptPageKey least_full_or_new(const std::string& team, std::size_t bytes) const {
        std::optional<core::AttemptPageKey> least_full;
        core::AttemptPageKey new_page{team, 1};
        std::size_t min_bytes = capacity_bytes_;
        for (const auto& [page, reserved] : reserved_bytes_) {
            if (page.team != team) continue;
            if (page.number == new_page.number) ++new_page.number;
            if (reserved + bytes > min_bytes) continue;
            min_bytes = reserved + bytes;
            least_full = page;
        }
        return least_full.value_or(new_page);
    }

    const core::JobTable& job_table_;
    std::size_t capacity_bytes_;
    std::size_t longest_machine_name_;
    std::map<core::AttemptPageKey, std::size_t> reserved_bytes_;  // for pages of this controller's teams
    AssignedChunks assigned_;
};

}  // namespace

AssignedChunks assign_pages(const PageAssignmentInput& input, StagedRecords& staged,
                            const std::set<std::string>& ending_jobs) {
    return PageAssignment{input, ending_jobs}.assign(staged);
}

}  // namespace hatchwind::controller
