#include "emulator/world.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

namespace hatchwind::emulator {

using io::Micros;

namespace {

constexpr std::uint32_t kFirstIp = (10U << 24U) + 1;

// Takes the service's log lines into the trace, each under the host that wrote it.
class TraceSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    explicit TraceSink(std::function<void(std::string_view)> take) : take_(std::move(take)) {}

  private:
    void sink_it_(const spdlog::details::log_msg& message) override {
        const std::string_view level = spdlog::level::to_string_view(message.level).data();
        std::string line = "level=" + std::string{level} + " ";
        line.append(message.payload.data(), message.payload.size());
        take_(line);
    }
    void flush_() override {}
    std::function<void(std::string_view)> take_;
};

}  // namespace

class World::LogCapture {
  public:
    explicit LogCapture(World& world) : before_(spdlog::default_logger()) {
        auto sink = std::make_shared<TraceSink>(
            [&world](std::string_view line) { world.note(world.current_name(), line); });
        auto logger = std::make_shared<spdlog::logger>("emulator", std::move(sink));
        logger->set_level(static_cast<spdlog::level::level_enum>(world.options_.log_level));
        spdlog::set_default_logger(std::move(logger));
    }
    ~LogCapture() { spdlog::set_default_logger(before_); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

  private:
    std::shared_ptr<spdlog::logger> before_;
};

std::vector<const Host*> World::hosts() const {
    std::vector<const Host*> all;
    for (const auto& [name, host] : hosts_) all.push_back(host.get());
    return all;
}

World::World(WorldOptions options)
    : options_(options),
      trace_(options.trace_packets),
      network_(*this, options.network, random("network")()),
      log_(std::make_unique<LogCapture>(*this)) {
    io::install_clock(this);
}

World::~World() {
    for (auto& [name, host] : hosts_) run_as(*host, [&h = *host] { h.process_.reset(); });
    io::install_clock(nullptr);
}

Host& World::add_host(std::string name, HostOptions options) {
    const std::size_t index = hosts_.size();
    if (hosts_.contains(name)) throw std::invalid_argument("a host of that name is there: " + name);
    if (options.ip == 0) options.ip = kFirstIp + static_cast<std::uint32_t>(index);
    const std::uint32_t ip = options.ip;
    if (by_ip_.contains(ip)) throw std::invalid_argument("a host of that address is there: " + name);
    auto host = std::make_unique<Host>(*this, name, ip, index, std::move(options));
    Host& made = *host;
    hosts_.emplace(std::move(name), std::move(host));
    by_ip_[ip] = &made;
    network_.joined(made);
    return made;
}

Host& World::host(std::string_view name) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end()) throw std::invalid_argument("no such host: " + std::string{name});
    return *found->second;
}

Host* World::find_host(std::uint32_t ip) {
    const auto found = by_ip_.find(ip);
    return found == by_ip_.end() ? nullptr : found->second;
}

std::mt19937_64 World::random(std::string_view purpose) const {
    std::vector<std::uint32_t> words{static_cast<std::uint32_t>(options_.seed),
                                     static_cast<std::uint32_t>(options_.seed >> 32U)};
    for (const char c : purpose) words.push_back(static_cast<unsigned char>(c));
    std::seed_seq sequence(words.begin(), words.end());
    return std::mt19937_64{sequence};
}

void World::push(Event event) {
    events_.push_back(std::move(event));
    std::push_heap(events_.begin(), events_.end(), Later{});
}

World::Event World::pop() {
    std::pop_heap(events_.begin(), events_.end(), Later{});
    Event event = std::move(events_.back());
    events_.pop_back();
    return event;
}

void World::at(Micros time, std::function<void()> action) {
    push({std::max(time, now_), ++last_event_, nullptr, std::move(action)});
}

void World::schedule_turn(Host& host, Micros time) { push({time, ++last_event_, &host, {}}); }

void World::run_next() {
    Event event = pop();
    now_ = std::max(now_, event.at);
    if (event.turn == nullptr) {
        event.action();
    } else if (event.turn->next_turn_ == event.at) {
        event.turn->run_turn();
    }
}

void World::run_until(Micros time) {
    run_until(time, [] { return false; });
}

bool World::run_until(Micros limit, const std::function<bool()>& condition) {
    if (condition()) return true;
    while (!events_.empty() && events_.front().at <= limit) {
        run_next();
        if (condition()) return true;
    }
    now_ = std::max(now_, limit);
    return false;
}

void World::run_as(const Host& host, const std::function<void()>& action) {
    const Host* before = std::exchange(current_, &host);
    io::install_clock(&host);
    action();
    current_ = before;
    io::install_clock(before != nullptr ? static_cast<const io::Clock*>(before) : this);
}

const std::string& World::current_name() const {
    static const std::string world = "world";
    return current_ != nullptr ? current_->name() : world;
}

}  // namespace hatchwind::emulator
