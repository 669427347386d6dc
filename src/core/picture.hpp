// The picture: this node's view of the fleet, from reports and what other nodes pass on. It may be old;
// nothing that must hold rests on it alone.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "core/ledger.hpp"
#include "core/model.hpp"

namespace hatchwind::core {

struct MachineView {
    WorkerReport last;
    Micros heard{};       // time of day of the newest answered report or order, by any node
    Micros first_seen{};  // steady
    Micros changed{};     // steady: when the newest report came in
    std::optional<Micros> notice_until;  // steady: when the cloud takes it
    struct Image {
        double gb = 0;
        Micros used{};
    };
    std::map<std::string, Image> images;
    std::map<std::pair<std::string, std::uint32_t>, std::size_t> index;  // (job, task) -> place in last.tasks

    const TaskReport* task(const std::string& job, std::uint32_t number) const {
        const auto it = index.find({job, number});
        return it == index.end() ? nullptr : &last.tasks[it->second];
    }
};

class Picture {
  public:
    // True when the report is news: newer (session, tick) than the known one.
    bool apply(const WorkerReport& r, Micros steady, Micros heard_wall);
    void heard(const std::string& machine, Micros wall);
    void note_image(const std::string& machine, const std::string& image, double gb, double cache_gb, Micros steady);
    // The cloud has confirmed that the machine is gone, for good.
    void release(const std::string& machine);
    bool released(const std::string& machine) const { return released_.contains(machine); }
    const std::map<std::string, MachineView>& machines() const { return machines_; }
    const MachineView* find(const std::string& machine) const;
    void forget(const std::string& machine) { machines_.erase(machine); }

  private:
    std::map<std::string, MachineView> machines_;
    std::set<std::string> released_;
};

enum class Fate : std::uint8_t {
    unlisted,  // the worker's newest report lacks it: its start may still be on the way
    live,
    exited,
    gone,    // a later session, or the machine was released: it can never run again
    silent,  // nothing newer is known
};

struct AttemptView {
    Fate fate = Fate::silent;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
};

AttemptView view_attempt(const Picture& p, const std::string& job, std::uint32_t task, const Attempt& a);

}  // namespace hatchwind::core
