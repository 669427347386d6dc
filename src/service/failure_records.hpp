// Failures of jobs and machines, and the backoff that follows from them.
#pragma once

#include <map>
#include <set>
#include <string>

#include "service/node.hpp"
#include "service/open_attempt.hpp"

namespace hatchwind::service {

class FailureRecords {
  public:
    explicit FailureRecords(const Node& node) : node_(node) {}

    void note_exit(const OpenAttempt& open, core::ExitCause cause);
    // Until when each job's tasks are not tried; steady.
    std::map<std::string, io::Micros> job_backoff() const;
    // Until when machines take no tasks of this owner; steady, only what is still to come.
    std::map<std::string, io::Micros> machine_backoff(io::Micros now) const;
    // Drops jobs that are over and machines that are gone.
    void forget_gone();

  private:
    struct FailureRecord {
        int errors = 0;
        io::Micros until{0};           // steady
        std::set<std::string> others;  // a job's machines, a machine's jobs
    };
    void note_error(const OpenAttempt& open, FailureRecord& machine, io::Micros now);

    const Node& node_;
    std::map<std::string, FailureRecord> machines_;
    std::map<std::string, FailureRecord> jobs_;
};

}  // namespace hatchwind::service
