// The figures of a run, gathered from its events and written as readable text.
//
// How to drive it: add Figures to the run's Recorder; at the end print figures_text() and verdict_text().
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/checker.hpp"

namespace hatchwind::emulator {

/// Times in seconds: exact percentiles, and a histogram over powers of two for the eye.
class TimeSeries {
  public:
    void add(double seconds) { values_.push_back(seconds); }
    std::size_t size() const { return values_.size(); }
    /// `share` from 0 to 1; 0 when there are no values.
    double percentile(double share) const;
    /// One line of percentiles, then a line for each part of the histogram that holds values.
    std::string text(const std::string& name) const;

  private:
    std::vector<double> values_;
};

class Figures : public EventSink {
  public:
    void observe(const Event& event) override;
    /// `spent`: money, as the cloud tells it.
    std::string figures_text(double spent) const;

  private:
    struct ClassFigures {
        std::size_t submitted = 0;
        std::size_t accepted = 0;
        std::size_t done = 0;
        std::size_t cancelled = 0;
        TimeSeries wait;      // first attempt to submit, until the first task runs
        TimeSeries complete;  // until the user is told that it is done
    };
    struct JobTimes {
        std::string job_class;
        Micros submitted_at{};
        bool accepted = false;
        bool begun = false;
        std::optional<JobStatus> end;
        std::optional<Micros> cancelled_at;
    };

    void on(Micros at, const JobSubmitted& event);
    void on(Micros at, const UserAnswer& event);
    void on(Micros at, const TaskPlaced& event);
    void on(Micros at, const TaskStarted& event);
    void on(Micros at, const TaskGone& event);
    void on(Micros at, const MachineUp& event);
    void on(Micros at, const MachineGone& event);
    template <typename Other>
    void on(Micros /*at*/, const Other& /*event*/) {}

    std::map<std::string, ClassFigures> classes_;
    std::map<std::string, JobTimes> jobs_;
    std::map<std::string, std::size_t> answers_;  // by request and status
    std::map<std::string, std::size_t> exits_;    // by reason
    TimeSeries submission_answered_;
    TimeSeries gone_after_cancellation_;
    std::size_t starts_ = 0;
    std::size_t machines_ = 0;
    std::size_t most_machines_ = 0;
    std::size_t machines_ever_ = 0;
};

/// Broken rules with their histories, then the counts; ends with one line that says whether the run is right.
std::string verdict_text(const Checker& checker);
/// No rule broken, and nothing that is counted as a fault.
bool run_is_right(const Checker& checker);

}  // namespace hatchwind::emulator
