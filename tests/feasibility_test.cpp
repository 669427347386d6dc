// Which submissions could never run, whatever the fleet.
#include "api/feasibility.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace hatchwind {
namespace {

using controller::find_infeasibility;
using controller::Infeasibility;

std::map<std::string, core::Team> teams() { return {{"x", {"x", 8, 16, 0, 0}}}; }

std::optional<Infeasibility> infeasibility(const core::Job& job) {
    return find_infeasibility(job, teams(), test::catalog());
}

TEST(Feasibility, AJobThatFitsAMachineAndItsTeamCanRun) {
    EXPECT_EQ(infeasibility(test::job("req-1", "x", 100, 4)), std::nullopt);
}

TEST(Feasibility, ATeamThatTheSettingsDoNotNameIsUnknown) {
    EXPECT_EQ(infeasibility(test::job("req-1", "y", 1, 1)), Infeasibility::unknown_team);
}

TEST(Feasibility, ATaskLargerThanEveryAllowedMachineFitsNone) {
    EXPECT_EQ(infeasibility(test::job("req-1", "x", 1, 17)), Infeasibility::no_machine_type);
    core::Job small_only = test::job("req-1", "x", 1, 5);
    small_only.types = {"small"};
    EXPECT_EQ(infeasibility(small_only), Infeasibility::no_machine_type);
    core::Job elsewhere = test::job("req-1", "x", 1, 1);
    elsewhere.zone = "z";
    EXPECT_EQ(infeasibility(elsewhere), Infeasibility::no_machine_type);
}

TEST(Feasibility, ASpreadGangNeedsTwoZones) {
    core::Job gang = test::job("req-1", "x", 4, 1);
    gang.kind = core::JobKind::gang;
    gang.spread = true;
    EXPECT_EQ(infeasibility(gang), std::nullopt);
    gang.zone = "a";
    EXPECT_EQ(infeasibility(gang), Infeasibility::cannot_be_spread);
}

TEST(Feasibility, OnlyTasksThatRunAtOnceCountTogetherAgainstTheTeamsLimit) {
    core::Job job = test::job("req-1", "x", 5, 4);
    EXPECT_EQ(infeasibility(job), std::nullopt) << "tasks of an array may run one after the other";
    job.kind = core::JobKind::gang;
    EXPECT_EQ(infeasibility(job), Infeasibility::exceeds_team_limit);
    job.tasks = 4;
    EXPECT_EQ(infeasibility(job), std::nullopt) << "just the limit";
}

TEST(Feasibility, UsersGetTheseTexts) {
    EXPECT_EQ(infeasibility_text(Infeasibility::unknown_team), "unknown team");
    EXPECT_EQ(infeasibility_text(Infeasibility::no_machine_type), "fits no allowed machine type");
    EXPECT_EQ(infeasibility_text(Infeasibility::cannot_be_spread), "can not be spread");
    EXPECT_EQ(infeasibility_text(Infeasibility::exceeds_team_limit), "needs more than the team's limit");
}

TEST(Feasibility, UnknownAndRepeatedMachineTypesAreLeftOut) {
    core::Job job = test::job("req-1", "x", 1, 1);
    controller::remove_unknown_types(job, test::catalog());
    EXPECT_EQ(job.types, std::nullopt);
    job.types = {"big", "huge", "small", "big"};
    controller::remove_unknown_types(job, test::catalog());
    EXPECT_EQ(job.types, (std::vector<std::string>{"big", "small"}));
}

}  // namespace
}  // namespace hatchwind
