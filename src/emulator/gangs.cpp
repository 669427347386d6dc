#include "emulator/gangs.hpp"

#include <algorithm>
#include <vector>

namespace hatchwind::emulator {

void Gang::join(std::uint32_t index, double speed, std::function<void()> wake, Micros now) {
    Member member;
    member.joined_at = now;
    member.speed = speed;
    member.wake = std::move(wake);
    members_.insert_or_assign(index, std::move(member));
    if (!started_ && members_.size() == spec_.tasks) start(now);
}

void Gang::start(Micros now) {
    started_ = true;
    progress_s_ = board_.saved_s(spec_.id, 0);
    progress_from_ = now;
    wake_all();
}

double Gang::slowest() const {
    double speed = 1e9;
    for (const auto& [index, member] : members_) speed = std::min(speed, member.speed);
    return members_.empty() ? 1 : speed;
}

double Gang::progress_at(Micros now) const {
    if (!started_ || first_halt_at_ || failed_at_) return progress_s_;
    return progress_s_ + to_seconds(now - progress_from_) * slowest();
}

void Gang::set_speed(std::uint32_t index, double speed, Micros now) {
    const auto member = members_.find(index);
    if (member == members_.end()) return;
    progress_s_ = progress_at(now);
    progress_from_ = now;
    member->second.speed = speed;
    wake_all();
}

void Gang::halt(std::uint32_t index, Micros now) {
    const auto member = members_.find(index);
    if (member == members_.end() || member->second.halted_at) return;
    if (!first_halt_at_) {
        progress_s_ = progress_at(now);
        first_halt_at_ = now;
    }
    member->second.halted_at = now;
    wake_all();
}

void Gang::lose(std::uint32_t index, Micros now) {
    const bool harmful = started_ && !completed_ && !stopped_saved_ && members_.contains(index);
    members_.erase(index);
    if (harmful) fail(now);
}

// The gang falls back to the last checkpoint that it wrote by itself.
void Gang::fail(Micros now) {
    if (failed_at_) return;
    progress_s_ = progress_at(now);
    failed_at_ = now;
    board_.save(spec_.id, 0, board_.checkpoint_before(spec_.id, progress_s_));
    for (auto& [index, member] : members_)
        member.notices_loss_after = random_.between(Micros{0}, times_.peer);
    wake_all();
}

void Gang::complete() {
    completed_ = true;
    for (std::uint32_t index = 0; index < spec_.tasks; ++index) board_.complete({spec_.id, index, attempt_});
    wake_all();
}

// Whether an orderly stop has succeeded, or came too late for one of the tasks.
void Gang::settle_stop(Micros now) {
    if (!first_halt_at_ || failed_at_ || stopped_saved_) return;
    const Micros told_until = *first_halt_at_ + times_.peer;
    const Micros save_time = from_seconds(spec_.save_s);
    const bool all_told = std::all_of(members_.begin(), members_.end(),
                                      [](const auto& member) { return member.second.halted_at.has_value(); });
    if (!all_told) {
        if (now < told_until) return;
        stop_came_too_late_ = true;
        fail(now);
        return;
    }
    const bool all_saved = std::all_of(members_.begin(), members_.end(), [&](const auto& member) {
        return *member.second.halted_at + save_time <= now;
    });
    if (!all_saved) return;
    stopped_saved_ = true;
    board_.save(spec_.id, 0, progress_s_);
    wake_all();
}

GangVerdict Gang::verdict(std::uint32_t index, Micros now) {
    const auto found = members_.find(index);
    if (found == members_.end()) return {TaskState::exited, ExitCause::peers, false};
    const Member& member = found->second;
    if (!started_) {
        const Micros until = member.joined_at + times_.wait;
        if (now >= until) return {TaskState::exited, ExitCause::alone, false};
        return {TaskState::gathering, ExitCause::done, false, until};
    }
    settle_stop(now);
    if (completed_) return {TaskState::exited, ExitCause::done, false};
    if (stopped_saved_) return {TaskState::exited, ExitCause::stopped, true};
    if (failed_at_) {
        const Micros until = stop_came_too_late_ ? *failed_at_ : *failed_at_ + member.notices_loss_after;
        if (now < until) {
            return {member.halted_at ? TaskState::saving : TaskState::running, ExitCause::done, false, until};
        }
        const bool told = member.halted_at && stop_came_too_late_;
        return {TaskState::exited, told ? ExitCause::stopped : ExitCause::peers, false};
    }
    if (first_halt_at_) {
        const Micros save_end = member.halted_at.value_or(now) + from_seconds(spec_.save_s);
        const Micros told_until = *first_halt_at_ + times_.peer;
        const Micros next = save_end > now ? save_end : std::max(told_until, now + Micros{1});
        return {member.halted_at ? TaskState::saving : TaskState::running, ExitCause::done, false,
                member.halted_at ? next : told_until};
    }
    const double left_s = board_.work_s(spec_.id, 0) - progress_at(now);
    if (left_s <= 0) {
        complete();
        return {TaskState::exited, ExitCause::done, false};
    }
    return {TaskState::running, ExitCause::done, false, now + from_seconds(left_s / slowest()) + Micros{1}};
}

// Whoever is woken may leave at once, so the list is a copy.
void Gang::wake_all() {
    std::vector<std::function<void()>> wakes;
    wakes.reserve(members_.size());
    for (const auto& [index, member] : members_) wakes.push_back(member.wake);
    for (const auto& wake : wakes) wake();
}

Gang& GangHall::find_or_make(const JobSpec& spec, std::uint64_t attempt) {
    return gangs_.try_emplace({spec.id, attempt}, board_, spec, attempt, times_, random_).first->second;
}

Gang* GangHall::find(const TaskRef& task) {
    const auto found = gangs_.find({task.job, task.attempt});
    return found == gangs_.end() ? nullptr : &found->second;
}

void GangHall::remove_if_empty(const TaskRef& task) {
    const auto found = gangs_.find({task.job, task.attempt});
    if (found != gangs_.end() && found->second.empty()) gangs_.erase(found);
}

}  // namespace hatchwind::emulator
