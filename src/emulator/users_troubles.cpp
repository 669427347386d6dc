// What users do on bad days: close looks, odd requests, many cancellations at once.
#include <algorithm>
#include <array>

#include "emulator/users.hpp"

namespace hatchwind::emulator {

namespace {
constexpr int looks_at_each_node = 3;
constexpr Micros look_within{10'000};
constexpr Micros cancel_within{200'000};
constexpr std::size_t most_hung = 8;
constexpr double long_to_go_s = 30;
constexpr Micros least_odd_gap{200'000};
constexpr Micros most_odd_gap{1'500'000};
constexpr Micros unfit_for{20'000'000};
}  // namespace

// --- close looks ---

void Users::look_closely(const std::string& job) {
    for (const NodeAddress& node : balancer_.addresses()) {
        for (int i = 0; i < looks_at_each_node; ++i)
            scope_.spawn(look_at(node, poll_of(job), random_.between(Micros{0}, look_within)));
    }
    const JobSpec* spec = board_.find(job);
    if (spec == nullptr) return;
    const auto& nodes = balancer_.addresses();
    const NodeAddress& node = nodes[random_.below(nodes.size())];
    scope_.spawn(look_at(node, submission_of(*spec), random_.between(Micros{0}, look_within)));
}

io::Task<void> Users::look_at(NodeAddress node, Request request, Micros delay) {
    co_await loop_.sleep(delay);
    auto asking = ask_node(std::move(node), std::move(request));
    co_await std::move(asking);
}

// Long after the end: a question, repeated until it is answered, or a repeated submission.
io::Task<void> Users::ask_later(std::string job) {
    constexpr Micros soonest{10'000'000};
    constexpr Micros latest{200'000'000};
    co_await loop_.sleep(random_.between(soonest, latest));
    constexpr double submits_again = 0.3;
    const JobSpec* spec = board_.find(job);
    if (spec != nullptr && random_.chance(submits_again)) {
        auto asking = ask(submission_of(*spec));
        co_await std::move(asking);
    }
    while (true) {
        auto asking = ask(poll_of(job));
        const Answer answer = co_await std::move(asking);
        constexpr int ok = 200;
        constexpr int not_found = 404;
        if (answer.status == ok || answer.status == not_found) co_return;
        co_await loop_.sleep(config_.poll_every);
    }
}

// --- many cancellations ---

void Users::cancel_now(std::size_t count, Micros hang) {
    std::vector<std::string> running;
    for (const std::string& job : unfinished_) {
        const JobSpec* spec = board_.find(job);
        if (spec == nullptr || cancelling_.contains(job) || board_.machines_of(job).empty()) continue;
        if (spec->form == JobForm::service || board_.work_s(job, 0) >= long_to_go_s) running.push_back(job);
    }
    std::shuffle(running.begin(), running.end(), random_.engine());
    running.resize(std::min(running.size(), count));
    std::set<std::string> machines;
    for (const std::string& job : running) {
        for (const std::string& machine : board_.machines_of(job)) {
            if (machines.size() < most_hung) machines.insert(machine);
        }
        cancel_soon(job, random_.between(Micros{0}, cancel_within));
    }
    if (hang <= Micros{0} || !hooks_.hang_machine) return;
    for (const std::string& machine : machines) hooks_.hang_machine(machine, hang);
}

// --- odd requests ---

void Users::set_odd_requests(bool on) {
    const bool begin = on && !odd_requests_;
    odd_requests_ = on;
    if (begin) scope_.spawn(send_odd_requests());
}

io::Task<void> Users::send_odd_requests() {
    while (odd_requests_) {
        co_await loop_.sleep(random_.between(least_odd_gap, most_odd_gap));
        scope_.spawn(send_odd_request());
    }
}

io::Task<void> Users::send_odd_request() {
    enum Kind : std::uint8_t { submit_again, cancel_done, ask_unknown, unhealthy, kinds };
    const auto kind = static_cast<Kind>(random_.below(kinds));
    if (kind == submit_again && !unfinished_.empty()) {
        const auto step = static_cast<std::ptrdiff_t>(random_.below(unfinished_.size()));
        const JobSpec* spec = board_.find(*std::next(unfinished_.begin(), step));
        auto asking = ask(submission_of(*spec));
        co_await std::move(asking);
    } else if (kind == cancel_done && !done_.empty()) {
        const std::string job = done_[random_.below(done_.size())];
        recorder_.record(CancelAsked{job});
        auto asking = ask(cancel_of(job));
        co_await std::move(asking);
    } else if (kind == ask_unknown) {
        auto asking = ask(poll_of(drawer_.next_id()));
        co_await std::move(asking);
    } else {
        auto submitting = submit_unfit();
        co_await std::move(submitting);
    }
}

// A job that no machine or team can run, or whose body lacks a field.
io::Task<void> Users::submit_unfit() {
    if (config_.classes.empty()) co_return;
    auto [spec, truth] = drawer_.draw(config_.classes[random_.below(config_.classes.size())]);
    const bool malformed = random_.chance(0.5);
    Json body;
    if (malformed) {
        constexpr std::array required{"flock", "crew",  "form",  "rank",  "legs",
                                      "cores", "memGb", "plate", "sizeGb"};
        body = submission(spec);
        body.erase(required.at(random_.below(required.size())));
    } else {
        constexpr double far_too_large = 1000;
        if (random_.chance(0.5)) spec.team = "nobody";
        spec.per_task.cores *= far_too_large;
        body = submission(spec);
    }
    board_.upload(spec, truth);
    recorder_.record(JobSubmitted{spec, malformed ? JobValidity::malformed : JobValidity::impossible});
    Request request = submission_of(spec);
    request.body = wire::encode(body);
    auto submitting = repeat(std::move(request), unfit_for);
    co_await std::move(submitting);
}

}  // namespace hatchwind::emulator
