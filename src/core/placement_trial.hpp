/// Working state of one placement pass: its starts, stops and reservations, and the free capacity, team
/// limits and pass limits that remain. All steps of a pass share one trial.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/placement.hpp"

namespace hatchwind::core {

/// Working state of one pass. Each decision is recorded in result() and subtracted from capacity() at once.
class PlacementTrial {
  public:
    /// Both arguments must outlive the trial.
    PlacementTrial(const PlacementInput& input, FreeCapacity& capacity);

    const PlacementInput& input() const { return input_; }
    FreeCapacity& capacity() { return capacity_; }
    const FreeCapacity& capacity() const { return capacity_; }
    PlacementResult& result() { return result_; }

    /// Returns true if the pass has made as many starts, or changes as many store records, as its input
    /// allows.
    bool full() const;
    /// Returns true if the team's limit allows `more_tasks` more tasks. Tasks that this pass stops still
    /// count: they occupy their machine until the worker reports their end.
    bool within_limit(const Job& job, std::uint32_t more_tasks = 1) const;
    /// Returns true if the team's limit would allow the tasks if only the team's services were running.
    /// Services run until a user cancels them.
    bool within_limit_if_only_services_run(const Job& job, std::uint32_t more_tasks) const;
    /// Resources that a team of the input uses: its recorded attempts and this pass's starts, minus the tasks
    /// that the pass stops.
    const Resources& team_use(const std::string& team) const { return team_use_.at(team); }
    void charge_team(const std::string& team, const Resources& amount) { team_use_[team] += amount; }
    /// Returns true if the team's limit allows `more_tasks` more tasks in addition to `use`.
    bool fits_limit(const Job& job, const Resources& use, std::uint32_t more_tasks) const;
    /// Records that a running task of the job, on the machine at position `machine`, is to be stopped.
    void stop(const Job& job, std::uint32_t task, std::uint64_t attempt, std::size_t machine, double grace_s);

    /// Free CPUs that this pass has not assigned yet, on spot and on on-demand machines.
    double free_spot_cpus() const { return free_spot_cpus_; }
    double free_on_demand_cpus() const { return free_on_demand_cpus_; }

    void start(const JobEntry& entry, std::uint32_t task, std::uint64_t attempt, std::size_t machine);
    bool started(const TaskRef& task) const { return started_.contains(task); }
    /// Returns true if the machine lists an earlier attempt of the task, for which the worker would refuse
    /// the start. An exited attempt is listed until the controller acknowledges the exit, which can take long
    /// while a duplicate of its start command is in flight.
    bool listed_on(std::size_t machine, const JobEntry& entry, std::uint32_t task) const;

    void reserve(const Reservation& reservation) { change_reserved(reservation, 1.0); }
    void release(const Reservation& reservation) { change_reserved(reservation, -1.0); }

    /// State to which roll_back() returns; it undoes the starts of one team that were made after the
    /// savepoint.
    struct Savepoint {
        std::size_t capacity_mark = 0;
        std::size_t starts = 0;
        std::string team;
        Resources team_use;
    };
    Savepoint savepoint(const std::string& team);
    void roll_back(const Savepoint& savepoint);

  private:
    // A chunk that has a task starting in this pass.
    struct StartedChunk {
        const JobEntry* entry = nullptr;
        std::uint32_t number = 0;
        friend auto operator<=>(const StartedChunk&, const StartedChunk&) = default;
    };

    void change_reserved(const Reservation& reservation, double sign);
    void apply_known_reservations();
    void count_free_cpus();

    const PlacementInput& input_;
    FreeCapacity& capacity_;
    PlacementResult result_;
    std::map<std::string, Resources> team_use_;
    std::map<std::string, Resources> stopped_use_;  // by team: resources of the tasks that this pass stops
    double free_spot_cpus_ = 0;
    double free_on_demand_cpus_ = 0;
    std::set<TaskRef> started_;
    std::set<StartedChunk> started_chunks_;  // one store record each
};

}  // namespace hatchwind::core
