#include "wire/identifiers.hpp"

#include <algorithm>
#include <charconv>

namespace hatchwind::wire {

namespace {

constexpr std::size_t kMostJobIdBytes = 40;

std::optional<std::uint32_t> parse_index(std::string_view text) {
    std::uint32_t index = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
    return index;
}

}  // namespace

bool is_job_id(std::string_view id) {
    if (!id.starts_with(kJobIdPrefix) || id.size() < kJobIdPrefix.size() + 1 || id.size() > kMostJobIdBytes)
        return false;
    id.remove_prefix(kJobIdPrefix.size());
    return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string task_name(const std::string& job, std::uint32_t task) { return job + '/' + std::to_string(task); }

std::optional<TaskName> parse_task_name(std::string_view name) {
    const auto slash = name.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    const auto index = parse_index(name.substr(slash + 1));
    if (!index) return std::nullopt;
    return TaskName{std::string{name.substr(0, slash)}, *index};
}

}  // namespace hatchwind::wire
