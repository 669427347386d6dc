// The rented machines as the cloud lists them, and those that this leader has rented since.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/model.hpp"
#include "core/scale_out_planner.hpp"
#include "scaling/cloud_client.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

struct KnownInstance {
    core::Instance instance;
    io::Micros rented{0};  // steady: when it was asked for, as far as known
    io::Micros seen{0};    // steady: last time that a list showed it
    bool listed = false;
};

class InstanceInventory {
  public:
    using Listed = std::map<std::string, core::Instance>;

    InstanceInventory(const Settings& settings, const std::optional<core::Catalog>& catalog,
                      const WorkerStatus& workers, CloudClient& cloud)
        : settings_(settings), catalog_(catalog), workers_(workers), cloud_(cloud) {}

    struct Reading {
        Listed instances;
        bool whole = false;  // no page is missing
    };
    // The list, page by page, as far as pages could be had.
    io::Task<Reading> read();
    void take(const Listed& listed);
    void add_requested(const std::string& machine, const core::InstancePool& pool);
    // Returns the pool that the machine was rented from, when it was known.
    std::optional<core::InstancePool> remove(const std::string& machine);
    void clear() { known_.clear(); }

    bool contains(const std::string& machine) const { return known_.contains(machine); }
    // Rented machines that are still to come up.
    std::vector<core::Instance> booting(io::Micros now) const;
    // Machines that never came up, and those that the cloud calls failed.
    std::vector<std::string> failed(io::Micros now, bool long_term) const;

  private:
    io::Micros boot_time(const KnownInstance& known) const;
    bool overdue(const KnownInstance& known, io::Micros now) const;
    bool never_came_up(const KnownInstance& known, io::Micros now) const;
    bool is_gone(const std::string& machine, const KnownInstance& known, const Listed& listed,
                 io::Micros now) const;

    const Settings& settings_;
    const std::optional<core::Catalog>& catalog_;
    const WorkerStatus& workers_;
    CloudClient& cloud_;
    std::map<std::string, KnownInstance> known_;
};

}  // namespace hatchwind::controller
