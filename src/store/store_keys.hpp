/// Keys of the controllers' records in the store.
#pragma once

#include <string>
#include <string_view>

#include "core/job_table.hpp"

namespace hatchwind::controller::keys {

/// Prefix of all keys that the replica contains.
constexpr const char* kRoot = "h/";
/// The epoch: the leader, the members and the owner of each shard.
constexpr const char* kEpoch = "h/epoch";
/// The machines that are being drained.
constexpr const char* kDraining = "h/draining";
/// Never written: reading it returns the store's current revision.
constexpr const char* kReadIndex = "h/~";
constexpr std::string_view kJobPrefix = "h/job/";
constexpr std::string_view kAttemptPagePrefix = "h/run/";
constexpr std::string_view kMemberPrefix = "h/node/";
constexpr std::string_view kDependencyListPrefix = "h/awaits/";
constexpr std::string_view kFinalPrefix = "f/";

/// The record of a member, by its label; it is deleted when the member's store lease expires.
inline std::string member(const std::string& label) { return std::string(kMemberPrefix) + label; }
/// The record of an unfinished job.
inline std::string job(const std::string& id) { return std::string(kJobPrefix) + id; }
/// A page of recorded attempts.
inline std::string page(const core::AttemptPageKey& key) {
    return std::string(kAttemptPagePrefix) + key.team + "/" + std::to_string(key.number);
}
/// A part of a dependency list that is too long for the record of its job.
inline std::string dependency_part(const std::string& job, const std::string& list, std::uint32_t part) {
    return std::string(kDependencyListPrefix) + job + "/" + list + "/" + std::to_string(part);
}
/// The final state of a job. Not part of the replica: final states are read on demand.
inline std::string final(const std::string& id) { return std::string(kFinalPrefix) + id; }

}  // namespace hatchwind::controller::keys
