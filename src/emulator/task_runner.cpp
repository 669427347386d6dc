#include "emulator/task_runner.hpp"

#include <algorithm>

namespace hatchwind::emulator {

namespace {
// A job submitted with a mistake, and a task on a faulty machine, fail soon after they begin.
constexpr double mistake_shows_s = 2.0;
}  // namespace

TaskRunner::TaskRunner(const MachineIdentity& machine, JobBoard& board, GangHall& gangs, Recorder& recorder,
                       Random& random, std::function<void()> wake)
    : machine_(machine),
      board_(board),
      gangs_(gangs),
      recorder_(recorder),
      random_(random),
      wake_(std::move(wake)),
      images_(machine.type.cache_gb, machine.fetch_gb_per_s),
      free_(machine.type.size) {}

TaskRunner::~TaskRunner() { kill_all("machine gone", recorder_.now()); }

void TaskRunner::execute(const Command& command, Micros now) {
    advance(now);
    if (const auto* started = std::get_if<StartCommand>(&command)) start(started->task, now);
    if (const auto* halted = std::get_if<HaltCommand>(&command)) halt(*halted, now);
    if (const auto* reaped = std::get_if<ReapCommand>(&command)) {
        const auto found = tasks_.find({reaped->task.name(), reaped->task.attempt});
        if (found != tasks_.end() && found->second.state == TaskState::exited) {
            tasks_.erase(found);
            ++changes_;
        }
    }
    advance(now);
}

void TaskRunner::refuse(const TaskRef& task, ExitCause cause) {
    Execution execution;
    execution.task = task;
    execution.state = TaskState::exited;
    execution.cause = cause;
    tasks_.emplace(Key{task.name(), task.attempt}, std::move(execution));
    ++changes_;
}

void TaskRunner::start(const TaskRef& task, Micros now) {
    const std::string name = task.name();
    if (tasks_.contains({name, task.attempt})) return;
    const JobSpec* spec = board_.find(task.job);
    if (spec == nullptr || task.index >= spec->tasks) return refuse(task, ExitCause::unknown);
    for (auto other = tasks_.lower_bound({name, 0}); other != tasks_.end() && other->first.first == name;
         ++other) {
        if (other->second.state != TaskState::exited) return refuse(task, ExitCause::in_use);
    }
    if (!spec->per_task.fits(free_)) return refuse(task, ExitCause::no_room);
    free_ -= spec->per_task;
    ++changes_;
    Execution& execution = tasks_[{name, task.attempt}];
    execution.task = task;
    execution.fails = board_.fails_everywhere(task.job) || random_.chance(machine_.error_share);
    recorder_.record(TaskClaimed{task, machine_.id});
    if (images_.use(spec->image)) {
        place(execution, *spec, now);
    } else {
        images_.wait_for(spec->image, spec->image_gb, now);
    }
}

void TaskRunner::place(Execution& execution, const JobSpec& spec, Micros now) {
    execution.placed = true;
    ++changes_;
    recorder_.record(TaskPlaced{execution.task, machine_.id});
    if (board_.completed(spec.id, execution.task.index))
        return finish(execution, ExitCause::done, false, now);
    if (spec.form != JobForm::gang) return run(execution, now);
    execution.state = TaskState::gathering;
    execution.in_gang = true;
    Gang& gang = gangs_.find_or_make(spec, execution.task.attempt);
    const auto gang_changed = [this] {
        stale_ = true;
        wake_();
    };
    gang.join(execution.task.index, speed(), gang_changed, now);
    step_gang(execution, now);
}

void TaskRunner::run(Execution& execution, Micros now) {
    execution.state = TaskState::running;
    ++changes_;
    execution.progress_s = board_.saved_s(execution.task.job, execution.task.index);
    execution.progress_from = now;
    execution.until = end_of_run(execution);
    board_.running(execution.task, machine_.id);
    recorder_.record(TaskStarted{execution.task, machine_.id});
}

// Services run until they are stopped.
Micros TaskRunner::end_of_run(const Execution& execution) const {
    if (execution.fails) return execution.progress_from + from_seconds(mistake_shows_s);
    const JobSpec* spec = board_.find(execution.task.job);
    if (spec == nullptr || spec->form == JobForm::service) return Micros::max();
    const double left_s = board_.work_s(execution.task.job, execution.task.index) - execution.progress_s;
    return execution.progress_from + from_seconds(std::max(left_s, 0.0) / speed());
}

double TaskRunner::progress_at(const Execution& execution, Micros now) const {
    return execution.progress_s + to_seconds(now - execution.progress_from) * speed();
}

void TaskRunner::save_checkpoint(Execution& execution, Micros now) {
    const std::string& job = execution.task.job;
    board_.save(job, execution.task.index, board_.checkpoint_before(job, progress_at(execution, now)));
}

void TaskRunner::halt(const HaltCommand& command, Micros now) {
    const auto found = tasks_.find({command.task.name(), command.task.attempt});
    if (found == tasks_.end() || found->second.state == TaskState::exited) return;
    Execution& execution = found->second;
    const JobSpec* spec = board_.find(command.task.job);
    const bool can_save = spec != nullptr && spec->checkpoint_s > 0 && command.grace_s >= spec->save_s;
    if (execution.state == TaskState::saving && command.grace_s > 0) return;
    if (execution.state != TaskState::running || !can_save)
        return finish(execution, ExitCause::stopped, false, now);
    execution.state = TaskState::saving;
    ++changes_;
    if (execution.in_gang) {
        Gang* gang = gangs_.find(execution.task);
        if (gang != nullptr) gang->halt(execution.task.index, now);
        return step_gang(execution, now);
    }
    execution.progress_s = progress_at(execution, now);
    execution.progress_from = now;
    execution.until = now + from_seconds(spec->save_s);
}

void TaskRunner::step(Execution& execution, Micros now) {
    if (execution.state == TaskState::fetching) {
        const JobSpec* spec = board_.find(execution.task.job);
        if (spec == nullptr) return;
        if (images_.use(spec->image)) return place(execution, *spec, now);
        // Dropped from the cache before this task came to use it.
        if (!images_.is_fetching(spec->image)) images_.wait_for(spec->image, spec->image_gb, now);
        return;
    }
    if (execution.state == TaskState::exited) return;
    if (execution.in_gang) return step_gang(execution, now);
    if (now < execution.until) return;
    if (execution.state == TaskState::saving) {
        board_.save(execution.task.job, execution.task.index, execution.progress_s);
        return finish(execution, ExitCause::stopped, true, now);
    }
    if (execution.fails) return finish(execution, ExitCause::error, false, now);
    board_.complete(execution.task);
    finish(execution, ExitCause::done, false, now);
}

void TaskRunner::step_gang(Execution& execution, Micros now) {
    Gang* gang = gangs_.find(execution.task);
    if (gang == nullptr) return finish(execution, ExitCause::peers, false, now);
    const GangVerdict verdict = gang->verdict(execution.task.index, now);
    if (verdict.state == TaskState::exited) {
        gang->leave(execution.task.index);
        return finish(execution, verdict.cause, verdict.progress_saved, now);
    }
    if (verdict.state != execution.state) {
        execution.state = verdict.state;
        ++changes_;
        if (verdict.state == TaskState::running) {
            execution.progress_from = now;
            board_.running(execution.task, machine_.id);
            recorder_.record(TaskStarted{execution.task, machine_.id});
        }
    }
    execution.until = verdict.next;
    if (!execution.fails || execution.state != TaskState::running) return;
    const Micros shows = execution.progress_from + from_seconds(mistake_shows_s);
    if (now >= shows) return finish(execution, ExitCause::error, false, now);
    execution.until = std::min(execution.until, shows);
}

void TaskRunner::finish(Execution& execution, ExitCause cause, bool progress_saved, Micros now) {
    abandon(execution, cause_name(cause), now);
    execution.state = TaskState::exited;
    execution.cause = cause;
    execution.progress_saved = progress_saved;
    execution.until = Micros::max();
    ++changes_;
}

// Leaves the machine: its resources, its place in a fetch and in its gang are given up.
void TaskRunner::abandon(Execution& execution, const std::string& reason, Micros now) {
    if (execution.state == TaskState::exited) return;
    const JobSpec* spec = board_.find(execution.task.job);
    if (spec == nullptr) return;
    if (execution.state == TaskState::fetching && !execution.placed) images_.give_up(spec->image, now);
    if (execution.in_gang) {
        if (Gang* gang = gangs_.find(execution.task)) gang->lose(execution.task.index, now);
        gangs_.remove_if_empty(execution.task);
    } else if (execution.state == TaskState::running) {
        save_checkpoint(execution, now);
    }
    if (execution.state == TaskState::running || execution.state == TaskState::saving)
        board_.stopped(execution.task);
    free_ += spec->per_task;
    recorder_.record(TaskGone{execution.task, machine_.id, reason});
}

void TaskRunner::advance(Micros now) {
    if (frozen_) return;
    images_.advance(now);
    // One task of a gang may settle the fate of another on this machine.
    do {
        stale_ = false;
        for (auto& [key, execution] : tasks_) {
            if (execution.state != TaskState::exited) step(execution, now);
        }
    } while (stale_);
    reckon_next(now);
}

void TaskRunner::reckon_next(Micros now) {
    next_event_ = images_.next_complete().value_or(Micros::max());
    for (const auto& [key, execution] : tasks_) {
        if (execution.state != TaskState::exited) next_event_ = std::min(next_event_, execution.until);
    }
    if (next_event_ != Micros::max()) next_event_ = std::max(next_event_, now + Micros{1});
}

void TaskRunner::kill_all(const std::string& reason, Micros now) {
    if (tasks_.empty()) return;
    for (auto& [key, execution] : tasks_) abandon(execution, reason, frozen_ ? frozen_at_ : now);
    tasks_.clear();
    ++changes_;
    next_event_ = Micros::max();
}

void TaskRunner::freeze(Micros now) {
    if (frozen_) return;
    advance(now);
    frozen_ = true;
    frozen_at_ = now;
    next_event_ = Micros::max();
    for (auto& [key, execution] : tasks_) {
        if (!execution.in_gang || execution.state == TaskState::exited) continue;
        if (execution.state == TaskState::gathering) continue;
        if (Gang* gang = gangs_.find(execution.task)) gang->lose(execution.task.index, now);
    }
}

// Whatever was under way goes on as if the time between had not been.
void TaskRunner::thaw(Micros now) {
    if (!frozen_) return;
    frozen_ = false;
    const Micros pause = now - frozen_at_;
    images_.skip_to(now);
    for (auto& [key, execution] : tasks_) {
        execution.progress_from += pause;
        if (execution.until != Micros::max()) execution.until += pause;
    }
    advance(now);
}

void TaskRunner::set_slowness(double factor, Micros now) {
    advance(now);
    for (auto& [key, execution] : tasks_) {
        if (execution.in_gang || execution.state != TaskState::running) continue;
        execution.progress_s = progress_at(execution, now);
        execution.progress_from = now;
    }
    slowness_ = factor;
    for (auto& [key, execution] : tasks_) {
        if (execution.state == TaskState::exited) continue;
        if (execution.in_gang) {
            if (Gang* gang = gangs_.find(execution.task)) gang->set_speed(execution.task.index, speed(), now);
        } else if (execution.state == TaskState::running) {
            execution.until = end_of_run(execution);
        }
    }
    if (!frozen_) advance(now);
}

std::vector<TaskStatus> TaskRunner::statuses() const {
    std::vector<TaskStatus> statuses;
    statuses.reserve(tasks_.size());
    for (const auto& [key, execution] : tasks_)
        statuses.push_back({execution.task, execution.state, execution.cause, execution.progress_saved});
    return statuses;
}

}  // namespace hatchwind::emulator
