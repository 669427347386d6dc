// The tasks of one machine: starts and refusals, images, progress, checkpoints, saving, gangs. Without input
// or output; times are passed in. The worker that owns it decides which commands count and when the lease
// ends.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "emulator/gangs.hpp"
#include "emulator/image_cache.hpp"
#include "emulator/job_board.hpp"

namespace hatchwind::emulator {

/// What is true of a machine for all its life.
struct MachineIdentity {
    std::string id;
    std::string address;  // as its reports tell it
    MachineType type;
    std::string zone;
    bool spot = false;
    double speed = 1;  // 1: nominal
    double fetch_gb_per_s = 1;
    double error_share = 0;  // a faulty machine: that share of its tasks fail
};

class TaskRunner {
  public:
    /// `wake` is called when next_event() may have changed from outside (another task of a gang).
    TaskRunner(const MachineIdentity& machine, JobBoard& board, GangHall& gangs, Recorder& recorder,
               Random& random, std::function<void()> wake);
    ~TaskRunner();
    TaskRunner(const TaskRunner&) = delete;
    TaskRunner& operator=(const TaskRunner&) = delete;

    void execute(const Command& command, Micros now);
    /// Carries all tasks on to `now`.
    void advance(Micros now);
    /// When advance() is due next; Micros::max() when nothing goes on.
    Micros next_event() const { return stale_ && !frozen_ ? Micros{0} : next_event_; }

    /// All tasks are killed and forgotten.
    void kill_all(const std::string& reason, Micros now);
    /// The machine does nothing until thaw(); gangs notice.
    void freeze(Micros now);
    void thaw(Micros now);
    /// A factor on the machine's speed.
    void set_slowness(double factor, Micros now);

    std::vector<TaskStatus> statuses() const;
    /// Rises with every change that a report would show.
    std::uint64_t changes() const { return changes_; }
    bool idle() const { return tasks_.empty(); }

  private:
    using Key = std::pair<std::string, std::uint64_t>;  // task name, attempt
    struct Execution {
        TaskRef task;
        TaskState state = TaskState::fetching;
        ExitCause cause = ExitCause::done;
        bool progress_saved = false;
        bool placed = false;
        bool in_gang = false;
        double progress_s = 0;  // at `progress_from`
        Micros progress_from{};
        Micros until = Micros::max();
        bool fails = false;
    };

    void start(const TaskRef& task, Micros now);
    void halt(const HaltCommand& command, Micros now);
    void refuse(const TaskRef& task, ExitCause cause);
    void place(Execution& execution, const JobSpec& spec, Micros now);
    void run(Execution& execution, Micros now);
    void step(Execution& execution, Micros now);
    void step_gang(Execution& execution, Micros now);
    void finish(Execution& execution, ExitCause cause, bool progress_saved, Micros now);
    void abandon(Execution& execution, const std::string& reason, Micros now);
    double progress_at(const Execution& execution, Micros now) const;
    void save_checkpoint(Execution& execution, Micros now);
    Micros end_of_run(const Execution& execution) const;
    double speed() const { return machine_.speed / slowness_; }
    void reckon_next(Micros now);

    MachineIdentity machine_;
    JobBoard& board_;
    GangHall& gangs_;
    Recorder& recorder_;
    Random& random_;
    std::function<void()> wake_;
    ImageCache images_;
    Resources free_;
    std::map<Key, Execution> tasks_;
    double slowness_ = 1;
    std::uint64_t changes_ = 0;
    Micros frozen_at_{};
    bool frozen_ = false;
    bool stale_ = false;  // a gang changed since the last advance()
    Micros next_event_ = Micros::max();
};

}  // namespace hatchwind::emulator
