// The rules about what users are told.
#include "emulator/checker.hpp"

namespace hatchwind::emulator {

namespace {
constexpr int ok = 200;
constexpr int created = 201;
constexpr int malformed = 400;
constexpr int not_found = 404;
constexpr int impossible = 422;
// A single lost answer to somebody who asks once in a while is no spell of silence.
constexpr std::uint32_t fewest_questions = 3;

bool positive(int status) { return status == ok || status == created; }
}  // namespace

void Checker::on(Micros at, const UserAnswer& event) {
    const bool answered = positive(event.status) || event.status == not_found;
    if (event.request == RequestKind::poll) note_poll(at, answered);
    JobRecord* job = find(event.job);
    if (job == nullptr) {
        if (positive(event.status)) {
            broken(Rule::invented, at, event.job, std::nullopt,
                   event.job + " was never submitted, and is answered with " + std::to_string(event.status));
        }
        return;
    }
    job->history.add(at, std::nullopt, describe(event));
    if (positive(event.status)) check_told(at, event, *job);
    if (event.status == not_found || event.status == malformed || event.status == impossible)
        check_refused(at, event, *job);
    if (event.request != RequestKind::poll) return;
    if (answered) {
        job->unanswered_since.reset();
        job->unanswered = 0;
    } else if (job->accepted_told_at) {
        if (!job->unanswered_since) job->unanswered_since = event.sent_at;
        ++job->unanswered;
        check_unanswered(at, *job);
    }
}

// An answer is older than another one only if its question was sent after the other had arrived: of two
// questions that overlap, either may be answered first.
void Checker::check_told(Micros at, const UserAnswer& event, JobRecord& job) {
    if (!job.accepted_told_at) {
        job.accepted_told_at = at;
        if (job.validity != JobValidity::valid) ++counts_.unfit_accepted;
    }
    if (!event.told) return;
    const auto told_before = [&](const std::optional<Micros>& told) {
        return told && event.sent_at >= *told;
    };
    const std::string now_told = status_name(*event.told);
    if (told_before(job.done_told_at) && *event.told != JobStatus::done)
        broken(Rule::went_back, at, event.job, std::nullopt, event.job + " was done and is now " + now_told);
    if (told_before(job.cancelled_told_at) && *event.told != JobStatus::cancelled)
        broken(Rule::went_back, at, event.job, std::nullopt,
               event.job + " was cancelled and is now " + now_told);
    // Both ends of one job can't be true, whichever was asked for first.
    if ((*event.told == JobStatus::done && job.cancelled_told_at) ||
        (*event.told == JobStatus::cancelled && job.done_told_at))
        broken(Rule::went_back, at, event.job, std::nullopt,
               event.job + " is called both done and cancelled");
    if (*event.told == JobStatus::cancelled) {
        if (!job.cancel_asked_at)
            broken(Rule::went_back, at, event.job, std::nullopt,
                   event.job + " is called cancelled, which nobody asked for");
        if (!job.cancelled_told_at) {
            job.cancelled_told_at = at;
            cancel_deadlines_.push({at + rules_.cancel_time, event.job});
        }
    }
    if (*event.told == JobStatus::done) {
        if (!job.work_complete()) {
            broken(Rule::not_done, at, event.job, std::nullopt,
                   event.job + " is called done with " + std::to_string(job.completed_count) + " of " +
                       std::to_string(job.spec.tasks) + " tasks completed");
        }
        if (!job.done_told_at) job.done_told_at = at;
    }
}

void Checker::check_refused(Micros at, const UserAnswer& event, JobRecord& job) {
    if (!job.accepted_told_at || event.sent_at < *job.accepted_told_at) return;
    const bool unknown = event.status == not_found;
    const bool refused = event.request == RequestKind::submit && !unknown;
    if (!unknown && !refused) return;
    broken(Rule::forgotten, at, event.job, std::nullopt,
           event.job + " was accepted, and " + event.node + " answers " + std::to_string(event.status));
}

void Checker::check_unanswered(Micros now, JobRecord& job) {
    if (!job.unanswered_since || job.unanswered < fewest_questions) return;
    const std::string& id = job.spec.id;
    if (now - *job.unanswered_since >= rules_.forgotten_after && most_answered()) {
        broken(Rule::forgotten, now, id, std::nullopt,
               "every question about " + id + " has failed for " +
                   std::to_string(to_seconds(now - *job.unanswered_since)) +
                   " s while most others are answered");
    }
    if (!troubles_over_at_) return;
    const Micros since = std::max(*job.unanswered_since, *troubles_over_at_);
    if (now - since >= rules_.forgotten_when_over) {
        broken(Rule::forgotten, now, id, std::nullopt,
               "no question about " + id + " has been answered for " +
                   std::to_string(to_seconds(now - since)) + " s although all troubles are over");
    }
}

void Checker::note_poll(Micros at, bool answered) {
    polls_.push_back({at, answered});
    if (answered) ++polls_answered_;
    while (polls_.front().at + rules_.forgotten_after < at) {
        if (polls_.front().answered) --polls_answered_;
        polls_.pop_front();
    }
}

bool Checker::most_answered() const { return polls_answered_ * 2 > polls_.size(); }

}  // namespace hatchwind::emulator
