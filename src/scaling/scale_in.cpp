#include "scaling/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/failure_detection.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kMostPerRequest = 100;
// For a mark to reach the others' cluster views.
constexpr Micros kMarkSpreads{500'000};
constexpr Micros kLongTerm{10'000'000};
constexpr Micros kSilentReleaseSpan{60'000'000};
// Marks of machines that are gone do no harm, so several go in one write.
constexpr std::size_t kMarksWorthAWrite = 20;
constexpr Micros kMarksKept{10'000'000};
}  // namespace

std::vector<std::string> ScaleIn::due(Micros now, Micros term_began) {
    std::vector<std::string> due;
    add_drained(due, now);
    const auto failed = inventory_.failed(now, now - term_began > kLongTerm);
    due.insert(due.end(), failed.begin(), failed.end());
    add_silent(due, now, term_began);
    std::sort(due.begin(), due.end());
    due.erase(std::unique(due.begin(), due.end()), due.end());
    if (due.size() > kMostPerRequest) due.resize(kMostPerRequest);
    return due;
}

void ScaleIn::add_drained(std::vector<std::string>& due, Micros now) {
    for (const auto& machine : replicated_.draining()) {
        if (workers_.cluster_view().released(machine) || workers_.cluster_view().find(machine) == nullptr)
            continue;
        if (!replicated_.job_table().on_machine(machine).empty()) {
            emptied_.erase(machine);
            continue;
        }
        const auto emptied = emptied_.try_emplace(machine, now).first;
        if (now - emptied->second >= kMarkSpreads) due.push_back(machine);
    }
}

Micros ScaleIn::silent_for(const std::string& machine, const core::MachineView& view, Micros now) const {
    const Micros silent = now - view.last_heartbeat_at;
    // One that only sends is as good as silent: nothing can be started or stopped on it.
    const ProbeState* probe = probes_.find(machine);
    if (!health_.is_healthy() || probe == nullptr || probe->unanswered_since.count() == 0) return silent;
    return std::max(silent, now - probe->unanswered_since);
}

void ScaleIn::add_silent(std::vector<std::string>& due, Micros now, Micros term_began) {
    std::vector<core::SilentMachine> machines;
    for (const auto& [machine, view] : workers_.cluster_view().machines()) {
        // Not before this leader has had the time to hear them all.
        const Micros silent = std::min(silent_for(machine, view, now), now - term_began);
        machines.push_back({machine, silent, !replicated_.job_table().on_machine(machine).empty()});
    }
    std::erase_if(silent_released_, [&](Micros at) { return now - at > kSilentReleaseSpan; });
    const auto silent = core::releasable(machines, tunables_.silent_release, silent_released_.size());
    if (silent.empty()) return;
    spdlog::info("event=unresponsive_machines_released count={} standing={}", silent.size(), machines.size());
    due.insert(due.end(), silent.begin(), silent.end());
    silent_released_.insert(silent_released_.end(), silent.size(), now);
}

Task<void> ScaleIn::clear_marks(Micros now, Micros term_began, bool list_fresh) {
    const bool list_settled = list_fresh && now - term_began > from_seconds(settings_.list_lag_s * 2 + 10);
    std::set<std::string> marks = replicated_.draining();
    std::erase_if(marks, [&](const std::string& machine) {
        if (workers_.cluster_view().released(machine)) return true;
        return workers_.cluster_view().find(machine) == nullptr && list_settled &&
               !inventory_.contains(machine);
    });
    std::erase_if(emptied_, [&](const auto& emptied) { return !marks.contains(emptied.first); });
    const std::size_t gone = replicated_.draining().size() - marks.size();
    const bool worth_a_write = gone >= kMarksWorthAWrite || now - marks_cleared_ > kMarksKept;
    if (gone == 0 || !worth_a_write) co_return;
    if (!leadership_.is_cluster_leader() || !store_.reachable(steady_now())) co_return;
    marks_cleared_ = now;
    auto task = cordons_.write(std::move(marks));
    co_await std::move(task);
}

}  // namespace hatchwind::controller
