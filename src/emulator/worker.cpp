#include "emulator/worker.hpp"

#include <algorithm>

namespace hatchwind::emulator {

namespace {
constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int misdirected = 421;
constexpr int unavailable = 503;

constexpr Micros answer_patience{4'000'000};
constexpr Micros next_node_pause{1'000'000};
constexpr Micros least_report_gap{500'000};
constexpr Micros most_redirect_pause{500'000};
// Beyond the patience of whoever sends commands: an answer as late as this reaches nobody.
constexpr Micros beyond_patience{20'000'000};

io::HttpResponse response(int status, const Json& body = Json::object()) {
    io::HttpResponse answer;
    answer.status = status;
    answer.body = wire::encode(body);
    return answer;
}
}  // namespace

Worker::Worker(io::Loop& loop, WorkerWorld& world, MachineIdentity machine, io::Address listen_at)
    : loop_(loop),
      world_(world),
      machine_(std::move(machine)),
      random_(world.seed, "worker " + machine_.id),
      client_(loop),
      tasks_changed_(loop),
      report_changed_(loop),
      resumed_(loop),
      runner_(machine_, world.board, world.gangs, world.recorder, random_,
              [this] { tasks_changed_.notify_all(); }),
      lease_from_(io::steady_now()),
      home_(random_.below(world.nodes.size())),
      next_regular_(io::steady_now()),
      server_(loop, listen_at, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }) {
    world_.recorder.record(
        MachineUp{machine_.id, machine_.type.name, machine_.zone, machine_.spot, machine_.type.size});
    // The service is right to avoid it, so its room is no room.
    if (machine_.error_share > 0) set_usable(false, "faulty");
    scope_.spawn(server_.serve());
    scope_.spawn(run_tasks());
    scope_.spawn(report_for_good());
}

Worker::~Worker() {
    scope_.cancel();
    runner_.kill_all("machine gone", true_now());
    world_.recorder.record(MachineGone{machine_.id});
}

// --- tasks and the lease ---

io::Task<void> Worker::run_tasks() {
    while (true) {
        const Micros now = io::steady_now();
        end_session_if_over(now);
        if (!hung_) runner_.advance(true_now());
        if (runner_.changes() != reported_changes_) changed();
        const Micros lease_end = lease_from_ + world_.times.lease + Micros{1};
        const Micros event = runner_.next_event();
        const Micros event_due =
            event == Micros::max() ? event : now + std::max(event - true_now(), Micros{1});
        co_await tasks_changed_.wait(std::min(lease_end, event_due));
    }
}

// A hanging machine's tasks do not outlive its lease either: they are killed before it does anything else.
void Worker::end_session_if_over(Micros now) {
    if (now - lease_from_ <= world_.times.lease) return;
    runner_.kill_all("lease over", true_now());
    ++session_;
    lease_from_ = now;
    changed();
}

void Worker::changed() {
    report_wanted_ = true;
    reported_changes_ = runner_.changes();
    report_changed_.notify_all();
}

// --- reports ---

Micros Worker::report_due() const {
    const Micros due =
        report_wanted_ ? std::min(next_regular_, last_sent_ + least_report_gap) : next_regular_;
    return std::max(due, not_before_);
}

io::Task<void> Worker::report_for_good() {
    while (true) {
        const Micros now = io::steady_now();
        const Micros due = hung_ ? Micros::max() : report_due();
        if (now < due) {
            co_await report_changed_.wait(due);
            continue;
        }
        auto sending = send_report();
        co_await std::move(sending);
    }
}

std::string Worker::next_report() {
    Report report;
    report.machine = machine_.id;
    report.address = machine_.address;
    report.type = machine_.type.name;
    report.zone = machine_.zone;
    report.spot = machine_.spot;
    report.incarnation = session_;
    report.heartbeat_sequence = ++tick_;
    report.fencing_token = fencing_token_;
    if (taken_at_) report.notice_s = std::max(to_seconds(*taken_at_ - true_now()), 0.0);
    report.tasks = runner_.statuses();
    return wire::encode(report_body(report));
}

io::Task<void> Worker::send_report() {
    const Micros sent_at = io::steady_now();
    const std::uint64_t session_sent = session_;
    report_wanted_ = false;
    last_sent_ = sent_at;
    const Micros quarter = world_.times.report / 4;
    next_regular_ = sent_at + random_.between(world_.times.report - quarter, world_.times.report + quarter);
    const std::string body = next_report();
    io::HttpResult reply = io::HttpError::timed_out;
    if (mute_) {
        co_await loop_.sleep_until(sent_at + answer_patience);
    } else {
        copy_report(body);
        const io::Address node = world_.nodes[home_].address;
        auto sending = client_.send(node, "POST", "/hello", body, sent_at + answer_patience);
        reply = co_await std::move(sending);
    }
    if (deaf_) {
        reply = io::HttpError::timed_out;
        co_await loop_.sleep_until(sent_at + answer_patience);
    }
    while (hung_) co_await resumed_.wait();
    if (io::steady_now() - sent_at > answer_patience) reply = io::HttpError::timed_out;
    take_answer(reply, session_sent, sent_at);
}

void Worker::take_answer(const io::HttpResult& reply, std::uint64_t session_sent, Micros sent_at) {
    const Micros now = io::steady_now();
    end_session_if_over(now);
    if (reply.has_status(misdirected)) return redirect(reply, now);
    if (!reply.has_status(ok)) return try_next(now);
    const auto body = wire::decode(reply->body);
    if (!body) return;
    const CommandBatch batch = parse_commands(*body);
    if (session_sent != session_ || !batch.fencing_token || *batch.fencing_token < fencing_token_) return;
    lease_from_ = std::max(lease_from_, sent_at);
    observe_fencing_token(*batch.fencing_token, now);
    execute(batch);
}

void Worker::redirect(const io::HttpResult& reply, Micros now) {
    const auto body = wire::decode(reply->body);
    const auto label = body ? parse_home(*body) : std::nullopt;
    const auto named = std::find_if(world_.nodes.begin(), world_.nodes.end(),
                                    [&](const NodeAddress& node) { return label && node.label == *label; });
    const auto index = static_cast<std::size_t>(named - world_.nodes.begin());
    if (named == world_.nodes.end() || index == home_) return try_next(now);
    client_.close_idle(world_.nodes[home_].address);
    home_ = index;
    next_regular_ = now + random_.between(Micros{0}, most_redirect_pause);
    not_before_ = next_regular_;
}

void Worker::try_next(Micros now) {
    client_.close_idle(world_.nodes[home_].address);
    home_ = (home_ + 1) % world_.nodes.size();
    next_regular_ = now + next_node_pause;
    not_before_ = next_regular_;
}

void Worker::copy_report(const std::string& body) {
    if (!random_.chance(late_reports_.share)) return;
    if (late_reports_.keep_for_next_leader) {
        kept_copies_.push_back(body);
        return;
    }
    const Micros delay = random_.between(late_reports_.soonest, late_reports_.latest);
    scope_.spawn(send_copy(world_.nodes[home_].address, body, delay));
}

void Worker::release_report_copies(const std::vector<io::Address>& nodes) {
    for (const std::string& body : kept_copies_) {
        for (const io::Address& node : nodes) scope_.spawn(send_copy(node, body, Micros{0}));
    }
    kept_copies_.clear();
}

// The network delivers the copy; what is answered reaches nobody.
io::Task<void> Worker::send_copy(io::Address node, std::string body, Micros delay) {
    co_await loop_.sleep(delay);
    const Micros deadline = io::steady_now() + answer_patience;
    auto sending = client_.send(node, "POST", "/hello", std::move(body), deadline);
    co_await std::move(sending);
}

// --- commands ---

bool Worker::entitled(const CommandBatch& batch) const {
    return *batch.fencing_token >= fencing_token_ && *batch.incarnation == session_;
}

// A higher fencing token is worth a report of its own, but at most once in half a lease.
void Worker::observe_fencing_token(std::uint64_t fencing_token, Micros now) {
    if (fencing_token <= fencing_token_) return;
    fencing_token_ = fencing_token;
    if (token_told_at_ != Micros{} && now - token_told_at_ < world_.times.lease / 2) return;
    token_told_at_ = now;
    changed();
}

void Worker::execute(const CommandBatch& batch) {
    for (const Command& command : batch.commands) runner_.execute(command, true_now());
    tasks_changed_.notify_all();
}

io::HttpResponse Worker::report_response(int status) {
    io::HttpResponse answer;
    answer.status = status;
    answer.body = next_report();
    return answer;
}

io::Task<io::HttpResponse> Worker::handle(io::HttpRequest request) {
    if (deaf_) {
        co_await loop_.sleep(beyond_patience);
        co_return response(unavailable);
    }
    while (hung_) co_await resumed_.wait();
    end_session_if_over(io::steady_now());
    if (request.method == "GET" && request.target == "/status") co_return report_response(ok);
    if (request.method != "POST" || request.target != "/orders") co_return response(not_found);
    auto answering = handle_orders(request);
    io::HttpResponse answer = co_await std::move(answering);
    co_return answer;
}

io::Task<io::HttpResponse> Worker::handle_orders(const io::HttpRequest& request) {
    const auto body = wire::decode(request.body);
    const CommandBatch batch = body ? parse_commands(*body) : CommandBatch{};
    if (!batch.fencing_token || !batch.incarnation) co_return response(bad_request);
    if (random_.chance(late_commands_.share)) {
        scope_.spawn(execute_late(batch, random_.between(late_commands_.soonest, late_commands_.latest)));
        co_await loop_.sleep(beyond_patience);
        co_return response(unavailable);
    }
    if (!entitled(batch)) co_return report_response(conflict);
    const Micros now = io::steady_now();
    observe_fencing_token(*batch.fencing_token, now);
    execute(batch);
    copy_commands(batch);
    co_return report_response(ok);
}

void Worker::copy_commands(const CommandBatch& batch) {
    // Without the fault nothing is drawn, so that runs of other scenarios stay as they were.
    if (duplicate_commands_.share <= 0 || !random_.chance(duplicate_commands_.share)) return;
    scope_.spawn(
        execute_late(batch, random_.between(duplicate_commands_.soonest, duplicate_commands_.latest)));
}

io::Task<void> Worker::execute_late(CommandBatch batch, Micros delay) {
    co_await loop_.sleep(delay);
    while (hung_) co_await resumed_.wait();
    const Micros now = io::steady_now();
    end_session_if_over(now);
    if (!entitled(batch)) co_return;
    observe_fencing_token(*batch.fencing_token, now);
    execute(batch);
}

// --- faults ---

void Worker::set_usable(bool usable, const char* reason) {
    world_.recorder.record(MachineUsable{machine_.id, usable, reason});
}

void Worker::hang() {
    if (hung_) return;
    hung_ = true;
    runner_.freeze(true_now());
    set_usable(false, "hangs");
    tasks_changed_.notify_all();
}

void Worker::resume() {
    if (!hung_) return;
    hung_ = false;
    runner_.thaw(true_now());
    set_usable(true, "hangs");
    resumed_.notify_all();
    tasks_changed_.notify_all();
    report_changed_.notify_all();
}

void Worker::set_mute(bool mute) {
    if (mute == mute_) return;
    mute_ = mute;
    set_usable(!mute, "mute");
}

void Worker::set_deaf(bool deaf) {
    if (deaf == deaf_) return;
    deaf_ = deaf;
    set_usable(!deaf, "deaf");
}

void Worker::set_slowness(double factor) {
    runner_.set_slowness(factor, true_now());
    tasks_changed_.notify_all();
}

void Worker::give_notice(Micros taken_at) {
    taken_at_ = taken_at;
    set_usable(false, "spot notice");
    changed();
}

}  // namespace hatchwind::emulator
