// Classes of jobs as a scenario describes them, and the drawing of single jobs from them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/job_board.hpp"

namespace hatchwind::emulator {

/// Number of tasks: drawn from a list with weights, or from a distribution.
struct TaskCounts {
    std::vector<std::uint32_t> sizes;
    std::vector<double> weights;  // as many as sizes
    LogNormal distribution;       // when there are no sizes
};

struct ImagePool {
    std::uint32_t count = 1;
    LogNormal gb;
    double zipf = 1;  // exponent of how often the n-th image is used
};

struct JobClass {
    std::string name;
    JobForm form = JobForm::array;
    Priority priority = Priority::normal;
    std::optional<std::string> team;  // none: drawn by the teams' weights
    Resources per_task;
    TaskCounts tasks;
    LogNormal run_s;       // of a service: until its user cancels it
    double variation = 0;  // between the tasks of a job
    double arrivals_per_s = 0;
    std::uint32_t initial = 0;  // submitted in the first seconds
    ImagePool images;
    double estimate_error = 0;
    bool spot = true;
    bool one_zone = false;
    bool spread = false;
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<std::string> zone;
    std::vector<std::string> machine_types;  // empty: any
    double cancelled_share = 0;              // called off by their users at some time
    double mistaken_share = 0;               // fail on every machine
    std::optional<double> deadline_factor;   // deadline as a multiple of the estimate
};

/// A team: what it may use, and which part of the jobs is its own.
struct TeamShare {
    double weight = 1;
    TeamLimit limit;
};

/// Draws jobs with ids that come in no order and are never used twice. Every job drawn fits its team's limit.
class JobDrawer {
  public:
    JobDrawer(std::map<std::string, TeamShare> teams, std::uint64_t seed);
    std::pair<JobSpec, JobTruth> draw(const JobClass& job_class);
    std::string next_id();

  private:
    std::string draw_team(const JobClass& job_class);
    std::uint32_t draw_tasks(const TaskCounts& counts);
    std::uint32_t draw_image(const ImagePool& pool);

    std::map<std::string, TeamShare> teams_;
    std::uint64_t seed_;
    Random random_;
    std::uint64_t drawn_ = 0;
};

}  // namespace hatchwind::emulator
