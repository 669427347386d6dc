// What the checker remembers of one job: its answers, its tasks on machines, and a short readable history.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/events.hpp"

namespace hatchwind::emulator {

/// One line of a history.
struct HistoryLine {
    Micros at{};
    std::optional<std::uint32_t> task;  // none: concerns the job as a whole
    std::string text;
};

/// Keeps the newest lines of a job; the first ones (submission, acceptance) are kept apart and never dropped.
class History {
  public:
    void add(Micros at, std::optional<std::uint32_t> task, std::string text);
    /// Lines about the job and, when given, that task only; oldest first, each with its time in seconds.
    std::vector<std::string> lines(std::optional<std::uint32_t> task) const;

  private:
    static constexpr std::size_t kept_first = 8;
    static constexpr std::size_t kept_newest = 120;
    std::vector<HistoryLine> first_;
    std::deque<HistoryLine> newest_;
};

/// Where a task is, one entry for each machine that holds it.
struct Placement {
    std::string machine;
    std::string zone;
    std::uint64_t attempt = 0;
    bool running = false;
};

/// A job and all that was told about it.
struct JobRecord {
    JobSpec spec;
    JobValidity validity = JobValidity::valid;
    Micros submitted_at{};
    std::optional<Micros> accepted_told_at;
    std::optional<Micros> cancel_asked_at;
    std::optional<Micros> cancelled_told_at;
    std::optional<Micros> done_told_at;
    std::optional<Micros> first_begun_at;  // an array's or service's first task, a gang's last one, runs
    std::uint32_t running = 0;             // tasks that make progress
    std::vector<bool> completed;
    std::uint32_t completed_count = 0;
    std::map<std::uint32_t, std::vector<Placement>> on_machines;
    std::map<std::string, std::uint32_t> per_zone;  // tasks on machines
    std::map<std::uint32_t, std::uint32_t> held;    // tasks with a claim on a machine, counted by claims
    std::optional<Micros> unanswered_since;         // sending of the first question without an answer
    std::uint32_t unanswered = 0;                   // questions without an answer since then
    std::optional<Micros> waiting_since;            // a fitting machine has had room all along
    bool waited_too_long = false;
    History history;

    /// All its tasks have completed; never true of a service.
    bool work_complete() const { return completed_count == spec.tasks; }
    /// Its user has been told that it is over.
    bool over() const { return cancelled_told_at.has_value() || done_told_at.has_value(); }
};

}  // namespace hatchwind::emulator
