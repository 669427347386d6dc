/// What one placement pass has decided so far: starts, stops and reservations, and what they leave of free
/// capacity, of the teams' limits and of the pass's own bounds. The steps of a pass share one trial.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/placement.hpp"

namespace hatchwind::core {

/// The working state of one pass. Decisions go to result() and are taken out of capacity() at once.
class PlacementTrial {
  public:
    /// Both arguments have to outlive the trial.
    PlacementTrial(const PlacementInput& input, FreeCapacity& capacity);

    const PlacementInput& input() const { return input_; }
    FreeCapacity& capacity() { return capacity_; }
    const FreeCapacity& capacity() const { return capacity_; }
    PlacementResult& result() { return result_; }

    /// The pass has made as many starts, or touches as many store records, as its input allows.
    bool full() const;
    /// The team's limit allows that many more tasks. Counts what this pass stops: it is on its machine until
    /// the worker says that it is gone.
    bool within_limit(const Job& job, std::uint32_t more_tasks = 1) const;
    /// The same with nothing running but the team's services, which run until somebody cancels them.
    bool within_limit_beside_services(const Job& job, std::uint32_t more_tasks) const;
    /// What a team of the input uses: its recorded attempts and this pass's decisions, less what the pass
    /// stops.
    const Resources& team_use(const std::string& team) const { return team_use_.at(team); }
    void charge_team(const std::string& team, const Resources& amount) { team_use_[team] += amount; }
    /// The team's limit allows that many more tasks beside `use`.
    bool fits_limit(const Job& job, const Resources& use, std::uint32_t more_tasks) const;
    /// A running task of that job, on the machine at that position, is told to stop.
    void stop(const Job& job, std::uint32_t task, std::uint64_t attempt, std::size_t machine, double grace_s);

    /// Free CPUs that this pass has not assigned yet, on spot and on on-demand machines.
    double free_spot_cpus() const { return free_spot_cpus_; }
    double free_ordinary_cpus() const { return free_ordinary_cpus_; }

    void start(const JobEntry& entry, std::uint32_t task, std::uint64_t attempt, std::size_t machine);
    bool started(const TaskRef& task) const { return started_.contains(task); }
    /// An attempt of this task that is still on the machine would make the worker refuse the start. One that
    /// has exited is listed until the controller acknowledges the exit, which may take long when a copy of
    /// its start is under way.
    bool listed_on(std::size_t machine, const JobEntry& entry, std::uint32_t task) const;

    void reserve(const Reservation& reservation) { take_reserved(reservation, 1.0); }
    void release(const Reservation& reservation) { take_reserved(reservation, -1.0); }

    /// Rolling back undoes the starts of one team that came after the savepoint.
    struct Savepoint {
        std::size_t capacity_mark = 0;
        std::size_t starts = 0;
        std::string team;
        Resources team_use;
    };
    Savepoint savepoint(const std::string& team);
    void roll_back(const Savepoint& savepoint);

  private:
    // A chunk with a task that starts in this pass.
    struct StartedChunk {
        const JobEntry* entry = nullptr;
        std::uint32_t number = 0;
        friend auto operator<=>(const StartedChunk&, const StartedChunk&) = default;
    };

    void take_reserved(const Reservation& reservation, double sign);
    void reserve_known();
    void count_free_cpus();

    const PlacementInput& input_;
    FreeCapacity& capacity_;
    PlacementResult result_;
    std::map<std::string, Resources> team_use_;
    std::map<std::string, Resources> stopped_;  // by team: told to stop in this pass, and not gone yet
    double free_spot_cpus_ = 0;
    double free_ordinary_cpus_ = 0;
    std::set<TaskRef> started_;
    std::set<StartedChunk> started_chunks_;  // each costs a record
};

}  // namespace hatchwind::core
