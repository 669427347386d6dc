/// Messages of the user API: submissions, and responses about jobs.
#pragma once

#include <cstdint>
#include <string>

#include "core/model.hpp"
#include "wire/cbor.hpp"
#include "wire/decoded.hpp"
#include "wire/job_status.hpp"

namespace hatchwind::wire {

/// The submitted job, or the first field that is wrong. Job ids among the dependencies are sorted and without
/// repeats; whether teams, machine types and other jobs exist is not checked here.
Decoded<core::Job> parse_submission(const Json& body);

/// The id in a submission, whether or not the rest of it can be read; empty without one.
std::string submitted_id(const Json& body);

/// A response that tells the status of a job.
Json job_answer(const std::string& id, JobStatus status);
/// The same with the numbers of its tasks that are done and that run.
Json job_answer(const std::string& id, JobStatus status, std::uint32_t done, std::uint32_t running);

/// A response that tells why a request was refused. The text is for people.
Json error_answer(const std::string& reason);
/// The same for a submission that could not be decoded: names the field.
Json error_answer(const DecodeError& error);

}  // namespace hatchwind::wire
