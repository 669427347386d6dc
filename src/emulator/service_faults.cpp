#include "emulator/service_faults.hpp"

#include <algorithm>

namespace hatchwind::emulator {

namespace {

constexpr Micros kLateLeast{2'000'000};
constexpr Micros kLateMost{20'000'000};

CutMode cut_mode(CutBehaviour behaviour) {
    switch (behaviour) {
        case CutBehaviour::lose:
            return CutMode::lose;
        case CutBehaviour::refuse:
            return CutMode::refuse;
        default:
            return CutMode::hold;
    }
}

}  // namespace

ServiceFaults::ServiceFaults(World& world, Deployment& deployment, StateLatency usual,
                             ChooseMachines choose_machines)
    : world_(world),
      deployment_(deployment),
      usual_(usual),
      choose_machines_(std::move(choose_machines)),
      random_(world.random("service faults")) {
    deployment_.state().set_latency(usual_);
}

bool ServiceFaults::begin(const Fault& fault) {
    StateService& state = deployment_.state();
    switch (fault.kind) {
        case FaultKind::controller_crash:
            for (const std::size_t node : choose_controllers(fault))
                crash(node, fault.silent ? KillMode::silent : KillMode::reset, fault.pause);
            return true;
        case FaultKind::controller_rolling:
            crash_in_turn(fault);
            return true;
        case FaultKind::leader_changes:
            change_leaders(fault);
            return true;
        case FaultKind::controller_freeze:
            freeze_controllers(fault);
            return true;
        case FaultKind::controller_cut:
            cut_controllers(fault);
            return true;
        case FaultKind::state_outage:
            state.set_outage(true);
            return true;
        case FaultKind::state_slow:
            state.set_latency(usual_.times(fault.factor));
            return true;
        case FaultKind::late_writes:
            if (fault.at_once) {
                state.lose_answers("", fault.share);
            } else {
                state.late_commits("", fault.share, kLateLeast, kLateMost);
            }
            return true;
        case FaultKind::zone_cut:
            cut_zones(fault);
            return true;
        case FaultKind::machine_cut: {
            const std::vector<std::string> machines = choose_machines_(fault.machines);
            cut_off(fault, {machines.begin(), machines.end()});
            return true;
        }
        default:
            return false;
    }
}

bool ServiceFaults::end(const Fault& fault) {
    StateService& state = deployment_.state();
    switch (fault.kind) {
        case FaultKind::controller_crash:
        case FaultKind::controller_rolling:
        case FaultKind::leader_changes:
            return true;  // they come back by themselves
        case FaultKind::controller_freeze:
            for (const std::size_t node : frozen_[&fault]) deployment_.node(node).resume();
            frozen_.erase(&fault);
            return true;
        case FaultKind::controller_cut:
        case FaultKind::zone_cut:
        case FaultKind::machine_cut:
            for (const CutId cut : cuts_[&fault]) world_.network().heal(cut);
            for (const std::size_t node : refused_[&fault]) deployment_.refuse_state(node, false);
            cuts_.erase(&fault);
            refused_.erase(&fault);
            return true;
        case FaultKind::state_outage:
            state.set_outage(false);
            return true;
        case FaultKind::state_slow:
            state.set_latency(usual_);
            return true;
        case FaultKind::late_writes:
            state.lose_answers("", 0);
            state.late_commits("", 0, kLateLeast, kLateMost);
            return true;
        default:
            return false;
    }
}

std::vector<std::size_t> ServiceFaults::choose_controllers(const Fault& fault) {
    std::vector<std::size_t> nodes;
    for (std::size_t node = 0; node < deployment_.size(); ++node) nodes.push_back(node);
    std::shuffle(nodes.begin(), nodes.end(), random_);
    if (fault.busiest) {
        const auto leader = std::find(nodes.begin(), nodes.end(), deployment_.leader_index());
        if (leader != nodes.end()) std::iter_swap(nodes.begin(), leader);
    }
    nodes.resize(std::min<std::size_t>(nodes.size(), fault.count));
    return nodes;
}

void ServiceFaults::crash(std::size_t node, KillMode mode, Micros pause) {
    if (!deployment_.node(node).started()) return;
    deployment_.restart(node, pause, mode);
}

void ServiceFaults::crash_in_turn(const Fault& fault) {
    for (std::size_t node = 0; node < deployment_.size(); ++node) {
        world_.after(fault.every * static_cast<std::int64_t>(node),
                     [this, node, pause = fault.pause] { crash(node, KillMode::reset, pause); });
    }
}

void ServiceFaults::change_leaders(const Fault& fault) {
    for (std::uint64_t change = 0; change < fault.count; ++change) {
        world_.after(fault.every * static_cast<std::int64_t>(change), [this, pause = fault.pause] {
            const std::size_t leader = deployment_.leader_index();
            if (leader < deployment_.size()) crash(leader, KillMode::reset, pause);
        });
    }
}

void ServiceFaults::freeze_controllers(const Fault& fault) {
    frozen_[&fault] = choose_controllers(fault);
    for (const std::size_t node : frozen_[&fault]) deployment_.node(node).freeze();
}

void ServiceFaults::cut_controllers(const Fault& fault) {
    const std::vector<std::size_t> nodes = choose_controllers(fault);
    std::set<const Host*> cut;
    for (const std::size_t node : nodes) {
        cut.insert(&deployment_.node(node));
        world_.note(deployment_.label(node), "event=cut");
    }
    // The state service refuses by its answers: 503 for these controllers alone.
    const bool refused_by_state = fault.from.state && fault.mode == CutBehaviour::refuse;
    if (refused_by_state) {
        refused_[&fault] = nodes;
        for (const std::size_t node : nodes) deployment_.refuse_state(node, true);
    }
    const bool from_state = fault.from.state && !refused_by_state;
    keep(fault, world_.network().cut_sides(
                    [this, cut, from = fault.from, from_state](const Host& host) {
                        if (cut.contains(&host)) return Side::one;
                        const bool is_peer = host.role() == HostRole::controller;
                        const bool is_worker = host.role() == HostRole::machine;
                        const bool is_users = host.role() == HostRole::users;
                        const bool is_state = &host == &deployment_.state_host();
                        const bool apart = (is_peer && from.peers) || (is_worker && from.workers) ||
                                           (is_users && from.users) || (is_state && from_state);
                        return apart ? Side::two : Side::neither;
                    },
                    cut_mode(fault.mode)));
}

void ServiceFaults::cut_off(const Fault& fault, std::set<std::string> hosts) {
    for (const std::string& host : hosts) world_.note(host, "event=cut");
    keep(fault, world_.network().cut_sides(
                    [hosts = std::move(hosts)](const Host& host) {
                        return hosts.contains(host.name()) ? Side::one : Side::two;
                    },
                    cut_mode(fault.mode)));
}

void ServiceFaults::cut_zones(const Fault& fault) {
    for (const std::string& zone : fault.zones) world_.note("world", "event=zone_cut zone=" + zone);
    keep(fault, world_.network().cut_sides(
                    [zones = std::set<std::string>(fault.zones.begin(), fault.zones.end())](
                        const Host& host) { return zones.contains(host.zone()) ? Side::one : Side::two; },
                    cut_mode(fault.mode)));
}

}  // namespace hatchwind::emulator
