/// Candidate search: ranks the machines that can take a task now, best first (bin packing).
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Rank of a machine for a task; lower is better. The fields are compared in order: drain candidates come
/// last; then the image fetch time counts, the longest part of a start; then jobs that may run on spot
/// machines prefer them, since fewer jobs can use those; then the tightest fit.
struct CandidateScore {
    bool drain_candidate = false;
    int image_fetch_s = 0;
    bool kind_mismatch = false;  ///< a spot machine for a non-spot job, or the reverse
    double cpus_left = 0;
    std::size_t machine = 0;  ///< position in the free capacity
    // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
    friend auto operator<=>(const CandidateScore&, const CandidateScore&) = default;
};

/// Searches the free capacity of one placement pass.
class CandidateSearch {
  public:
    explicit CandidateSearch(const PlacementTrial& trial) : trial_(trial) {}

    /// Estimates the seconds until the job's image is on the machine.
    double image_fetch_s(const Job& job, const MachineCapacity& machine) const;
    /// Returns the position of the best machine for this task that the job's zone rules allow, or nullopt if
    /// there is none.
    std::optional<std::size_t> best(const JobEntry& entry, const ZoneUse& zones, std::uint32_t task) const;
    /// Returns all machines with free capacity for a task of the job, best first. Zone rules are not checked.
    std::vector<CandidateScore> ranked(const Job& job);

  private:
    CandidateScore score(const Job& job, std::size_t machine) const;

    const PlacementTrial& trial_;
    // Free capacity only shrinks within a pass, so a shape that had no candidate will not have one later.
    std::set<Shape> without_capacity_;
};

}  // namespace hatchwind::core
