// What one placement pass has decided so far: starts, stops and reservations, and what they leave of free
// capacity, of the teams' limits and of the pass's own bounds. The steps of a pass share one trial.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/placement.hpp"

namespace hatchwind::core {

class PlacementTrial {
  public:
    // Both outlive the trial.
    PlacementTrial(const PlacementInput& input, FreeCapacity& capacity);

    const PlacementInput& input() const { return input_; }
    FreeCapacity& capacity() { return capacity_; }
    const FreeCapacity& capacity() const { return capacity_; }
    PlacementResult& result() { return result_; }

    // The pass has as many starts, or touches as many store records, as its input allows.
    bool full() const;
    bool within_limit(const Job& job, std::uint32_t more_tasks = 1) const;
    // Of a team of the input: its recorded attempts and this pass's decisions.
    const Amount& team_use(const std::string& team) const { return team_use_.at(team); }
    void charge_team(const std::string& team, const Amount& amount) { team_use_[team] += amount; }
    void credit_team(const std::string& team, const Amount& amount) { team_use_[team] -= amount; }

    // CPUs that this pass has not given away yet.
    double free_spot_cpus() const { return free_spot_cpus_; }
    double free_ordinary_cpus() const { return free_ordinary_cpus_; }

    void start(const JobEntry& entry, std::uint32_t task, std::uint64_t attempt, std::size_t machine);
    bool started(const TaskRef& task) const { return started_.contains(task); }
    // An attempt of this task that is still listed there would make the worker refuse the start.
    bool listed_on(std::size_t machine, const JobEntry& entry, std::uint32_t task) const;

    void hold(const Reservation& reservation) { take_reserved(reservation, 1.0); }
    void release(const Reservation& reservation) { take_reserved(reservation, -1.0); }

    // Takes back the starts of one team that came after the savepoint.
    struct Savepoint {
        std::size_t capacity_mark = 0;
        std::size_t starts = 0;
        std::string team;
        Amount team_use;
    };
    Savepoint savepoint(const std::string& team);
    void roll_back(const Savepoint& savepoint);

  private:
    void take_reserved(const Reservation& reservation, double sign);
    void hold_known_reservations();
    void count_free_cpus();

    const PlacementInput& input_;
    FreeCapacity& capacity_;
    PlacementResult result_;
    std::map<std::string, Amount> team_use_;
    double free_spot_cpus_ = 0;
    double free_ordinary_cpus_ = 0;
    std::set<TaskRef> started_;
    std::set<std::pair<const JobEntry*, std::uint32_t>> records_;  // job and number of the chunk
};

}  // namespace hatchwind::core
