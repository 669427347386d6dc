// Users: they submit jobs, poll them, repeat what was not answered, cancel some, and at times look closely.
//
// How to make and drive them: construct on the users' io::Loop with the run's board and recorder; arrivals
// begin at once. Faults are switched through the methods below. `hooks.hang_machine` is called by
// cancel_now(). Ends of jobs are told by the board from within a worker's routine, so a scheduler of several
// loops has to expect that a routine of one sets a timer of another.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/job_classes.hpp"
#include "emulator/load_balancer.hpp"

namespace hatchwind::emulator {

struct UsersConfig {
    std::vector<JobClass> classes;
    std::map<std::string, TeamShare> teams;
    Micros duration{};  // no arrivals after it
    Micros poll_every{5'000'000};
    Micros initial_within{5'000'000};  // the classes' initial jobs come in this time
    std::size_t connections = 16;      // kept open through the load balancer
    std::uint64_t seed = 0;
};

struct UsersHooks {
    std::function<void(const std::string& machine, Micros for_time)> hang_machine;
};

class Users {
  public:
    Users(io::Loop& loop, UsersConfig config, UsersHooks hooks, std::vector<NodeAddress> nodes,
          JobBoard& board, Recorder& recorder);

    /// Arrivals of a class come that many times as often; 1: as it was.
    void set_arrival_factor(const std::string& job_class, double factor);
    /// Cancels that many running jobs with long to go, within a fifth of a second; up to eight of their
    /// machines hang for `hang` when it is positive.
    void cancel_now(std::size_t count, Micros hang);
    /// That share of jobs is cancelled at the moment at which the last task ends.
    void set_cancel_at_end(double share) { cancel_at_end_share_ = share; }
    /// All nodes are asked within milliseconds after a job was accepted, ended or cancelled.
    void set_close_looks(bool on) { close_looks_ = on; }
    /// Repeated submissions, cancels of jobs that are done, jobs that fit no machine or lack a field.
    void set_odd_requests(bool on);
    /// Submits one job of a class now.
    void submit_one(const std::string& job_class);

    const LoadBalancer& balancer() const { return balancer_; }
    /// Jobs whose users still wait for an end.
    std::size_t unfinished() const { return unfinished_.size(); }

  private:
    /// Where a request goes: through the load balancer, or to a given node.
    struct Request {
        RequestKind kind = RequestKind::poll;
        std::string job;
        std::string body;
        Micros patience{};
    };
    struct Answer {
        int status = 0;
        std::optional<JobStatus> told;
        int retry_after_s = 0;
        bool definite = false;  // for a submission or cancellation: no need to repeat it
    };

    io::Task<void> arrivals(std::size_t job_class);
    io::Task<void> live(JobSpec spec, JobTruth truth);
    io::Task<void> follow(std::string job);
    void plan_cancellation(const JobSpec& spec, const JobTruth& truth);
    io::Task<void> cancel(std::string job, Micros delay);
    io::Task<Answer> repeat(Request request, Micros for_time);
    io::Task<Answer> ask(Request request);
    io::Task<Answer> ask_node(NodeAddress node, Request request);
    io::Task<io::HttpResult> send(io::Address node, const Request& request);
    Answer note(const std::string& node, const Request& request, Micros sent_at, const io::HttpResult& reply);
    void look_closely(const std::string& job);
    io::Task<void> look_at(NodeAddress node, Request request, Micros delay);
    io::Task<void> ask_later(std::string job);
    io::Task<void> send_odd_requests();
    io::Task<void> send_odd_request();
    io::Task<void> submit_unfit();
    void over(const std::string& job, JobStatus status);
    Request submission_of(const JobSpec& spec) const;
    static Request poll_of(const std::string& job);
    static Request cancel_of(const std::string& job);
    std::unique_ptr<LoadBalancer::Connection> take_connection();
    void start_job(std::size_t job_class);
    void cancel_soon(const std::string& job, Micros delay);

    io::Loop& loop_;
    UsersConfig config_;
    UsersHooks hooks_;
    JobBoard& board_;
    Recorder& recorder_;
    Random random_;
    LoadBalancer balancer_;
    io::HttpClient client_;
    JobDrawer drawer_;
    std::vector<std::unique_ptr<LoadBalancer::Connection>> idle_;
    std::map<std::string, double> arrival_factors_;
    std::set<std::string> unfinished_;  // accepted, neither done nor cancelled
    std::set<std::string> cancelling_;
    std::vector<std::string> done_;
    double cancel_at_end_share_ = 0;
    bool close_looks_ = false;
    bool odd_requests_ = false;
    io::Scope scope_;
};

}  // namespace hatchwind::emulator
