#include "emulator/job_board.hpp"

#include <cmath>

namespace hatchwind::emulator {

void JobBoard::upload(const JobSpec& spec, const JobTruth& truth) {
    Entry entry;
    entry.spec = spec;
    entry.truth = truth;
    jobs_.emplace(spec.id, std::move(entry));
}

const JobBoard::Entry* JobBoard::entry(const std::string& job) const {
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

const JobSpec* JobBoard::find(const std::string& job) const {
    const Entry* found = entry(job);
    return found == nullptr ? nullptr : &found->spec;
}

bool JobBoard::fails_everywhere(const std::string& job) const {
    const Entry* found = entry(job);
    return found != nullptr && found->truth.fails_everywhere;
}

double JobBoard::work_s(const std::string& job, std::uint32_t index) const {
    const Entry* found = entry(job);
    if (found == nullptr) return 0;
    if (found->spec.form == JobForm::gang || found->truth.variation == 0) return found->truth.run_s;
    Random draw(stable_hash(job), std::to_string(index));
    return found->truth.run_s * draw.uniform(1 - found->truth.variation, 1 + found->truth.variation);
}

std::uint32_t JobBoard::progress_key(const Entry& entry, std::uint32_t index) {
    return entry.spec.form == JobForm::gang ? 0 : index;
}

double JobBoard::saved_s(const std::string& job, std::uint32_t index) const {
    const Entry* found = entry(job);
    if (found == nullptr) return 0;
    const auto saved = found->saved.find(progress_key(*found, index));
    return saved == found->saved.end() ? 0 : saved->second;
}

void JobBoard::save(const std::string& job, std::uint32_t index, double progress_s) {
    const auto found = jobs_.find(job);
    if (found == jobs_.end() || progress_s <= 0) return;
    double& saved = found->second.saved[progress_key(found->second, index)];
    saved = std::max(saved, progress_s);
}

double JobBoard::checkpoint_before(const std::string& job, double progress_s) const {
    const Entry* found = entry(job);
    if (found == nullptr || found->spec.checkpoint_s <= 0) return 0;
    return std::floor(progress_s / found->spec.checkpoint_s) * found->spec.checkpoint_s;
}

bool JobBoard::completed(const std::string& job, std::uint32_t index) const {
    const Entry* found = entry(job);
    return found != nullptr && index < found->completed.size() && found->completed[index];
}

void JobBoard::complete(const TaskRef& task) {
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end() || task.index >= found->second.spec.tasks) return;
    Entry& entry = found->second;
    entry.completed.resize(entry.spec.tasks, false);
    if (entry.completed[task.index]) return;
    entry.completed[task.index] = true;
    ++entry.completed_count;
    recorder_.record(TaskCompleted{task});
    if (entry.completed_count == entry.spec.tasks && on_job_complete) on_job_complete(task.job);
}

bool JobBoard::all_completed(const std::string& job) const {
    const Entry* found = entry(job);
    return found != nullptr && found->completed_count == found->spec.tasks;
}

void JobBoard::running(const TaskRef& task, const std::string& machine) {
    const auto found = jobs_.find(task.job);
    if (found != jobs_.end()) found->second.running[task.index] = machine;
}

void JobBoard::stopped(const TaskRef& task) {
    const auto found = jobs_.find(task.job);
    if (found != jobs_.end()) found->second.running.erase(task.index);
}

std::vector<std::string> JobBoard::machines_of(const std::string& job) const {
    std::vector<std::string> machines;
    const Entry* found = entry(job);
    if (found == nullptr) return machines;
    for (const auto& [index, machine] : found->running) machines.push_back(machine);
    return machines;
}

}  // namespace hatchwind::emulator
