/// Whether a submitted job could ever run, by the settings and the cloud's catalog. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/team.hpp"

namespace hatchwind::controller {

/// Why no fleet that the cloud offers could run a job.
enum class Infeasibility : std::uint8_t {
    unknown_team,
    no_machine_type,     ///< no allowed machine type in an allowed zone is large enough for a task
    cannot_be_spread,    ///< a spread gang that has one zone only
    exceeds_team_limit,  ///< tasks that run at once need more than the team may ever use
};

/// The reason as users get it.
std::string infeasibility_text(Infeasibility reason);

/// Nothing for a job that can run, given enough machines and an idle team.
std::optional<Infeasibility> find_infeasibility(const core::Job& job,
                                                const std::map<std::string, core::Team>& teams,
                                                const core::Catalog& catalog);

/// Leaves out machine types that the cloud does not have, and repeats: they add nothing, and a long list
/// would pass the limit on values in the store.
void remove_unknown_types(core::Job& job, const core::Catalog& catalog);

}  // namespace hatchwind::controller
