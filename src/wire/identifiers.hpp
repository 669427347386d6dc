/// Ids of jobs and names of tasks, as users, workers and the store write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hatchwind::wire {

/// What every job id begins with; digits follow.
inline constexpr std::string_view kJobIdPrefix = "req-";
/// The most tasks that a job may have; indices of tasks are below it.
inline constexpr std::uint32_t kMostTasks = 100'000;
/// Amounts and durations beyond this are mistakes.
inline constexpr double kMostAmount = 1e9;

/// True for a text that has the form of a job id.
bool is_job_id(std::string_view id);
/// The name of a task: "job/index".
std::string task_name(const std::string& job, std::uint32_t task);
/// What a name in the form "job/index" is made of.
struct TaskName {
    std::string job;  ///< any text that is not empty: see `is_job_id`
    std::uint32_t index = 0;

    friend bool operator==(const TaskName&, const TaskName&) = default;
};
/// Nothing for a text that has not that form.
std::optional<TaskName> parse_task_name(std::string_view name);

}  // namespace hatchwind::wire
