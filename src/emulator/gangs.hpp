// Gangs: tasks of one attempt that start, stop, complete and fail together wherever their machines are.
// Pure; members ask for the verdict on their task, and are woken when it may have changed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "emulator/job_board.hpp"

namespace hatchwind::emulator {

struct GangTimes {
    Micros wait{};  // `gang_wait_s`
    Micros peer{};  // `gang_peer_s`
};

/// What a gang's task does at this moment.
struct GangVerdict {
    TaskState state = TaskState::gathering;
    ExitCause cause = ExitCause::done;  // when exited
    bool progress_saved = false;
    Micros next = Micros::max();  // ask again then, unless woken before
};

/// One attempt of a gang.
class Gang {
  public:
    Gang(JobBoard& board, const JobSpec& spec, std::uint64_t attempt, GangTimes times, Random& random)
        : board_(board), spec_(spec), attempt_(attempt), times_(times), random_(random) {}

    void join(std::uint32_t index, double speed, std::function<void()> wake, Micros now);
    GangVerdict verdict(std::uint32_t index, Micros now);
    /// The task is told to stop and has time to save.
    void halt(std::uint32_t index, Micros now);
    /// The task ends without saving: stopped at once, its machine hangs, it is killed, or it failed.
    void lose(std::uint32_t index, Micros now);
    /// The task has exited by a verdict.
    void leave(std::uint32_t index) { members_.erase(index); }
    void set_speed(std::uint32_t index, double speed, Micros now);
    bool empty() const { return members_.empty(); }

  private:
    struct Member {
        Micros joined_at{};
        double speed = 1;
        std::optional<Micros> halted_at;
        Micros notices_loss_after{};
        std::function<void()> wake;
    };
    void start(Micros now);
    void complete();
    void fail(Micros now);
    void settle_stop(Micros now);
    void wake_all();
    double progress_at(Micros now) const;
    double slowest() const;

    JobBoard& board_;
    JobSpec spec_;
    std::uint64_t attempt_;
    GangTimes times_;
    Random& random_;
    std::map<std::uint32_t, Member> members_;
    bool started_ = false;
    bool completed_ = false;
    bool stopped_saved_ = false;
    double progress_s_ = 0;
    Micros progress_from_{};
    std::optional<Micros> first_halt_at_;
    std::optional<Micros> failed_at_;
    bool stop_came_too_late_ = false;
};

/// All gangs of a run; one hall, shared by its workers.
class GangHall {
  public:
    GangHall(JobBoard& board, GangTimes times, std::uint64_t seed)
        : board_(board), times_(times), random_(seed, "gangs") {}
    Gang& find_or_make(const JobSpec& spec, std::uint64_t attempt);
    Gang* find(const TaskRef& task);
    /// Forgets gangs that have no members left.
    void remove_if_empty(const TaskRef& task);

  private:
    JobBoard& board_;
    GangTimes times_;
    Random random_;
    std::map<std::pair<std::string, std::uint64_t>, Gang> gangs_;
};

}  // namespace hatchwind::emulator
