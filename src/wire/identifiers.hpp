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
/// Job and index of a name in this form. The job may be any text: see `is_job_id`.
std::optional<std::pair<std::string, std::uint32_t>> parse_task_name(std::string_view name);

}  // namespace hatchwind::wire
