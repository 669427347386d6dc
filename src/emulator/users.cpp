// The life of a job as its user sees it, and how requests are sent and repeated.
#include "emulator/users.hpp"

#include <algorithm>
#include <random>

namespace hatchwind::emulator {

namespace {
constexpr int no_answer = 0;
constexpr int ok = 200;
constexpr int created = 201;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int unprocessable = 422;

constexpr Micros submit_patience{5'000'000};
constexpr Micros poll_patience{2'000'000};
constexpr Micros submit_for{60'000'000};
constexpr Micros cancel_for{180'000'000};
constexpr Micros least_retry{1'000'000};
constexpr int longest_retry_after_s = 30;
constexpr int connection_attempts = 3;
constexpr Micros arrival_step{100'000};
constexpr double keep_connection = 0.9;
}  // namespace

Users::Users(io::Loop& loop, UsersConfig config, UsersHooks hooks, std::vector<NodeAddress> nodes,
             JobBoard& board, Recorder& recorder)
    : loop_(loop),
      config_(std::move(config)),
      hooks_(std::move(hooks)),
      board_(board),
      recorder_(recorder),
      random_(config_.seed, "users"),
      balancer_(loop, std::move(nodes), config_.seed),
      client_(loop, 16, 1024),
      drawer_(config_.teams, config_.seed) {
    board_.on_job_complete = [this](const std::string& job) {
        if (random_.chance(cancel_at_end_share_)) cancel_soon(job, Micros{0});
    };
    for (std::size_t i = 0; i < config_.classes.size(); ++i) scope_.spawn(arrivals(i));
}

// --- arrivals ---

void Users::set_arrival_factor(const std::string& job_class, double factor) {
    arrival_factors_[job_class] = factor;
}

io::Task<void> Users::arrivals(std::size_t job_class) {
    const JobClass& drawn = config_.classes[job_class];
    for (std::uint32_t i = 0; i < drawn.initial; ++i) {
        co_await loop_.sleep(
            random_.between(Micros{0}, config_.initial_within / static_cast<std::int64_t>(drawn.initial)));
        start_job(job_class);
    }
    const Micros end = recorder_.now() + config_.duration;
    while (drawn.arrivals_per_s > 0 && recorder_.now() < end) {
        co_await loop_.sleep(arrival_step);
        const auto factor = arrival_factors_.find(drawn.name);
        const double rate = drawn.arrivals_per_s * (factor == arrival_factors_.end() ? 1 : factor->second);
        if (rate <= 0) continue;
        std::poisson_distribution<int> count(rate * to_seconds(arrival_step));
        for (int left = count(random_.engine()); left > 0; --left) start_job(job_class);
    }
}

void Users::start_job(std::size_t job_class) {
    auto [spec, truth] = drawer_.draw(config_.classes[job_class]);
    scope_.spawn(live(std::move(spec), truth));
}

void Users::submit_one(const std::string& job_class) {
    for (std::size_t i = 0; i < config_.classes.size(); ++i) {
        if (config_.classes[i].name == job_class) start_job(i);
    }
}

// --- a job's life ---

io::Task<void> Users::live(JobSpec spec, JobTruth truth) {
    board_.upload(spec, truth);
    recorder_.record(JobSubmitted{spec, JobValidity::valid});
    auto submitting = repeat(submission_of(spec), submit_for);
    const Answer answer = co_await std::move(submitting);
    const bool accepted = answer.status == ok || answer.status == created;
    // Whether a submission that was given up was accepted is unknown; a service would run for ever.
    if (!accepted && (answer.definite || spec.form != JobForm::service)) co_return;
    unfinished_.insert(spec.id);
    if (close_looks_) look_closely(spec.id);
    plan_cancellation(spec, truth);
    if (!accepted) co_return;
    auto following = follow(spec.id);
    co_await std::move(following);
}

void Users::plan_cancellation(const JobSpec& spec, const JobTruth& truth) {
    if (spec.form == JobForm::service) return cancel_soon(spec.id, from_seconds(truth.run_s));
    const auto drawn =
        std::find_if(config_.classes.begin(), config_.classes.end(),
                     [&](const JobClass& candidate) { return candidate.name == spec.job_class; });
    constexpr double least_thought_s = 20;
    constexpr double at_once_share = 0.1;
    const bool at_once = close_looks_ && random_.chance(at_once_share);
    const bool later = drawn != config_.classes.end() && random_.chance(drawn->cancelled_share);
    if (at_once) return cancel_soon(spec.id, Micros{0});
    if (later) cancel_soon(spec.id, from_seconds(random_.uniform(0, std::max(truth.run_s, least_thought_s))));
    // A job with a mistake fails everywhere until its user gives it up.
    constexpr double mistake_seen_s = 60;
    if (truth.fails_everywhere) cancel_soon(spec.id, from_seconds(mistake_seen_s));
}

io::Task<void> Users::follow(std::string job) {
    while (unfinished_.contains(job)) {
        const Micros tenth = config_.poll_every / 10;
        co_await loop_.sleep(random_.between(config_.poll_every - tenth, config_.poll_every + tenth));
        if (!unfinished_.contains(job)) co_return;
        auto asking = ask(poll_of(job));
        const Answer answer = co_await std::move(asking);
        if (answer.status == not_found) {
            unfinished_.erase(job);
            co_return;
        }
        if (answer.told == JobStatus::done || answer.told == JobStatus::cancelled) over(job, *answer.told);
    }
}

void Users::over(const std::string& job, JobStatus status) {
    if (unfinished_.erase(job) == 0) return;
    if (status == JobStatus::done) done_.push_back(job);
    if (close_looks_) look_closely(job);
    constexpr double asks_again = 0.2;
    if (random_.chance(asks_again)) scope_.spawn(ask_later(job));
}

void Users::cancel_soon(const std::string& job, Micros delay) { scope_.spawn(cancel(job, delay)); }

io::Task<void> Users::cancel(std::string job, Micros delay) {
    co_await loop_.sleep(delay);
    if (!unfinished_.contains(job) || !cancelling_.insert(job).second) co_return;
    recorder_.record(CancelAsked{job});
    auto cancelling = repeat(cancel_of(job), cancel_for);
    const Answer answer = co_await std::move(cancelling);
    cancelling_.erase(job);
    if (answer.told) over(job, *answer.told);
}

// --- requests ---

Users::Request Users::submission_of(const JobSpec& spec) const {
    return {RequestKind::submit, spec.id, wire::encode(submission(spec)), submit_patience};
}
Users::Request Users::poll_of(const std::string& job) { return {RequestKind::poll, job, "", poll_patience}; }
Users::Request Users::cancel_of(const std::string& job) {
    return {RequestKind::cancel, job, "", submit_patience};
}

io::Task<Users::Answer> Users::repeat(Request request, Micros for_time) {
    const Micros end = io::steady_now() + for_time;
    while (true) {
        auto asking = ask(request);
        const Answer answer = co_await std::move(asking);
        if (answer.definite) co_return answer;
        const Micros told{std::min(answer.retry_after_s, longest_retry_after_s) * std::int64_t{1'000'000}};
        const Micros next = io::steady_now() + std::max(told, least_retry);
        if (next >= end) co_return answer;
        co_await loop_.sleep_until(next);
    }
}

std::unique_ptr<LoadBalancer::Connection> Users::take_connection() {
    while (!idle_.empty()) {
        std::swap(idle_[random_.below(idle_.size())], idle_.back());
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->open()) return connection;
        client_.close_idle(connection->node().address);
    }
    return balancer_.open();
}

io::Task<Users::Answer> Users::ask(Request request) {
    const Micros sent_at = recorder_.now();
    for (int attempt = 0; attempt < connection_attempts; ++attempt) {
        auto connection = take_connection();
        if (connection == nullptr) break;
        const NodeAddress node = connection->node();
        auto sending = send(node.address, request);
        const io::HttpResult reply = co_await std::move(sending);
        if (reply.never_sent()) {
            connection->refused();
            continue;
        }
        connection->accepted();
        const bool keep =
            reply.has_value() && idle_.size() < config_.connections && random_.chance(keep_connection);
        if (keep) idle_.push_back(std::move(connection));
        co_return note(node.label, request, sent_at, reply);
    }
    co_return note("no node", request, sent_at, io::HttpError::connect_failed);
}

io::Task<Users::Answer> Users::ask_node(NodeAddress node, Request request) {
    const Micros sent_at = recorder_.now();
    auto sending = send(node.address, request);
    const io::HttpResult reply = co_await std::move(sending);
    co_return note(node.label, request, sent_at, reply);
}

io::Task<io::HttpResult> Users::send(io::Address node, const Request& request) {
    const bool poll = request.kind == RequestKind::poll;
    std::string target = "/api/jobs";
    if (request.kind != RequestKind::submit) target += "/" + request.job;
    if (request.kind == RequestKind::cancel) target += "/cancel";
    const std::string method = poll ? "GET" : "POST";
    const Micros deadline = io::steady_now() + request.patience;
    auto sending = client_.send(node, method, target, request.body, deadline);
    const io::HttpResult reply = co_await std::move(sending);
    co_return reply;
}

Users::Answer Users::note(const std::string& node, const Request& request, Micros sent_at,
                          const io::HttpResult& reply) {
    Answer answer;
    answer.status = reply.status_or(no_answer);
    answer.retry_after_s = reply ? reply->retry_after_s : 0;
    const bool positive = reply.has_status(ok) || reply.has_status(created);
    const auto body = positive ? wire::decode(reply->body) : std::nullopt;
    if (body && body->is_object()) answer.told = parse_status(*body);
    const bool refused = reply.has_status(bad_request) || reply.has_status(unprocessable);
    if (request.kind == RequestKind::submit) answer.definite = positive || refused;
    if (request.kind == RequestKind::cancel)
        answer.definite = answer.told.has_value() || reply.has_status(not_found);
    recorder_.record(UserAnswer{request.kind, request.job, node, sent_at, answer.status, answer.told});
    return answer;
}

}  // namespace hatchwind::emulator
