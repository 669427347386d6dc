#include "emulator/events.hpp"

namespace hatchwind::emulator {

namespace {
const char* request_name(RequestKind kind) {
    switch (kind) {
        case RequestKind::submit:
            return "submission";
        case RequestKind::poll:
            return "question";
        case RequestKind::cancel:
            return "cancellation";
    }
    return "";
}

std::string attempt_text(const TaskRef& task) {
    return task.name() + " attempt " + std::to_string(task.attempt);
}

struct Describer {
    std::string operator()(const JobSubmitted& event) const {
        const char* validity = event.validity == JobValidity::valid       ? ""
                               : event.validity == JobValidity::malformed ? ", malformed"
                                                                          : ", impossible";
        return event.spec.id + " submitted: class " + event.spec.job_class + ", team " + event.spec.team +
               ", " + std::to_string(event.spec.tasks) + " tasks" + validity;
    }
    std::string operator()(const CancelAsked& event) const { return event.job + " cancellation asked for"; }
    std::string operator()(const UserAnswer& event) const {
        std::string text = event.job + " " + request_name(event.request) + " sent at " +
                           std::to_string(to_seconds(event.sent_at)) + " to " + event.node + ": " +
                           (event.status == 0 ? "no answer" : std::to_string(event.status));
        if (event.told) text += std::string{" "} + status_name(*event.told);
        return text;
    }
    std::string operator()(const TaskClaimed& event) const {
        return attempt_text(event.task) + " accepted by " + event.machine;
    }
    std::string operator()(const TaskPlaced& event) const {
        return attempt_text(event.task) + " on machine " + event.machine;
    }
    std::string operator()(const TaskStarted& event) const {
        return attempt_text(event.task) + " runs on " + event.machine;
    }
    std::string operator()(const TaskCompleted& event) const {
        return attempt_text(event.task) + " completed";
    }
    std::string operator()(const TaskGone& event) const {
        return attempt_text(event.task) + " gone from " + event.machine + ": " + event.reason;
    }
    std::string operator()(const MachineUp& event) const {
        return event.machine + " up: " + event.type + " in " + event.zone + (event.spot ? ", spot" : "");
    }
    std::string operator()(const MachineGone& event) const { return event.machine + " gone"; }
    std::string operator()(const MachineUsable& event) const {
        return event.machine + (event.usable ? " usable: " : " unusable: ") + event.reason;
    }
    std::string operator()(const TroublesOver& /*event*/) const { return "all troubles over"; }
};
}  // namespace

std::string describe(const EventBody& body) { return std::visit(Describer{}, body); }

}  // namespace hatchwind::emulator
