#include "api/feasibility.hpp"

#include <set>

#include "core/resources.hpp"

namespace hatchwind::controller {

namespace {

// Allowed zones that offer a machine type large enough for one task of the job.
std::set<std::string> feasible_zones(const core::Job& job, const core::Catalog& catalog) {
    std::set<std::string> zones;
    for (const auto& [name, type] : catalog) {
        if (!job.allows_type(name) || !job.resources.fits_in(type.size)) continue;
        for (const auto& zone : type.zones) {
            if (!job.zone || *job.zone == zone) zones.insert(zone);
        }
    }
    return zones;
}

bool exceeds_limit(const core::Job& job, const core::Team& team) {
    // Tasks of an array may run one after the other; those of other jobs run at once.
    const double concurrent_tasks = job.kind == core::JobKind::array ? 1.0 : static_cast<double>(job.tasks);
    return job.resources.cpus * concurrent_tasks > team.cpus_max + core::kResourceTolerance ||
           job.resources.gpus * concurrent_tasks > team.gpus_max + core::kResourceTolerance;
}

}  // namespace

std::string infeasibility_text(Infeasibility reason) {
    switch (reason) {
        case Infeasibility::unknown_team:
            return "unknown team";
        case Infeasibility::no_machine_type:
            return "fits no allowed machine type";
        case Infeasibility::cannot_be_spread:
            return "can not be spread";
        case Infeasibility::exceeds_team_limit:
            return "needs more than the team's limit";
    }
    return "";
}

std::optional<Infeasibility> find_infeasibility(const core::Job& job,
                                                const std::map<std::string, core::Team>& teams,
                                                const core::Catalog& catalog) {
    const auto team = teams.find(job.team);
    if (team == teams.end()) return Infeasibility::unknown_team;
    const std::set<std::string> zones = feasible_zones(job, catalog);
    if (zones.empty()) return Infeasibility::no_machine_type;
    // All tasks of a gang run at once; of other jobs as many may run as one zone takes.
    const bool one_zone = job.one_zone || zones.size() == 1;
    if (job.kind == core::JobKind::gang && one_zone && job.max_tasks_per_zone() < job.tasks)
        return Infeasibility::cannot_be_spread;
    if (exceeds_limit(job, team->second)) return Infeasibility::exceeds_team_limit;
    return std::nullopt;
}

void remove_unknown_types(core::Job& job, const core::Catalog& catalog) {
    if (!job.types) return;
    std::set<std::string> kept;
    std::erase_if(*job.types, [&](const std::string& type) {
        return !catalog.contains(type) || !kept.insert(type).second;
    });
}

}  // namespace hatchwind::controller
