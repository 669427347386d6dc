#include "workers/command_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "io/http_status.hpp"
#include "wire/worker_api.hpp"
#include "workers/worker_http_limits.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCommandTimeout{2'500'000};
constexpr std::size_t kMaxQueuedCommands = 256;  // for one machine
constexpr int kNoResponse = 0;                   // logged as the status

const char* name_of(core::CommandKind kind) {
    switch (kind) {
        case core::CommandKind::start:
            return "start";
        case core::CommandKind::stop:
            return "stop";
        case core::CommandKind::acknowledge_exit:
            return "acknowledge_exit";
    }
    return "";
}

const char* name_of(CommandReason reason) {
    switch (reason) {
        case CommandReason::recorded:
            return "recorded";
        case CommandReason::unlisted:
            return "unlisted";
        case CommandReason::cancelled:
            return "cancelled";
        case CommandReason::held:
            return "held";
        case CommandReason::evacuated:
            return "evacuated";
        case CommandReason::preempted:
            return "preempted";
        case CommandReason::ended:
            return "ended";
        case CommandReason::no_record:
            return "no_record";
    }
    return "";
}

std::uint64_t known_token(const core::MachineView* view) {
    return view == nullptr ? 0 : view->last_heartbeat.fencing_token;
}
}  // namespace

void CommandSender::forget_earlier_epochs() {
    const std::uint64_t epoch = epoch_number();
    if (oldest_issued_epoch_ == epoch) return;
    oldest_issued_epoch_ = epoch;
    std::erase_if(issued_starts_, [&](const auto& start) { return start.second.epoch < epoch; });
}

void CommandSender::enqueue(const std::string& machine, std::uint64_t incarnation,
                            core::WorkerCommand command, CommandReason reason) {
    forget_earlier_epochs();
    const std::uint64_t epoch = epoch_number();
    CommandQueue& queue = queues_[machine];
    if (queue.incarnation != incarnation || queue.epoch != epoch) {
        // Queued commands are valid only for the incarnation and the epoch that they were issued for.
        resolve_start_copies(queue.commands, queue.epoch);
        queue.commands.clear();
        queue.incarnation = incarnation;
        queue.epoch = epoch;
    }
    if (queue.commands.size() >= kMaxQueuedCommands) return;
    spdlog::debug(
        "event=command_queued kind={} job={} task={} attempt={} machine={} incarnation={} token={} "
        "machine_token={} revision={} reason={}",
        name_of(command.kind), command.job, command.task, command.attempt, machine, incarnation, epoch,
        known_token(context_.workers.cluster_view().find(machine)), context_.replicated.revision(),
        name_of(reason));
    count_start(command);
    queue.commands.push_back(std::move(command));
    if (queue.sending) return;
    queue.sending = true;
    context_.scope.spawn(send(machine));
}

bool CommandSender::start_may_arrive(const std::string& job, std::uint32_t task,
                                     std::uint64_t attempt) const {
    const auto start = issued_starts_.find({job, task, attempt});
    return start != issued_starts_.end() && start->second.epoch == epoch_number();
}

void CommandSender::count_start(const core::WorkerCommand& command) {
    if (command.kind != core::CommandKind::start) return;
    const std::uint64_t epoch = epoch_number();
    IssuedStart& start = issued_starts_[{command.job, command.task, command.attempt}];
    if (start.epoch != epoch) start = {epoch, 0};
    ++start.copies;
}

void CommandSender::resolve_start_copy(const core::WorkerCommand& command, std::uint64_t epoch) {
    if (command.kind != core::CommandKind::start) return;
    const auto start = issued_starts_.find({command.job, command.task, command.attempt});
    if (start == issued_starts_.end() || start->second.epoch != epoch) return;
    if (--start->second.copies == 0) issued_starts_.erase(start);
}

void CommandSender::resolve_start_copies(const std::vector<core::WorkerCommand>& commands,
                                         std::uint64_t epoch) {
    for (const auto& command : commands) resolve_start_copy(command, epoch);
}

void CommandSender::handle_reply(const std::string& machine, std::uint64_t epoch,
                                 const std::vector<core::WorkerCommand>& commands,
                                 const io::HttpResult& reply) {
    // With a conflict the worker refuses the commands, because it knows a higher fencing token or has another
    // incarnation, and it would refuse a duplicate too.
    const bool refused = reply.has_status(io::http_status::kConflict);
    const bool answered = reply.has_status(io::http_status::kOk) || refused;
    // Resolves only the copies in this request; other copies may still arrive.
    if (refused || reply.never_sent()) resolve_start_copies(commands, epoch);
    if (answered) {
        counters_.record_outcome(refused ? CommandOutcome::refused : CommandOutcome::answered);
        context_.workers.handle_response_body(reply->body);
        spdlog::debug("event=commands_answered machine={} status={} commands={} token={} machine_token={}",
                      machine, reply.status_or(kNoResponse), commands.size(), epoch,
                      known_token(context_.workers.cluster_view().find(machine)));
        context_.signals.scheduling_needed.notify_all();
        return;
    }
    // If this controller's connection pool is exhausted, the request was not sent. Counting it as unanswered
    // would exclude live machines of a large fleet from new tasks after a failover.
    if (!reply.has_error(io::HttpError::pool_exhausted))
        context_.probes.record_unanswered(machine, steady_now());
    counters_.record_outcome(CommandOutcome::unanswered);
    spdlog::debug("event=command_unanswered machine={} status={} commands={}", machine,
                  reply.status_or(kNoResponse), commands.size());
}

bool CommandSender::is_forbidden(const core::WorkerCommand& command) const {
    if (command.kind != core::CommandKind::start) return false;
    const core::JobEntry* entry = context_.replicated.job_table().find(command.job);
    const bool cancelled = entry != nullptr && entry->job.cancelled;
    return cancelled || context_.holds.holds(command.job, steady_now());
}

void CommandSender::drop_forbidden_starts(CommandQueue& queue) {
    std::erase_if(queue.commands, [&](const core::WorkerCommand& command) {
        if (!is_forbidden(command)) return false;
        spdlog::debug("event=start_dropped job={} task={}", command.job, command.task);
        counters_.record_dropped_start();
        resolve_start_copy(command, queue.epoch);
        return true;
    });
}

void CommandSender::count_in_flight(const std::vector<core::WorkerCommand>& commands) {
    for (const auto& command : commands) {
        if (command.kind == core::CommandKind::start) ++starts_in_flight_[command.job];
    }
}

void CommandSender::resolve_in_flight(const std::vector<core::WorkerCommand>& commands) {
    for (const auto& command : commands) {
        if (command.kind != core::CommandKind::start) continue;
        const auto job = starts_in_flight_.find(command.job);
        if (--job->second == 0) starts_in_flight_.erase(job);
    }
}

Task<void> CommandSender::send(std::string machine) {
    // Lets commands of the same event loop iteration join this request.
    co_await context_.loop.yield();
    while (true) {
        auto queue = queues_.find(machine);
        if (queue == queues_.end()) co_return;
        const core::MachineView* view = context_.workers.cluster_view().find(machine);
        const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last_heartbeat.address);
        if (queue->second.commands.empty() || !address || !context_.leadership.holds_leadership()) {
            // These copies were never sent, so none of them can arrive.
            resolve_start_copies(queue->second.commands, queue->second.epoch);
            queues_.erase(queue);
            co_return;
        }
        drop_forbidden_starts(queue->second);
        if (queue->second.commands.empty()) continue;
        const auto commands = std::exchange(queue->second.commands, {});
        const std::uint64_t epoch = queue->second.epoch;
        auto body = wire::encode(wire::commands_request(epoch, queue->second.incarnation, commands));
        auto sending = context_.worker_http.send(*address, "POST", "/orders", std::move(body),
                                                 steady_now() + kCommandTimeout, kMaxWorkerStatusBytes);
        count_in_flight(commands);
        counters_.record_sent(commands);
        const io::HttpResult reply = co_await std::move(sending);
        resolve_in_flight(commands);
        handle_reply(machine, epoch, commands, reply);
        context_.signals.commands_answered.notify_all();
    }
}

}  // namespace hatchwind::controller
