/// The cluster's instances: those that the cloud lists, and those that this leader has requested since.
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

/// Written by the leader's scaling duties alone, and cleared when a term starts. Times are monotonic. The
/// cloud's list lags behind by up to `list_lag_s` of the settings, so an instance that it doesn't show is not
/// gone at once.
class InstanceInventory {
  public:
    /// Instances that one page of the cloud's list shows at most.
    static constexpr std::size_t kPageSize = 500;

    /// Keys are machine ids.
    using InstancesByMachine = std::map<std::string, core::Instance>;

    /// What could be had of the cloud's list.
    struct Listing {
        InstancesByMachine instances;
        bool complete = false;  ///< no page is missing
    };

    InstanceInventory(const Settings& settings, const std::optional<core::Catalog>& catalog,
                      const WorkerStatus& workers, CloudClient& cloud)
        : settings_(settings), catalog_(catalog), workers_(workers), cloud_(cloud) {}

    /// Reads the cloud's list, page by page, up to the first page that can't be had. Changes nothing here.
    io::Task<Listing> fetch();
    /// Applies a complete list: adds new instances and removes those that have ended.
    void apply(const InstancesByMachine& listed);
    /// Adds a machine that the cloud has just granted.
    void add_requested(const std::string& machine, const core::InstancePool& pool);
    /// Removes a released machine. Returns its pool, or nothing if the machine is not known.
    std::optional<core::InstancePool> remove(const std::string& machine);
    /// Forgets all instances, at the start of a term.
    void clear() { known_.clear(); }

    /// Returns true if the cloud lists the machine or is expected to list it soon.
    bool contains(const std::string& machine) const { return known_.contains(machine); }
    /// Returns instances that have sent no heartbeat and may still be booting. Requires the catalog.
    std::vector<core::Instance> booting(io::Micros monotonic_now) const;
    /// Returns the machines whose instances the cloud lists as failed.
    std::vector<std::string> failed() const;
    /// Returns machines that have sent no heartbeat long after their boot time, as far as this controller
    /// knows: a new leader may not have received their heartbeats yet. Requires the catalog.
    std::vector<std::string> never_booted(io::Micros monotonic_now) const;

  private:
    struct KnownInstance {
        core::Instance instance;
        io::Micros requested_at{0};    // as far as the cloud's list tells; 0: only just added
        io::Micros last_listed_at{0};  // when a list last showed it
        bool was_listed = false;
    };

    io::Micros boot_time(const KnownInstance& known) const;
    bool has_sent_heartbeat(const std::string& machine) const;
    bool is_gone(const std::string& machine, const KnownInstance& known, const InstancesByMachine& listed,
                 io::Micros monotonic_now) const;

    const Settings& settings_;
    const std::optional<core::Catalog>& catalog_;
    const WorkerStatus& workers_;
    CloudClient& cloud_;
    std::map<std::string, KnownInstance> known_;  // by machine
};

}  // namespace hatchwind::controller
