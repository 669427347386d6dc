#include "emulator/job_history.hpp"

#include <spdlog/fmt/fmt.h>

#include <cstdio>

namespace hatchwind::emulator {

namespace {
std::string render(const HistoryLine& line) {
    return fmt::format("{:11.6f} s  {}", to_seconds(line.at), line.text);
}
}  // namespace

void History::add(Micros at, std::optional<std::uint32_t> task, std::string text) {
    if (first_.size() < kept_first) {
        first_.push_back({at, task, std::move(text)});
        return;
    }
    newest_.push_back({at, task, std::move(text)});
    if (newest_.size() > kept_newest) newest_.pop_front();
}

std::vector<std::string> History::lines(std::optional<std::uint32_t> task) const {
    std::vector<std::string> lines;
    const auto append = [&](const HistoryLine& line) {
        if (!task || !line.task || line.task == task) lines.push_back(render(line));
    };
    for (const HistoryLine& line : first_) append(line);
    for (const HistoryLine& line : newest_) append(line);
    return lines;
}

}  // namespace hatchwind::emulator
