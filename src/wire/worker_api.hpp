/// Messages between controllers and workers: heartbeats with the status of tasks, and commands.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model.hpp"
#include "wire/cbor.hpp"
#include "wire/decoded.hpp"

namespace hatchwind::wire {

/// A worker's heartbeat. Causes of exit that this version does not know count as errors of the task.
Decoded<core::WorkerHeartbeat> parse_worker_heartbeat(const Json& body);

/// The response to a heartbeat: the fencing token (number of the epoch), and commands to run at once.
Json heartbeat_response(std::uint64_t fencing_token, const std::vector<core::WorkerCommand>& commands = {});
/// A request that sends commands to one incarnation of a worker.
Json commands_request(std::uint64_t fencing_token, std::uint64_t incarnation,
                      const std::vector<core::WorkerCommand>& commands);
/// The response that sends a worker to another controller; empty without one to name.
Json redirect_response(const std::string& label);

}  // namespace hatchwind::wire
