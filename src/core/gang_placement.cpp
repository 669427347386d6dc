#include "core/gang_placement.hpp"

#include <string>
#include <utility>
#include <vector>

namespace hatchwind::core {

namespace {

// Excludes whole zones from the search; the destructor makes their machines usable again.
class ZoneExclusion {
  public:
    explicit ZoneExclusion(FreeCapacity& capacity) : capacity_(capacity) {}
    ZoneExclusion(const ZoneExclusion&) = delete;
    ZoneExclusion& operator=(const ZoneExclusion&) = delete;
    ~ZoneExclusion() {
        for (MachineCapacity* machine : excluded_) machine->usable = true;
    }
    void exclude(const std::string& zone) {
        for (auto& machine : capacity_.machines()) {
            if (machine.zone != zone || !machine.usable) continue;
            machine.usable = false;
            excluded_.push_back(&machine);
        }
    }

  private:
    FreeCapacity& capacity_;
    std::vector<MachineCapacity*> excluded_;
};

}  // namespace

void GangPlacement::place(const JobEntry& entry) {
    if (entry.done != 0) {
        // If one task is done, all are: a task that was lost before it could report its end exits as soon as
        // it is restarted.
        tasks_.place_all(entry);
    } else if (entry.open != 0) {
        replace_lost_tasks(entry);
    } else {
        start_all_or_none(entry);
    }
}

bool GangPlacement::start_on_best_machine(const JobEntry& entry, ZoneUse& zones, std::uint32_t task,
                                          std::uint64_t attempt) {
    const auto machine = search_.best(entry, zones, task);
    if (!machine) return false;
    zones.add(trial_.capacity().machines()[*machine].zone);
    trial_.start(entry, task, attempt, *machine);
    return true;
}

bool GangPlacement::start_all_tasks(const JobEntry& entry, ZoneUse& zones) {
    const std::uint64_t attempt = entry.last_attempt() + 1;
    for (std::uint32_t task = 0; task < entry.job.tasks; ++task) {
        if (!start_on_best_machine(entry, zones, task, attempt)) return false;
    }
    return true;
}

void GangPlacement::start_all_or_none(const JobEntry& entry) {
    if (!trial_.within_limit(entry.job, entry.job.tasks)) return;
    ZoneExclusion exclusion{trial_.capacity()};
    const auto savepoint = trial_.savepoint(entry.job.team);
    while (true) {
        ZoneUse zones;
        if (start_all_tasks(entry, zones)) return;
        trial_.roll_back(savepoint);
        if (!entry.job.one_zone || zones.by_zone.empty()) return;
        // The zone of the first task is too small: retry without it.
        exclusion.exclude(zones.by_zone.begin()->first);
    }
}

std::optional<std::uint64_t> GangPlacement::unstarted_attempt(const JobEntry& entry) const {
    std::uint64_t number = 0;
    for (const auto& [index, chunk] : entry.chunks) {
        for (const auto& [task, attempt] : chunk.open) {
            number = attempt.number;
            const auto view = view_attempt(*trial_.input().cluster_view, entry.job.id, task, attempt);
            const bool not_ended =
                view.status == AttemptStatus::live || view.status == AttemptStatus::unlisted;
            const bool not_begun = view.state == TaskState::fetching || view.state == TaskState::waiting;
            if (!not_ended || !not_begun) return std::nullopt;
        }
    }
    return number;
}

void GangPlacement::replace_lost_tasks(const JobEntry& entry) {
    const auto attempt = unstarted_attempt(entry);
    if (!attempt) return;
    ZoneUse zones = ZoneUse::of(entry, trial_.capacity());
    for (const std::uint32_t task : unstarted_tasks(entry, entry.job.tasks)) {
        if (!trial_.within_limit(entry.job)) return;
        if (!start_on_best_machine(entry, zones, task, *attempt)) return;
    }
}

}  // namespace hatchwind::core
