// What happens in a run, as the models see it: told once, at the moment it happens, to whoever judges or
// counts.
//
// How to drive it: make one Recorder per run with the true (not a host's) simulated time, add the sinks
// (Checker, Figures), and pass the recorder to every actor. A run records one TroublesOver when its last
// fault has ended and its ends have been given time.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "emulator/protocol.hpp"
#include "emulator/random.hpp"

namespace hatchwind::emulator {

enum class JobValidity : std::uint8_t { valid, malformed, impossible };

/// A user's first attempt to submit begins.
struct JobSubmitted {
    JobSpec spec;
    JobValidity validity = JobValidity::valid;
};
/// A user asks for the first time to cancel the job.
struct CancelAsked {
    std::string job;
};

enum class RequestKind : std::uint8_t { submit, poll, cancel };
/// A user's request has ended; `status` is 0 when no answer came.
struct UserAnswer {
    RequestKind request = RequestKind::poll;
    std::string job;
    std::string node;
    Micros sent_at{};
    int status = 0;
    std::optional<JobStatus> told;
};

/// A worker accepted a start: the task waits for its image and holds its resources.
struct TaskClaimed {
    TaskRef task;
    std::string machine;
};
/// The task has its image: from now on it is on the machine.
struct TaskPlaced {
    TaskRef task;
    std::string machine;
};
/// The task makes progress.
struct TaskStarted {
    TaskRef task;
    std::string machine;
};
/// The task's work is complete, and its result kept for good.
struct TaskCompleted {
    TaskRef task;
};
/// The task has left the machine and holds nothing there.
struct TaskGone {
    TaskRef task;
    std::string machine;
    std::string reason;
};

struct MachineUp {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
    Resources size;
};
/// Nothing is on the machine any more; tasks that were are told as TaskGone before.
struct MachineGone {
    std::string machine;
};
/// Whether the service could give the machine work: false while it hangs, is mute, deaf, or about to be
/// taken.
struct MachineUsable {
    std::string machine;
    bool usable = true;
    std::string reason;
};

/// All faults have ended.
struct TroublesOver {};

using EventBody = std::variant<JobSubmitted, CancelAsked, UserAnswer, TaskClaimed, TaskPlaced, TaskStarted,
                               TaskCompleted, TaskGone, MachineUp, MachineGone, MachineUsable, TroublesOver>;

struct Event {
    Micros at{};
    EventBody body;
};

/// Whoever wants to know.
class EventSink {
  public:
    virtual ~EventSink() = default;
    virtual void observe(const Event& event) = 0;
};

/// Stamps events with the run's time and hands them to the sinks, in the order of adding.
class Recorder {
  public:
    explicit Recorder(std::function<Micros()> true_now) : true_now_(std::move(true_now)) {}
    void add(EventSink& sink) { sinks_.push_back(&sink); }
    Micros now() const { return true_now_(); }
    void record(EventBody body) {
        const Event event{true_now_(), std::move(body)};
        for (EventSink* sink : sinks_) sink->observe(event);
    }

  private:
    std::function<Micros()> true_now_;
    std::vector<EventSink*> sinks_;
};

/// One readable line, without the time.
std::string describe(const EventBody& body);

}  // namespace hatchwind::emulator
