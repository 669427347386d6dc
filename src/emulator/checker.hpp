// Holds the protocol's rules against a whole run. Pure: it is told events with their times and asks nobody.
//
// How to drive it: add it to the run's Recorder; call advance() about once a simulated second (rules about
// time that passes without an event), finish() at the end, and read violations() and counts(). A run is right
// when violations() is empty and counts().clean().
#pragma once

#include <deque>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "emulator/job_history.hpp"

namespace hatchwind::emulator {

enum class Rule : std::uint8_t {
    ran_twice,
    quota,
    wrong_place,
    ran_cancelled,
    forgotten,
    invented,
    not_done,
    went_back,
    nothing_ran
};
const char* rule_name(Rule rule);

/// A broken rule, with the history of the job (and task) concerned.
struct Violation {
    Rule rule = Rule::nothing_ran;
    Micros at{};
    std::string job;
    std::string text;
    std::vector<std::string> history;
};

/// What the checker has to know of the deployment.
struct CheckerRules {
    std::map<std::string, TeamLimit> teams;
    Micros cancel_time{};                    // `cancel_s`
    Micros forgotten_after{90'000'000};      // every question fails while most others are answered
    Micros forgotten_when_over{75'000'000};  // no question is answered, all troubles over
    Micros waiting_limit{90'000'000};        // a fitting machine has room, all troubles over
    Micros begin_within{240'000'000};        // a job that begins later was not served
    double largest_share = 0.1;              // the largest jobs of a class
    std::size_t fewest_judged = 3;           // groups of fewer jobs are not judged
};

/// Faults that are counted rather than named one by one.
struct CheckerCounts {
    std::size_t starts_after_cancellation = 0;
    std::size_t unfit_accepted = 0;          // jobs that can't run or lack a field
    std::vector<std::string> waiting;        // jobs left waiting although a machine had room
    std::vector<std::string> poorly_served;  // classes, teams, largest jobs served by less than half
    std::size_t jobs = 0;                    // valid ones
    std::size_t starts = 0;

    bool clean() const {
        return starts_after_cancellation == 0 && unfit_accepted == 0 && waiting.empty() &&
               poorly_served.empty();
    }
};

class Checker : public EventSink {
  public:
    explicit Checker(CheckerRules rules) : rules_(std::move(rules)) {}

    void observe(const Event& event) override;
    /// Rules that time alone breaks. `now` must not go back.
    void advance(Micros now);
    /// The end of the run: who was served, and whether anything ran.
    void finish(Micros end);

    const std::vector<Violation>& violations() const { return violations_; }
    const CheckerCounts& counts() const { return counts_; }

  private:
    struct MachineRecord {
        std::string type;
        std::string zone;
        bool spot = false;
        Resources free;
        std::set<std::string> unusable_for;  // reasons
    };
    struct PollOutcome {
        Micros at{};
        bool answered = false;
    };
    struct CancelDeadline {
        Micros at{};
        std::string job;
        friend bool operator>(const CancelDeadline& a, const CancelDeadline& b) { return a.at > b.at; }
    };

    void on(Micros at, const JobSubmitted& event);
    void on(Micros at, const CancelAsked& event);
    void on(Micros at, const UserAnswer& event);
    void on(Micros at, const TaskClaimed& event);
    void on(Micros at, const TaskPlaced& event);
    void on(Micros at, const TaskStarted& event);
    void on(Micros at, const TaskCompleted& event);
    void on(Micros at, const TaskGone& event);
    void on(Micros at, const MachineUp& event);
    void on(Micros at, const MachineGone& event);
    void on(Micros at, const MachineUsable& event);
    void on(Micros at, const TroublesOver& event);

    // Answers (checker_answers.cpp).
    void check_told(Micros at, const UserAnswer& event, JobRecord& job);
    void check_refused(Micros at, const UserAnswer& event, JobRecord& job);
    void check_unanswered(Micros now, JobRecord& job);
    void note_poll(Micros at, bool answered);
    bool most_answered() const;

    // Tasks (checker.cpp).
    void check_place(Micros at, const TaskRef& task, const std::string& machine, JobRecord& job);
    void check_quota(Micros at, const TaskRef& task, JobRecord& job);

    // Time (checker_service.cpp).
    void check_cancelled(Micros now);
    void check_waiting(Micros now);
    bool within_limit(const JobSpec& spec, std::uint32_t tasks) const;
    // Type, zone and kind of machine, and the zone of the job's other tasks.
    static bool allowed_on(const JobRecord& job, const MachineRecord& machine);
    bool could_place(const JobRecord& job) const;
    void judge_group(const std::string& name, const std::vector<const JobRecord*>& jobs, Micros end);

    JobRecord* find(const std::string& job);
    void broken(Rule rule, Micros at, const std::string& job, std::optional<std::uint32_t> task,
                std::string text);

    CheckerRules rules_;
    std::map<std::string, JobRecord> jobs_;
    std::map<std::string, MachineRecord> machines_;
    std::map<std::string, Resources> team_use_;
    std::deque<PollOutcome> polls_;
    std::size_t polls_answered_ = 0;
    std::priority_queue<CancelDeadline, std::vector<CancelDeadline>, std::greater<>> cancel_deadlines_;
    std::optional<Micros> troubles_over_at_;
    Micros next_waiting_check_{};
    std::set<std::tuple<Rule, std::string, std::optional<std::uint32_t>>> named_;
    std::vector<Violation> violations_;
    CheckerCounts counts_;
};

}  // namespace hatchwind::emulator
