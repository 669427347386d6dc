#include "emulator/job_classes.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace hatchwind::emulator {

namespace {
constexpr std::uint64_t id_space = 1'000'000;
// Odd and coprime to the id space: multiples of it visit every id once, in no visible order.
constexpr std::uint64_t id_step = 618'033;
constexpr std::uint32_t most_tasks = 100'000;

std::uint32_t most_tasks_within(const TeamLimit& limit, const Resources& per_task) {
    double most = most_tasks;
    if (per_task.cores > 0) most = std::min(most, limit.cores / per_task.cores);
    if (per_task.accelerators > 0) most = std::min(most, limit.accelerators / per_task.accelerators);
    return static_cast<std::uint32_t>(most);
}

std::size_t weighted(Random& random, const std::vector<double>& weights) {
    std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
    return choose(random.engine());
}
}  // namespace

JobDrawer::JobDrawer(std::map<std::string, TeamShare> teams, std::uint64_t seed)
    : teams_(std::move(teams)), seed_(seed), random_(seed, "jobs") {}

std::string JobDrawer::next_id() {
    const std::uint64_t number = (seed_ + ++drawn_ * id_step) % id_space;
    return fmt::format("req-{:06}", number);
}

// Among the teams that may run one of its tasks.
std::string JobDrawer::draw_team(const JobClass& job_class) {
    std::vector<std::string> names;
    std::vector<double> weights;
    for (const auto& [name, team] : teams_) {
        if (most_tasks_within(team.limit, job_class.per_task) == 0) continue;
        names.push_back(name);
        weights.push_back(team.weight);
    }
    return names.empty() ? "" : names[weighted(random_, weights)];
}

std::uint32_t JobDrawer::draw_tasks(const TaskCounts& counts) {
    if (!counts.sizes.empty()) return counts.sizes[weighted(random_, counts.weights)];
    const double drawn = std::round(random_.draw(counts.distribution));
    return static_cast<std::uint32_t>(std::clamp(drawn, 1.0, static_cast<double>(most_tasks)));
}

std::uint32_t JobDrawer::draw_image(const ImagePool& pool) {
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < pool.count; ++i) weights.push_back(std::pow(i + 1.0, -pool.zipf));
    return static_cast<std::uint32_t>(weighted(random_, weights));
}

std::pair<JobSpec, JobTruth> JobDrawer::draw(const JobClass& job_class) {
    JobSpec spec;
    spec.id = next_id();
    spec.job_class = job_class.name;
    spec.team = job_class.team.value_or("");
    if (!job_class.team) spec.team = draw_team(job_class);
    spec.form = job_class.form;
    spec.priority = job_class.priority;
    spec.tasks = draw_tasks(job_class.tasks);
    spec.per_task = job_class.per_task;
    const auto team = teams_.find(spec.team);
    if (team != teams_.end() && spec.form != JobForm::array)
        spec.tasks = std::min(spec.tasks, std::max(most_tasks_within(team->second.limit, spec.per_task), 1U));
    const std::uint32_t image = draw_image(job_class.images);
    spec.image = job_class.name + "-" + std::to_string(image);
    // The same image has the same size in every run with this seed.
    Random image_random(seed_, spec.image);
    spec.image_gb = image_random.draw(job_class.images.gb);
    if (!job_class.machine_types.empty()) spec.machine_types = job_class.machine_types;
    spec.zone = job_class.zone;
    spec.one_zone = job_class.one_zone;
    spec.spread = job_class.spread;
    spec.spot_allowed = job_class.spot;
    spec.checkpoint_s = job_class.checkpoint_s;
    spec.save_s = job_class.save_s;
    JobTruth truth;
    truth.run_s = random_.draw(job_class.run_s);
    truth.variation = std::min(job_class.variation, 0.95);
    truth.fails_everywhere = random_.chance(job_class.mistaken_share);
    if (job_class.form == JobForm::service) return {spec, truth};
    const double error =
        std::exp(job_class.estimate_error * std::normal_distribution<double>(0, 1)(random_.engine()));
    spec.expected_s = truth.run_s * error;
    if (job_class.deadline_factor) spec.deadline_s = spec.expected_s * *job_class.deadline_factor;
    return {spec, truth};
}

}  // namespace hatchwind::emulator
