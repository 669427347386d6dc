#include "emulator/report.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>

namespace hatchwind::emulator {

namespace {
constexpr int ok = 200;
constexpr int created = 201;
constexpr double least_shown_s = 1.0 / 1024;
constexpr double most_shown_s = 1024;
constexpr unsigned parts = 20;  // one for each power of two between them
constexpr std::size_t bar_width = 40;

std::string fixed(double value, int digits = 3) { return fmt::format("{:.{}f}", value, digits); }

const char* request_name(RequestKind kind) {
    constexpr std::array names{"submit", "poll", "cancel"};
    return names.at(static_cast<std::size_t>(kind));
}
}  // namespace

double TimeSeries::percentile(double share) const {
    if (values_.empty()) return 0;
    std::vector<double> sorted = values_;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto index = static_cast<std::ptrdiff_t>(std::lround(share * last));
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted[static_cast<std::size_t>(index)];
}

std::string TimeSeries::text(const std::string& name) const {
    std::ostringstream text;
    text << name << ": " << values_.size() << " values";
    if (values_.empty()) return text.str() + "\n";
    for (const auto& [label, share] : {std::pair{"median", 0.5}, {"p95", 0.95}, {"p99", 0.99}, {"max", 1.0}})
        text << ", " << label << " " << fixed(percentile(share)) << " s";
    text << "\n";
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    // Counts as doubles: in C++20 the comparisons of Boost 1.74's default storage call themselves for ever.
    auto histogram = boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                           Axis(parts, least_shown_s, most_shown_s));
    for (const double value : values_) histogram(std::clamp(value, least_shown_s, most_shown_s * 0.999));
    double most = 0;
    for (const auto& part : boost::histogram::indexed(histogram)) most = std::max<double>(most, *part);
    for (const auto& part : boost::histogram::indexed(histogram)) {
        if (*part == 0) continue;
        const auto width = static_cast<std::size_t>(std::ceil(*part / most * static_cast<double>(bar_width)));
        text << fmt::format("    to {:9.3f} s {:7.0f} ", part.bin().upper(), static_cast<double>(*part))
             << std::string(width, '#') << "\n";
    }
    return text.str();
}

void Figures::observe(const Event& event) {
    std::visit([&](const auto& body) { on(event.at, body); }, event.body);
}

void Figures::on(Micros at, const JobSubmitted& event) {
    if (event.validity != JobValidity::valid) return;
    JobTimes times;
    times.job_class = event.spec.job_class;
    times.submitted_at = at;
    jobs_.emplace(event.spec.id, times);
    ++classes_[event.spec.job_class].submitted;
}

void Figures::on(Micros at, const UserAnswer& event) {
    const std::string status = event.status == 0 ? "none" : std::to_string(event.status);
    ++answers_[std::string{request_name(event.request)} + " " + status];
    const auto found = jobs_.find(event.job);
    if (found == jobs_.end()) return;
    JobTimes& job = found->second;
    ClassFigures& figures = classes_[job.job_class];
    const bool positive = event.status == ok || event.status == created;
    if (event.request == RequestKind::submit && positive && !job.accepted) {
        job.accepted = true;
        ++figures.accepted;
        submission_answered_.add(to_seconds(at - job.submitted_at));
    }
    if (!event.told || job.end) return;
    if (*event.told == JobStatus::done) {
        job.end = event.told;
        ++figures.done;
        figures.complete.add(to_seconds(at - job.submitted_at));
    }
    if (*event.told == JobStatus::cancelled) {
        job.end = event.told;
        job.cancelled_at = at;
        ++figures.cancelled;
    }
}

void Figures::on(Micros /*at*/, const TaskPlaced& /*event*/) { ++starts_; }

void Figures::on(Micros at, const TaskStarted& event) {
    const auto found = jobs_.find(event.task.job);
    if (found == jobs_.end() || found->second.begun) return;
    found->second.begun = true;
    classes_[found->second.job_class].wait.add(to_seconds(at - found->second.submitted_at));
}

void Figures::on(Micros at, const TaskGone& event) {
    ++exits_[event.reason];
    const auto found = jobs_.find(event.task.job);
    if (found == jobs_.end() || !found->second.cancelled_at) return;
    gone_after_cancellation_.add(to_seconds(at - *found->second.cancelled_at));
}

void Figures::on(Micros /*at*/, const MachineUp& /*event*/) {
    ++machines_ever_;
    most_machines_ = std::max(most_machines_, ++machines_);
}

void Figures::on(Micros /*at*/, const MachineGone& /*event*/) { --machines_; }

std::string Figures::figures_text(double spent) const {
    std::ostringstream text;
    text << "machines: " << machines_ever_ << " in all, at most " << most_machines_
         << " at a time, money spent " << fixed(spent, 2) << "\n";
    text << "task starts: " << starts_ << "\ntask ends:";
    for (const auto& [reason, count] : exits_) text << " " << reason << " " << count;
    text << "\nanswers:";
    for (const auto& [kind, count] : answers_) text << " " << kind << ": " << count << ";";
    text << "\n" << submission_answered_.text("submission accepted after");
    text << gone_after_cancellation_.text("tasks gone after their cancellation was confirmed");
    for (const auto& [name, figures] : classes_) {
        text << "class " << name << ": " << figures.submitted << " submitted, " << figures.accepted
             << " accepted, " << figures.done << " done, " << figures.cancelled << " cancelled\n";
        text << figures.wait.text("  first task runs after");
        text << figures.complete.text("  told as done after");
    }
    return text.str();
}

bool run_is_right(const Checker& checker) { return checker.violations().empty() && checker.counts().clean(); }

std::string verdict_text(const Checker& checker) {
    std::ostringstream text;
    for (const Violation& violation : checker.violations()) {
        text << "BROKEN " << rule_name(violation.rule) << " at " << fixed(to_seconds(violation.at))
             << " s: " << violation.text << "\n";
        for (const std::string& line : violation.history) text << "    " << line << "\n";
    }
    const CheckerCounts& counts = checker.counts();
    text << "starts after a confirmed cancellation: " << counts.starts_after_cancellation << "\n";
    text << "jobs accepted that can't run or lack a field: " << counts.unfit_accepted << "\n";
    text << "jobs left waiting although a machine had room: " << counts.waiting.size();
    for (const std::string& job : counts.waiting) text << " " << job;
    text << "\nless than half served: " << counts.poorly_served.size() << "\n";
    for (const std::string& group : counts.poorly_served) text << "    " << group << "\n";
    text << (run_is_right(checker) ? "no rule broken" : "the run is not right") << "\n";
    return text.str();
}

}  // namespace hatchwind::emulator
