// Builders shared by the tests.
#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "core/cluster_view.hpp"
#include "core/drain_planner.hpp"
#include "core/job_table.hpp"
#include "core/placement.hpp"
#include "core/scale_out_planner.hpp"

namespace hatchwind::test {

// Runs a rapidcheck property inside a gtest case; the seed comes from RC_PARAMS, so every run is the same.
template <typename F>
void holds(const std::string& what, F&& f) {
    EXPECT_TRUE(rc::check(what, std::forward<F>(f)));
}

inline core::Job job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus) {
    core::Job j;
    j.id = id;
    j.job_class = "c";
    j.team = team;
    j.tasks = tasks;
    j.resources = {cpus, 0, cpus};
    j.image = "img";
    j.image_gb = 1;
    j.estimate_s = 30;
    j.spot = true;
    j.accepted = core::Micros{1'000'000};
    return j;
}

inline core::Catalog catalog() {
    core::Catalog c;
    for (const auto& [name, cpus, price] : {std::tuple{"small", 4.0, 0.2}, std::tuple{"big", 16.0, 0.8}}) {
        core::MachineType t;
        t.name = name;
        t.size = {cpus, 0, cpus * 4};
        t.cache_gb = 20;
        t.price = price;
        t.spot_price = price / 3;
        t.boot = core::Micros{20'000'000};
        t.zones = {"a", "b"};
        c[name] = t;
    }
    return c;
}

inline core::WorkerHeartbeat report(const std::string& machine, const std::string& type,
                                    const std::string& zone, bool spot = false) {
    core::WorkerHeartbeat r;
    r.machine = machine;
    r.address = "127.0.0.1:1";
    r.type = type;
    r.zone = zone;
    r.spot = spot;
    r.incarnation = 1;
    r.heartbeat_sequence = 1;
    r.fencing_token = 1;
    return r;
}

// A small cluster drawn at random: machines, jobs, some of their tasks running.
struct Cluster {
    core::Catalog types = catalog();
    std::map<std::string, core::Team> teams;
    std::vector<core::Objective> objectives;
    core::JobTable job_table;
    core::ClusterView cluster_view;
    core::Micros now{100'000'000};

    core::FreeCapacity free_capacity(const core::Availability* a = nullptr) const {
        core::Availability plain;
        plain.now = now;
        plain.silent_after = core::Micros{10'000'000};
        return core::FreeCapacity::build(cluster_view, job_table, types, a == nullptr ? plain : *a);
    }
};

inline Cluster draw_cluster() {
    Cluster c;
    c.teams["x"] = {"x", 8, 24, 0, 0};
    c.teams["y"] = {"y", 16, 40, 0, 0};
    const int machines = *rc::gen::inRange(1, 9);
    std::map<std::string, core::WorkerHeartbeat> reports;
    std::map<std::string, core::Resources> free;
    for (int i = 0; i < machines; ++i) {
        const std::string id = "n-" + std::to_string(100 + i);
        const bool big = *rc::gen::inRange(0, 3) == 0;
        reports[id] = report(id, big ? "big" : "small", *rc::gen::inRange(0, 2) == 0 ? "a" : "b",
                             *rc::gen::inRange(0, 2) == 0);
        free[id] = c.types.at(reports[id].type).size;
    }
    const int jobs = *rc::gen::inRange(0, 8);
    core::Revision mod_revision = 0;
    for (int k = 0; k < jobs; ++k) {
        auto j = job("req-" + std::to_string(k), *rc::gen::inRange(0, 2) == 0 ? "x" : "y",
                     static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)), *rc::gen::element(1.0, 2.0, 4.0));
        j.kind = *rc::gen::inRange(0, 3) == 0 ? core::JobKind::service : core::JobKind::array;
        j.priority = static_cast<core::Priority>(*rc::gen::inRange(0, 4));
        j.spread = *rc::gen::inRange(0, 3) == 0;
        j.one_zone = !j.spread && *rc::gen::inRange(0, 4) == 0;
        j.spot = *rc::gen::inRange(0, 2) == 0;
        c.job_table.put_job(j, ++mod_revision);
        core::Chunk chunk;
        core::ZoneUse zones;
        for (std::uint32_t t = 0; t < j.tasks; ++t) {
            if (*rc::gen::inRange(0, 2) == 0) continue;
            for (auto& [id, r] : reports) {
                const bool allowed =
                    (j.spot || !r.spot) && zones.allows(j, r.zone) && j.resources.fits_in(free[id]);
                core::Resources use = c.job_table.team_use(j.team);
                use += j.resources * static_cast<double>(chunk.open.size() + 1);
                if (!allowed || use.cpus > c.teams[j.team].cpus_max) continue;
                free[id] -= j.resources;
                zones.add(r.zone);
                chunk.open[t] = {1, id, 1};
                chunk.last_attempt = 1;
                core::TaskStatus tr;
                tr.job = j.id;
                tr.task = t;
                tr.attempt = 1;
                tr.state = core::TaskState::running;
                r.tasks.push_back(tr);
                break;
            }
        }
        chunk.mod_revision = ++mod_revision;
        if (!chunk.open.empty()) c.job_table.put_chunk(j.id, 0, chunk);
    }
    for (const auto& [id, r] : reports) c.cluster_view.apply(r, c.now, c.now);
    return c;
}

}  // namespace hatchwind::test
