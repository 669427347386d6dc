// One machine: its worker reports to a controller it knows, takes commands, and holds to tokens, sessions and
// leases as the protocol says.
//
// How to make and drive one: construct it on the machine's own io::Loop when the machine is up; its routines
// start at once. Leases and reports go by the machine's clock (io::steady_now() in its routines), tasks and
// gangs by the run's true time (the recorder's). Destroy it when the machine is gone: its tasks are then told
// as gone, and MachineGone follows. All workers of a run share one WorkerWorld. Faults are switched from
// outside through the methods below, at any time. Gangs reach over machines, so a worker may notify a Signal
// of another machine's loop: a scheduler of several loops has to look at all of them for routines that have
// become ready.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/task_runner.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"

namespace hatchwind::emulator {

/// A controller that workers and users know.
struct NodeAddress {
    std::string label;
    io::Address address;
};

struct WorkerTimes {
    Micros report{};
    Micros lease{};
};

/// What all workers of a run share.
struct WorkerWorld {
    JobBoard& board;
    GangHall& gangs;
    Recorder& recorder;
    std::vector<NodeAddress> nodes;
    WorkerTimes times;
    std::uint64_t seed = 0;
};

/// Copies of reports that arrive again later.
struct LateReports {
    double share = 0;
    Micros soonest{2'000'000};
    Micros latest{30'000'000};
    bool keep_for_next_leader = false;  // kept until release_report_copies()
};
/// Direct commands that are held up, unanswered, and carried out once.
struct LateCommands {
    double share = 0;
    Micros soonest{2'000'000};
    Micros latest{16'000'000};
};

/// Copies of direct commands that were carried out and answered, which arrive again later.
struct DuplicateCommands {
    double share = 0;
    Micros soonest{300'000};
    Micros latest{120'000'000};
};

class Worker {
  public:
    Worker(io::Loop& loop, WorkerWorld& world, MachineIdentity machine, io::Address listen_at);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    const MachineIdentity& machine() const { return machine_; }
    std::uint64_t incarnation() const { return session_; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    /// Label of the controller that it reports to.
    const std::string& home() const { return world_.nodes[home_].label; }
    std::vector<TaskStatus> tasks() const { return runner_.statuses(); }

    /// The machine executes nothing until resume(); its lease runs on all the same.
    void hang();
    void resume();
    /// Its reports reach nobody; commands reach it.
    void set_mute(bool mute);
    /// Its reports arrive; answers and commands are lost.
    void set_deaf(bool deaf);
    /// 1: as it was.
    void set_slowness(double factor);
    void set_late_reports(const LateReports& late) { late_reports_ = late; }
    void set_late_commands(const LateCommands& late) { late_commands_ = late; }
    void set_duplicate_commands(const DuplicateCommands& duplicates) { duplicate_commands_ = duplicates; }
    /// Copies kept for the next leader arrive now, at every node given.
    void release_report_copies(const std::vector<io::Address>& nodes);
    /// The cloud has told the machine that it will be taken at this (true) time.
    void give_notice(Micros taken_at);

  private:
    io::Task<void> run_tasks();
    io::Task<void> report_for_good();
    io::Task<void> send_report();
    io::Task<void> send_copy(io::Address node, std::string body, Micros delay);
    io::Task<void> execute_late(CommandBatch batch, Micros delay);
    io::Task<io::HttpResponse> handle(io::HttpRequest request);
    io::Task<io::HttpResponse> handle_orders(const io::HttpRequest& request);

    void take_answer(const io::HttpResult& reply, std::uint64_t session_sent, Micros sent_at);
    void redirect(const io::HttpResult& reply, Micros now);
    void try_next(Micros now);
    void copy_report(const std::string& body);
    void copy_commands(const CommandBatch& batch);
    bool entitled(const CommandBatch& batch) const;
    void observe_fencing_token(std::uint64_t fencing_token, Micros now);
    void execute(const CommandBatch& batch);
    void end_session_if_over(Micros now);
    io::HttpResponse report_response(int status);
    std::string next_report();
    Micros report_due() const;
    void changed();
    Micros true_now() const { return world_.recorder.now(); }
    void set_usable(bool usable, const char* reason);

    io::Loop& loop_;
    WorkerWorld& world_;
    MachineIdentity machine_;
    Random random_;
    io::HttpClient client_;
    io::Signal tasks_changed_;
    io::Signal report_changed_;
    io::Signal resumed_;
    TaskRunner runner_;

    std::uint64_t session_ = 1;
    std::uint64_t tick_ = 0;
    std::uint64_t fencing_token_ = 0;
    Micros lease_from_{};  // sending of the last answered report, or the session's beginning
    std::size_t home_ = 0;
    bool report_wanted_ = false;  // something changed since the last report
    std::uint64_t reported_changes_ = 0;
    Micros last_sent_{};
    Micros next_regular_{};
    Micros not_before_{};
    Micros token_told_at_{};
    std::optional<Micros> taken_at_;

    bool hung_ = false;
    bool mute_ = false;
    bool deaf_ = false;
    LateReports late_reports_;
    LateCommands late_commands_;
    DuplicateCommands duplicate_commands_;
    std::vector<std::string> kept_copies_;

    io::HttpServer server_;
    io::Scope scope_;  // last, so that its routines end before what they use
};

}  // namespace hatchwind::emulator
