/// Builders shared by unit tests: jobs, machines, heartbeats and small clusters. All times come from one
/// simulated clock that starts at an arbitrary value and advances only when the test sets it.
#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

#include "core/cluster_view.hpp"
#include "core/drain_planner.hpp"
#include "core/job_table.hpp"
#include "core/placement.hpp"
#include "core/scale_out_planner.hpp"

namespace hatchwind::test {

/// Checks a RapidCheck property within a GoogleTest case. The seed comes from RC_PARAMS, which makes runs
/// reproducible.
template <typename Property>
void check_property(const std::string& description, Property&& property) {
    EXPECT_TRUE(rc::check(description, std::forward<Property>(property)));
}

/// Builds a job array. Each task requests as many gigabytes as CPUs and may run on spot instances.
inline core::Job job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus) {
    core::Job built;
    built.id = id;
    built.job_class = "c";
    built.team = team;
    built.tasks = tasks;
    built.resources = {cpus, 0, cpus};
    built.image = "img";
    built.image_gb = 1;
    built.estimate_s = 30;
    built.spot = true;
    built.accepted = core::Micros{1'000'000};
    return built;
}

/// Builds a catalog with the machine types "small" (4 CPUs) and "big" (16 CPUs), both in the zones "a" and
/// "b".
inline core::Catalog catalog() {
    core::Catalog types;
    for (const auto& [name, cpus, price] : {std::tuple{"small", 4.0, 0.2}, std::tuple{"big", 16.0, 0.8}}) {
        core::MachineType type;
        type.name = name;
        type.size = {cpus, 0, cpus * 4};
        type.cache_gb = 20;
        type.price = price;
        type.spot_price = price / 3;
        type.boot = core::Micros{20'000'000};
        type.zones = {"a", "b"};
        types[name] = type;
    }
    return types;
}

/// Builds the first heartbeat of a machine without tasks.
inline core::WorkerHeartbeat heartbeat(const std::string& machine, const std::string& type,
                                       const std::string& zone, bool spot = false) {
    core::WorkerHeartbeat built;
    built.machine = machine;
    built.address = "127.0.0.1:1";
    built.type = type;
    built.zone = zone;
    built.spot = spot;
    built.incarnation = 1;
    built.heartbeat_sequence = 1;
    built.fencing_token = 1;
    return built;
}

/// Builds the status of an attempt as listed in a heartbeat.
inline core::TaskStatus task_status(const std::string& job, std::uint32_t task, std::uint64_t attempt,
                                    core::TaskState state = core::TaskState::running) {
    core::TaskStatus status;
    status.job = job;
    status.task = task;
    status.attempt = attempt;
    status.state = state;
    return status;
}

/// The state of a single controller that owns the shards of all teams.
struct Cluster {
    core::Catalog types = catalog();
    std::map<std::string, core::Team> teams;
    std::vector<core::Objective> objectives;
    core::JobTable job_table;
    core::ClusterView cluster_view;
    core::Micros now{100'000'000};  ///< of the monotonic and the wall clock

    /// Returns the free capacity of all machines under the given availability. By default, machines without a
    /// heartbeat for 10 s are unresponsive.
    core::FreeCapacity free_capacity(const core::Availability* availability = nullptr) const {
        core::Availability default_availability;
        default_availability.now = now;
        default_availability.unresponsive_after = core::Micros{10'000'000};
        return core::FreeCapacity::build(cluster_view, job_table, types,
                                         availability == nullptr ? default_availability : *availability);
    }
};

/// Builds the input of a placement pass over all teams. The cluster and `pipelines` must outlive it.
inline core::PlacementInput placement_input(const Cluster& cluster,
                                            const core::PipelineSchedule* pipelines = nullptr) {
    core::PlacementInput input;
    input.job_table = &cluster.job_table;
    input.cluster_view = &cluster.cluster_view;
    input.teams = &cluster.teams;
    input.objectives = &cluster.objectives;
    input.pipelines = pipelines;
    for (const auto& [name, team] : cluster.teams) input.own_teams.insert(name);
    input.now = cluster.now;
    input.wall_clock_now = cluster.now;
    return input;
}

/// Builds the input of the leader's scale-out plan. The cluster and `pipelines` must outlive it.
inline core::ScaleOutInput scale_out_input(const Cluster& cluster,
                                           const core::PipelineSchedule* pipelines = nullptr) {
    core::ScaleOutInput input;
    input.job_table = &cluster.job_table;
    input.cluster_view = &cluster.cluster_view;
    input.catalog = &cluster.types;
    input.teams = &cluster.teams;
    input.objectives = &cluster.objectives;
    input.pipelines = pipelines;
    input.monotonic_now = cluster.now;
    input.wall_clock_now = cluster.now;
    return input;
}

/// Draws a random small cluster: machines, jobs and running tasks that respect all placement constraints.
class ClusterGenerator {
  public:
    Cluster draw() {
        cluster_.teams["x"] = {"x", 8, 24, 0, 0};
        cluster_.teams["y"] = {"y", 16, 40, 0, 0};
        const int machines = *rc::gen::inRange(1, 9);
        for (int i = 0; i < machines; ++i) draw_machine("n-" + std::to_string(100 + i));
        const int jobs = *rc::gen::inRange(0, 8);
        for (int i = 0; i < jobs; ++i) draw_tasks(draw_job("req-" + std::to_string(i)));
        for (const auto& [id, machine] : machines_)
            cluster_.cluster_view.apply(machine.heartbeat, cluster_.now, cluster_.now);
        return std::move(cluster_);
    }

  private:
    struct Machine {
        core::WorkerHeartbeat heartbeat;
        core::Resources free;
    };

    void draw_machine(const std::string& id) {
        const std::string type = *rc::gen::inRange(0, 3) == 0 ? "big" : "small";
        const bool spot = *rc::gen::inRange(0, 2) == 0;
        const std::string zone = *rc::gen::inRange(0, 2) == 0 ? "a" : "b";
        machines_[id] = {heartbeat(id, type, zone, spot), cluster_.types.at(type).size};
    }

    core::Job draw_job(const std::string& id) {
        const double cpus = *rc::gen::element(1.0, 2.0, 4.0);
        const auto tasks = static_cast<std::uint32_t>(*rc::gen::inRange(1, 7));
        const std::string team = *rc::gen::inRange(0, 2) == 0 ? "x" : "y";
        core::Job drawn = job(id, team, tasks, cpus);
        drawn.kind = *rc::gen::inRange(0, 3) == 0 ? core::JobKind::service : core::JobKind::array;
        drawn.priority = static_cast<core::Priority>(*rc::gen::inRange(0, 4));
        drawn.spread = *rc::gen::inRange(0, 3) == 0;
        drawn.one_zone = !drawn.spread && *rc::gen::inRange(0, 4) == 0;
        drawn.spot = *rc::gen::inRange(0, 2) == 0;
        cluster_.job_table.put_job(drawn, ++revision_);
        return drawn;
    }

    void draw_tasks(const core::Job& job) {
        core::Chunk chunk;
        core::ZoneUse zones;
        for (std::uint32_t task = 0; task < job.tasks; ++task) {
            if (*rc::gen::inRange(0, 2) == 0) continue;
            place_on_first_allowed_machine(job, task, chunk, zones);
        }
        chunk.mod_revision = ++revision_;
        if (!chunk.open.empty()) cluster_.job_table.put_chunk(job.id, 0, chunk);
    }

    void place_on_first_allowed_machine(const core::Job& job, std::uint32_t task, core::Chunk& chunk,
                                        core::ZoneUse& zones) {
        core::Resources team_use = cluster_.job_table.team_use(job.team);
        team_use += job.resources * static_cast<double>(chunk.open.size() + 1);
        if (team_use.cpus > cluster_.teams[job.team].cpus_max) return;
        for (auto& [id, machine] : machines_) {
            const bool allowed = (job.spot || !machine.heartbeat.spot) &&
                                 zones.allows(job, machine.heartbeat.zone) &&
                                 job.resources.fits_in(machine.free);
            if (!allowed) continue;
            machine.free -= job.resources;
            zones.add(machine.heartbeat.zone);
            chunk.open[task] = {1, id, 1};
            chunk.last_attempt = 1;
            machine.heartbeat.tasks.push_back(task_status(job.id, task, 1));
            return;
        }
    }

    Cluster cluster_;
    std::map<std::string, Machine> machines_;
    core::Revision revision_ = 0;
};

/// Draws a cluster with ClusterGenerator. Only for use within a RapidCheck property.
inline Cluster draw_cluster() { return ClusterGenerator().draw(); }

}  // namespace hatchwind::test
