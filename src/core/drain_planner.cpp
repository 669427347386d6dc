#include "core/drain_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace hatchwind::core {

namespace {

// At most one in this many replicas of a service may be down at once.
constexpr int kServiceDownDivisor = 4;
// Use is rounded to this many steps; machines in the same step count as equally used.
constexpr double kUseSteps = 10;

// Returns how many more tasks of a job may be stopped. For a service this is a quarter of its replicas, at
// least one, minus the replicas that are already down.
int stop_quota(const JobEntry& entry) {
    const int tasks = static_cast<int>(entry.job.tasks);
    if (entry.job.kind != JobKind::service) return tasks;
    const int down = static_cast<int>(entry.unstarted());
    return std::max(1, tasks / kServiceDownDivisor) - down;
}

bool has_zone_rules(const Job& job) { return job.spread || job.one_zone; }

// Moves tasks in the working copy. Nested trials are marked by positions in logs of changes, as in
// FreeCapacity: copying whole maps for each trial would be quadratic in the number of machines.
class MoveTrial {
  public:
    MoveTrial(FreeCapacity& capacity, const std::map<TaskRef, std::string>& remembered_destinations)
        : capacity_(capacity), remembered_destinations_(remembered_destinations) {}

    // Finds a destination for one task: the destination of the last round first, then the machines from the
    // end of the list. Returns false if there is none.
    bool relocate(const JobEntry& entry, const TaskRef& ref, const std::string& from,
                  const std::set<std::string>& excluded) {
        if (const auto hint = remembered_destinations_.find(ref); hint != remembered_destinations_.end()) {
            const auto position = capacity_.position_of(hint->second);
            if (position != FreeCapacity::npos && fits(entry, position, from, excluded)) {
                place(entry, ref, position);
                return true;
            }
        }
        for (std::size_t position = capacity_.machines().size(); position-- > 0;) {
            if (!fits(entry, position, from, excluded)) continue;
            place(entry, ref, position);
            return true;
        }
        return false;
    }
    // Removes one task of the job from its zone's count.
    void remove_from_zone(const JobEntry& entry, const std::string& zone) {
        if (!has_zone_rules(entry.job)) return;
        zone_use(entry).remove(zone);
        zone_moves_.push_back({&entry, zone, false});
    }
    // Counts one more stopped task of the job. Returns false if that exceeds the job's stop quota.
    bool stop(const JobEntry& entry) {
        stops_.push_back(&entry);
        return --stop_quota_of(entry) >= 0;
    }
    bool is_destination(const std::string& machine) const { return tasks_placed_on_.contains(machine); }
    std::map<TaskRef, std::string> release_destinations() { return std::move(destinations_); }

    struct Mark {
        std::size_t capacity, zone_moves, placed, stops;
    };
    Mark mark() const { return {capacity_.mark(), zone_moves_.size(), placed_tasks_.size(), stops_.size()}; }
    void revert(const Mark& mark) {
        capacity_.revert(mark.capacity);
        for (; zone_moves_.size() > mark.zone_moves; zone_moves_.pop_back()) undo(zone_moves_.back());
        for (; placed_tasks_.size() > mark.placed; placed_tasks_.pop_back())
            undo_placement(placed_tasks_.back());
        for (; stops_.size() > mark.stops; stops_.pop_back()) ++stop_quota_of(*stops_.back());
    }

  private:
    struct ZoneMove {
        const JobEntry* entry;
        std::string zone;
        bool added;
    };

    ZoneUse& zone_use(const JobEntry& entry) {
        const auto [known, is_new] = zones_.try_emplace(&entry);
        if (is_new) known->second = ZoneUse::of(entry, capacity_);
        return known->second;
    }
    int& stop_quota_of(const JobEntry& entry) {
        const auto [known, is_new] = stop_quotas_.try_emplace(&entry, 0);
        if (is_new) known->second = stop_quota(entry);
        return known->second;
    }
    bool fits(const JobEntry& entry, std::size_t position, const std::string& from,
              const std::set<std::string>& excluded) {
        const MachineCapacity& machine = capacity_.machines()[position];
        if (!has_capacity_for(entry.job, machine)) return false;
        if (machine.id == from || excluded.contains(machine.id)) return false;
        return !has_zone_rules(entry.job) || zone_use(entry).allows(entry.job, machine.zone);
    }
    void place(const JobEntry& entry, const TaskRef& ref, std::size_t position) {
        const MachineCapacity& machine = capacity_.machines()[position];
        capacity_.take(position, entry.job.resources);
        if (has_zone_rules(entry.job)) {
            zone_use(entry).add(machine.zone);
            zone_moves_.push_back({&entry, machine.zone, true});
        }
        if (destinations_.emplace(ref, machine.id).second) {
            placed_tasks_.push_back(ref);
            ++tasks_placed_on_[machine.id];
        }
    }
    void undo(const ZoneMove& move) {
        ZoneUse& use = zone_use(*move.entry);
        if (move.added) {
            use.remove(move.zone);
        } else {
            use.add(move.zone);
        }
    }
    void undo_placement(const TaskRef& ref) {
        const auto destination = destinations_.find(ref);
        const auto count = tasks_placed_on_.find(destination->second);
        if (--count->second == 0) tasks_placed_on_.erase(count);
        destinations_.erase(destination);
    }

    FreeCapacity& capacity_;
    const std::map<TaskRef, std::string>& remembered_destinations_;
    std::map<TaskRef, std::string> destinations_;
    std::unordered_map<const JobEntry*, ZoneUse> zones_;
    std::unordered_map<const JobEntry*, int> stop_quotas_;
    std::unordered_map<std::string, std::size_t> tasks_placed_on_;  // by machine
    std::vector<ZoneMove> zone_moves_;
    std::vector<TaskRef> placed_tasks_;
    std::vector<const JobEntry*> stops_;
};

class DrainPlanner {
  public:
    DrainPlanner(const DrainSettings& settings, const DrainInput& input, FreeCapacity& capacity,
                 DrainState& state)
        : settings_(settings),
          input_(input),
          capacity_(capacity),
          state_(state),
          trial_(capacity, state.destinations) {}

    DrainResult run() {
        std::erase_if(state_.recent_stops, [&](const auto& stop) {
            return input_.monotonic_now - stop.second >= settings_.recent_stop;
        });
        DrainResult result;
        // Tasks of draining machines, and stopped tasks that have no new machine yet, must fit first.
        result.blocked = !relocate_draining() || !relocate_recently_stopped();
        if (result.blocked) {
            state_.candidate_since.clear();
        } else {
            remember_candidates(find_candidates());
        }
        state_.destinations = trial_.release_destinations();
        if (!result.blocked) choose_machines_to_drain(result);
        return result;
    }

  private:
    // Ordered by use, least used first: releasing empty machines costs nothing. Equally used machines are
    // ordered by price per CPU, most expensive first, since caps and stop quotas may prevent the release of
    // the rest.
    struct EligibleMachine {
        double use_step;
        double negative_price_per_cpu;
        std::string id;
        bool operator<(const EligibleMachine& other) const {
            return std::tie(use_step, negative_price_per_cpu, id) <
                   std::tie(other.use_step, other.negative_price_per_cpu, other.id);
        }
    };

    bool relocate_draining() {
        for (const auto& id : input_.draining) {
            const MachineCapacity* from = capacity_.find(id);
            for (const auto& [ref, recorded] : input_.job_table->on_machine(id)) {
                if (from != nullptr) trial_.remove_from_zone(*recorded.entry, from->zone);
                // Tasks of draining machines are stopped regardless of the quota; the call only counts them.
                (void)trial_.stop(*recorded.entry);
                if (!trial_.relocate(*recorded.entry, ref, id, {})) return false;
            }
        }
        return true;
    }

    bool relocate_recently_stopped() {
        const auto& stops = state_.recent_stops;
        return std::all_of(stops.begin(), stops.end(), [&](const auto& stop) {
            const TaskRef& ref = stop.first;
            const JobEntry* entry = input_.job_table->find(ref.job);
            if (entry == nullptr || !needs_destination(*entry, ref)) return true;
            return trial_.relocate(*entry, ref, "", {});
        });
    }

    bool needs_destination(const JobEntry& entry, const TaskRef& ref) const {
        if (entry.job.cancelled || input_.job_table->open_attempt(ref.job, ref.task) != nullptr) return false;
        const auto chunk = entry.chunks.find(ref.task / kChunkTasks);
        return chunk == entry.chunks.end() || !chunk->second.done.contains(ref.task);
    }

    bool has_no_tasks(const std::string& machine) const {
        return input_.job_table->on_machine(machine).empty();
    }

    bool is_eligible(const MachineCapacity& machine) const {
        if (machine.view == nullptr || machine.draining) return false;
        if (input_.protected_machines.contains(machine.id)) return false;
        // A machine that accepts no new tasks may still be released. An unresponsive machine without tasks is
        // left to failure detection.
        if (!machine.usable && !machine.view->notice_until && has_no_tasks(machine.id)) return false;
        return machine.cpu_utilization() < settings_.use_threshold;
    }

    std::vector<EligibleMachine> eligible_machines() const {
        std::vector<EligibleMachine> eligible;
        for (const auto& machine : capacity_.machines()) {
            if (!is_eligible(machine)) continue;
            const double price_per_cpu = machine.price() / std::max(machine.type->size.cpus, 1.0);
            eligible.push_back(
                {std::round(machine.cpu_utilization() * kUseSteps), -price_per_cpu, machine.id});
        }
        std::sort(eligible.begin(), eligible.end());
        return eligible;
    }

    std::set<std::string> find_candidates() {
        const std::vector<EligibleMachine> eligible = eligible_machines();
        const std::size_t standing = capacity_.machines().size() - input_.draining.size();
        std::set<std::string> candidates;
        for (const auto& machine : eligible) {
            if (input_.out_of_time()) break;
            if (standing - candidates.size() <= settings_.fleet_minimum) break;
            const auto mark = trial_.mark();
            if (can_relocate_all_tasks(machine.id, candidates)) {
                candidates.insert(machine.id);
            } else {
                trial_.revert(mark);
            }
        }
        return candidates;
    }

    // Returns true if all tasks of the machine may be stopped and fit on machines that are not candidates
    // themselves.
    bool can_relocate_all_tasks(const std::string& id, const std::set<std::string>& candidates) {
        // A machine to which this trial has moved tasks is needed.
        if (trial_.is_destination(id)) return false;
        const MachineCapacity* from = capacity_.find(id);
        const RecordedAttempts& attempts = input_.job_table->on_machine(id);
        return std::all_of(attempts.begin(), attempts.end(), [&](const auto& attempt) {
            const JobEntry& entry = *attempt.second.entry;
            if (entry.job.kind == JobKind::gang || !trial_.stop(entry)) return false;
            trial_.remove_from_zone(entry, from->zone);
            return trial_.relocate(entry, attempt.first, id, candidates);
        });
    }

    void remember_candidates(const std::set<std::string>& candidates) {
        std::map<std::string, Micros> since;
        for (const auto& id : candidates) {
            const auto known = state_.candidate_since.find(id);
            since[id] = known == state_.candidate_since.end() ? input_.monotonic_now : known->second;
        }
        state_.candidate_since = std::move(since);
    }

    // Returns the machines that have been candidates for long enough, the most expensive first.
    std::vector<std::string> candidates_due_for_drain() const {
        std::vector<std::string> due;
        for (const auto& [id, since] : state_.candidate_since) {
            if (input_.monotonic_now - since >= settings_.unneeded) due.push_back(id);
        }
        std::stable_sort(due.begin(), due.end(), [&](const std::string& left, const std::string& right) {
            return capacity_.find(left)->price() > capacity_.find(right)->price();
        });
        return due;
    }

    // Chooses machines without tasks first; machines with tasks have an additional cap.
    void choose_machines_to_drain(DrainResult& result) {
        const std::vector<std::string> due = candidates_due_for_drain();
        std::size_t draining = input_.draining.size();
        std::size_t busy = 0;
        for (const auto& id : input_.draining) busy += has_no_tasks(id) ? 0 : 1;
        for (const auto& id : due) {
            if (draining >= settings_.total_cap) break;
            if (!has_no_tasks(id)) continue;
            result.empty.push_back(id);
            ++draining;
        }
        for (const auto& id : due) {
            if (draining >= settings_.total_cap || busy >= settings_.busy_cap) break;
            if (has_no_tasks(id)) continue;
            result.busy.push_back(id);
            ++draining;
            ++busy;
        }
        for (const auto& id : result.empty) state_.candidate_since.erase(id);
        for (const auto& id : result.busy) state_.candidate_since.erase(id);
    }

    const DrainSettings& settings_;
    const DrainInput& input_;
    FreeCapacity& capacity_;
    DrainState& state_;
    MoveTrial trial_;
};

}  // namespace

DrainResult plan_drains(const DrainSettings& settings, const DrainInput& input, FreeCapacity capacity,
                        DrainState& state) {
    return DrainPlanner{settings, input, capacity, state}.run();
}

}  // namespace hatchwind::core
