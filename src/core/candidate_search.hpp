/// Candidate search: which machines may take a task now, best first (bin packing).
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// How well a machine suits a task; lower is better. Candidates of the drain planner come last; then the
/// image fetch counts, which is the longest part of a start; then the kind of machine that fewer jobs may
/// use, then the tightest fit.
struct CandidateScore {
    bool drain_candidate = false;
    int image_fetch_s = 0;
    bool other_kind = false;  ///< a spot machine for an ordinary job, or the reverse
    double cpus_left = 0;
    std::size_t machine = 0;  ///< its position in the free capacity
    // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
    friend auto operator<=>(const CandidateScore&, const CandidateScore&) = default;
};

/// Searches the free capacity of one placement pass.
class CandidateSearch {
  public:
    explicit CandidateSearch(const PlacementTrial& trial) : trial_(trial) {}

    /// Estimate in seconds until the job's image would be on the machine.
    double image_fetch_s(const Job& job, const MachineCapacity& machine) const;
    /// Position of the best machine for this task that its zone rules allow; none when there is none.
    std::optional<std::size_t> best(const JobEntry& entry, const ZoneUse& zones, std::uint32_t task) const;
    /// All machines with free capacity for a task of the job, its zone rules apart, best first.
    std::vector<CandidateScore> ranked(const Job& job);

  private:
    CandidateScore score(const Job& job, std::size_t machine) const;

    const PlacementTrial& trial_;
    // Free capacity only shrinks within a pass: a shape that had no candidate has none now.
    std::set<Shape> without_capacity_;
};

}  // namespace hatchwind::core
