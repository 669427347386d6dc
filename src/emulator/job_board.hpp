// What lies outside of every machine: job descriptions that users uploaded, kept results and checkpoints.
//
// One board per run, shared by users (who upload) and workers (who look up, save and complete).
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emulator/events.hpp"

namespace hatchwind::emulator {

/// How a job really behaves, which its owner's estimate does not say.
struct JobTruth {
    double run_s = 0;               // median run time of a task on a machine of nominal speed
    double variation = 0;           // tasks differ by up to this part of it, either way
    bool fails_everywhere = false;  // submitted with a mistake
};

class JobBoard {
  public:
    explicit JobBoard(Recorder& recorder) : recorder_(recorder) {}

    /// Later uploads of the same id change nothing.
    void upload(const JobSpec& spec, const JobTruth& truth);
    /// Null when no such job was uploaded.
    const JobSpec* find(const std::string& job) const;
    bool fails_everywhere(const std::string& job) const;

    /// Seconds of work of a task, the same whenever it is asked for.
    double work_s(const std::string& job, std::uint32_t index) const;
    /// Seconds of work that a checkpoint holds; a gang's tasks share the job's.
    double saved_s(const std::string& job, std::uint32_t index) const;
    void save(const std::string& job, std::uint32_t index, double progress_s);
    /// The last checkpoint that a task of this progress has written by itself.
    double checkpoint_before(const std::string& job, double progress_s) const;

    bool completed(const std::string& job, std::uint32_t index) const;
    void complete(const TaskRef& task);
    bool all_completed(const std::string& job) const;

    /// A task makes progress on a machine, or no longer does.
    void running(const TaskRef& task, const std::string& machine);
    void stopped(const TaskRef& task);
    /// Machines on which tasks of the job make progress.
    std::vector<std::string> machines_of(const std::string& job) const;

    /// Called when the last task of a job completes.
    std::function<void(const std::string& job)> on_job_complete;

  private:
    struct Entry {
        JobSpec spec;
        JobTruth truth;
        std::map<std::uint32_t, double> saved;
        std::vector<bool> completed;
        std::uint32_t completed_count = 0;
        std::map<std::uint32_t, std::string> running;
    };
    const Entry* entry(const std::string& job) const;
    static std::uint32_t progress_key(const Entry& entry, std::uint32_t index);

    Recorder& recorder_;
    std::map<std::string, Entry> jobs_;
};

}  // namespace hatchwind::emulator
