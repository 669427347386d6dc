#include "emulator/model_faults.hpp"

#include <algorithm>
#include <cmath>

namespace hatchwind::emulator {

std::vector<std::string> choose_machines(const Fleet& fleet, const MachineChoice& choice, Random& random) {
    std::vector<std::string> machines;
    for (const auto& [id, worker] : fleet) {
        if (!choice.zone || worker->machine().zone == *choice.zone) machines.push_back(id);
    }
    const auto share =
        static_cast<std::size_t>(std::ceil(choice.share * static_cast<double>(machines.size())));
    const std::size_t count = choice.count > 0 ? std::min<std::size_t>(choice.count, machines.size()) : share;
    std::shuffle(machines.begin(), machines.end(), random.engine());
    machines.resize(count);
    std::sort(machines.begin(), machines.end());
    return machines;
}

bool ModelFaults::begin(const Fault& fault) {
    switch (fault.kind) {
        case FaultKind::machine_hang:
        case FaultKind::machine_slow:
        case FaultKind::machine_death:
        case FaultKind::machine_mute:
        case FaultKind::machine_deaf:
            begin_on_machines(fault);
            return true;
        case FaultKind::late_reports:
            late_reports_.share = fault.share;
            late_reports_.latest = fault.latest;
            late_reports_.keep_for_next_leader = fault.for_next_leader;
            for (const auto& [id, worker] : fleet_) worker->set_late_reports(late_reports_);
            return true;
        case FaultKind::late_commands:
            late_commands_.share = fault.share;
            for (const auto& [id, worker] : fleet_) worker->set_late_commands(late_commands_);
            return true;
        case FaultKind::duplicate_commands:
            duplicate_commands_ = {fault.share, fault.soonest, fault.latest};
            for (const auto& [id, worker] : fleet_) worker->set_duplicate_commands(duplicate_commands_);
            return true;
        case FaultKind::spot_taken:
            take_spot(fault);
            return true;
        case FaultKind::boot_trouble:
            cloud_.set_boot_trouble({fault.fail_share, fault.factor, fault.instant});
            return true;
        case FaultKind::cloud_outage:
            cloud_.set_outage(true);
            return true;
        case FaultKind::late_rentals:
            cloud_.set_late_share(fault.share);
            return true;
        case FaultKind::job_burst:
            users_.set_arrival_factor(fault.job_class, fault.factor);
            return true;
        case FaultKind::cancel_now:
            users_.cancel_now(fault.count, fault.hang);
            return true;
        case FaultKind::cancel_at_end:
            users_.set_cancel_at_end(fault.share);
            return true;
        case FaultKind::odd_requests:
            users_.set_odd_requests(true);
            return true;
        case FaultKind::close_looks:
            users_.set_close_looks(true);
            return true;
        default:
            return false;
    }
}

bool ModelFaults::end(const Fault& fault) {
    switch (fault.kind) {
        case FaultKind::machine_hang:
        case FaultKind::machine_slow:
        case FaultKind::machine_mute:
        case FaultKind::machine_deaf:
            for (const std::string& id : struck_[&fault]) {
                const auto worker = fleet_.find(id);
                if (worker != fleet_.end()) end_on_machine(fault.kind, *worker->second);
            }
            struck_.erase(&fault);
            return true;
        case FaultKind::late_reports:
            late_reports_ = {};
            for (const auto& [id, worker] : fleet_) worker->set_late_reports(late_reports_);
            return true;
        case FaultKind::late_commands:
            late_commands_ = {};
            for (const auto& [id, worker] : fleet_) worker->set_late_commands(late_commands_);
            return true;
        case FaultKind::duplicate_commands:
            duplicate_commands_ = {};
            for (const auto& [id, worker] : fleet_) worker->set_duplicate_commands(duplicate_commands_);
            return true;
        case FaultKind::boot_trouble:
            cloud_.set_boot_trouble({});
            return true;
        case FaultKind::cloud_outage:
            cloud_.set_outage(false);
            return true;
        case FaultKind::late_rentals:
            cloud_.set_late_share(0);
            return true;
        case FaultKind::job_burst:
            users_.set_arrival_factor(fault.job_class, 1);
            return true;
        case FaultKind::cancel_at_end:
            users_.set_cancel_at_end(0);
            return true;
        case FaultKind::odd_requests:
            users_.set_odd_requests(false);
            return true;
        case FaultKind::close_looks:
            users_.set_close_looks(false);
            return true;
        case FaultKind::machine_death:
        case FaultKind::spot_taken:
        case FaultKind::cancel_now:
            return true;  // happen at once
        default:
            return false;
    }
}

void ModelFaults::begin_on_machines(const Fault& fault) {
    const std::vector<std::string> machines = choose_machines(fleet_, fault.machines, random_);
    for (const std::string& id : machines) {
        Worker& worker = *fleet_.at(id);
        if (fault.kind == FaultKind::machine_hang) worker.hang();
        if (fault.kind == FaultKind::machine_slow) worker.set_slowness(fault.factor);
        if (fault.kind == FaultKind::machine_mute) worker.set_mute(true);
        if (fault.kind == FaultKind::machine_deaf) worker.set_deaf(true);
        if (fault.kind == FaultKind::machine_death) cloud_.fail(id);  // the worker is gone with it
    }
    struck_[&fault] = machines;
}

void ModelFaults::end_on_machine(FaultKind kind, Worker& worker) {
    if (kind == FaultKind::machine_hang) worker.resume();
    if (kind == FaultKind::machine_slow) worker.set_slowness(1);
    if (kind == FaultKind::machine_mute) worker.set_mute(false);
    if (kind == FaultKind::machine_deaf) worker.set_deaf(false);
}

void ModelFaults::take_spot(const Fault& fault) {
    Fleet spot;
    for (const auto& [id, worker] : fleet_) {
        if (worker->machine().spot) spot.emplace(id, worker);
    }
    for (const std::string& id : choose_machines(spot, fault.machines, random_)) {
        const Micros notice = from_seconds(to_seconds(fault.notice) * random_.uniform(0.5, 1.5));
        scope_.spawn(take_later(id, random_.between(Micros{0}, fault.over), notice));
    }
}

io::Task<void> ModelFaults::take_later(std::string machine, Micros delay, Micros notice) {
    co_await loop_.sleep(delay);
    cloud_.take(machine, notice);
}

void ModelFaults::hang_for(const std::string& machine, Micros for_time) {
    const auto worker = fleet_.find(machine);
    if (worker == fleet_.end()) return;
    worker->second->hang();
    scope_.spawn(resume_later(machine, for_time));
}

io::Task<void> ModelFaults::resume_later(std::string machine, Micros delay) {
    co_await loop_.sleep(delay);
    const auto worker = fleet_.find(machine);
    if (worker != fleet_.end()) worker->second->resume();
}

void ModelFaults::join(Worker& worker) {
    worker.set_late_reports(late_reports_);
    worker.set_late_commands(late_commands_);
    worker.set_duplicate_commands(duplicate_commands_);
}

void ModelFaults::leader_has_begun(const std::vector<io::Address>& controllers) {
    for (const auto& [id, worker] : fleet_) worker->release_report_copies(controllers);
}

}  // namespace hatchwind::emulator
