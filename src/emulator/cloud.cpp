#include "emulator/cloud.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hatchwind::emulator {

namespace {
constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int too_many = 429;
constexpr int unavailable = 503;

constexpr double burst_s = 2;
constexpr double seconds_per_hour = 3600;
constexpr double least_charge_s = 60;
constexpr std::size_t page_limit = 500;
constexpr Micros dying_listed{30'000'000};
constexpr double price_swing = 1.0 / 3;
constexpr double price_period_s = 600;

io::HttpResponse response(int status, const Json& body = Json::object()) {
    io::HttpResponse answer;
    answer.status = status;
    answer.body = wire::encode(body);
    return answer;
}

std::string address_text(io::Address address) {
    return fmt::format("{}.{}.{}.{}:{}", address.ip >> 24U, address.ip >> 16U & 0xffU,
                       address.ip >> 8U & 0xffU, address.ip & 0xffU, address.port);
}
}  // namespace

Cloud::Cloud(io::Loop& loop, CloudConfig config, CloudHooks hooks, Recorder& recorder, io::Address listen_at)
    : loop_(loop),
      config_(std::move(config)),
      hooks_(std::move(hooks)),
      recorder_(recorder),
      random_(config_.seed, "cloud"),
      tokens_(config_.requests_per_s * burst_s),
      tokens_at_(recorder.now()),
      server_(loop, listen_at, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }) {
    for (const Capacity& capacity : config_.capacity) {
        free_[{capacity.type, capacity.zone, false}] += capacity.ordinary;
        free_[{capacity.type, capacity.zone, true}] += capacity.spot;
    }
    scope_.spawn(server_.serve());
    scope_.spawn(take_at_random());
}

// --- machines ---

std::string Cloud::add_machine(const MachineType& type, const std::string& zone, bool spot) {
    std::string id = fmt::format("n-{:06}", ++last_number_);
    Machine machine;
    machine.address = config_.address_of(last_number_);
    machine.identity = {id, address_text(machine.address), type, zone, spot};
    constexpr double speed_difference = 0.05;  // so that machines differ by up to a tenth
    machine.identity.speed = random_.uniform(1 - speed_difference, 1 + speed_difference);
    machine.identity.fetch_gb_per_s = type.fetch_gb_per_s * random_.uniform(2.0 / 3, 4.0 / 3);
    constexpr double faulty_errors = 0.7;
    if (random_.chance(config_.faulty_share)) machine.identity.error_share = faulty_errors;
    machine.rented_at = now();
    machine.hourly_price = spot ? spot_price(type) : type.price;
    const auto pool = free_.find({type.name, zone, spot});
    if (pool != free_.end() && pool->second > 0) --pool->second;
    machines_.emplace(id, std::move(machine));
    return id;
}

void Cloud::start_with(const std::string& type, const std::string& zone, bool spot, std::uint32_t count) {
    const auto found = std::find_if(config_.types.begin(), config_.types.end(),
                                    [&](const MachineType& candidate) { return candidate.name == type; });
    if (found == config_.types.end()) return;
    for (std::uint32_t i = 0; i < count; ++i) {
        Machine& machine = machines_.at(add_machine(*found, zone, spot));
        machine.listed = true;
        bring_up(machine);
    }
}

void Cloud::bring_up(Machine& machine) {
    machine.up_at = now();
    hooks_.boot(machine.identity, machine.address);
}

Micros Cloud::draw_boot_time(const MachineType& type, bool& never) {
    never = random_.chance(std::max(config_.never_up_share, boot_trouble_.fail_share));
    if (boot_trouble_.instant) return random_.between(Micros{1'000'000}, Micros{2'000'000});
    double boot_s = type.boot_s * random_.uniform(0.6, 1.5) * boot_trouble_.factor;
    if (random_.chance(config_.slow_boot_share)) boot_s *= random_.uniform(2, 5);
    return from_seconds(std::max(boot_s, 1.0));
}

io::Task<void> Cloud::boot_later(std::string machine, Micros delay) {
    co_await loop_.sleep(delay);
    const auto found = machines_.find(machine);
    if (found != machines_.end() && !found->second.gone_at && !found->second.failed_at)
        bring_up(found->second);
}

void Cloud::end_machine(Machine& machine) {
    if (machine.gone_at) return;
    const bool failed_before = machine.failed_at.has_value();
    const Micros charged_until = failed_before ? *machine.failed_at : now();
    const double held_s = std::max(to_seconds(charged_until - machine.rented_at), least_charge_s);
    spent_on_gone_ += held_s * machine.hourly_price / seconds_per_hour;
    machine.gone_at = now();
    ++free_[{machine.identity.type.name, machine.identity.zone, machine.identity.spot}];
    if (machine.up_at && !failed_before) hooks_.remove(machine.identity.id);
}

void Cloud::take(const std::string& machine, Micros notice) {
    const auto found = machines_.find(machine);
    if (found == machines_.end() || found->second.gone_at) return;
    if (notice <= Micros{0}) return end_machine(found->second);
    if (found->second.up_at) hooks_.notice(machine, now() + notice);
    scope_.spawn(take_later(machine, notice));
}

io::Task<void> Cloud::take_later(std::string machine, Micros delay) {
    co_await loop_.sleep(delay);
    const auto found = machines_.find(machine);
    if (found != machines_.end()) end_machine(found->second);
}

void Cloud::fail(const std::string& machine) {
    const auto found = machines_.find(machine);
    if (found == machines_.end() || found->second.gone_at || found->second.failed_at) return;
    found->second.failed_at = now();
    if (found->second.up_at) hooks_.remove(machine);
}

io::Task<void> Cloud::take_at_random() {
    constexpr Micros step{1'000'000};
    while (config_.spot.taken_per_hour > 0) {
        co_await loop_.sleep(step);
        std::vector<std::string> taken;
        for (const auto& [id, machine] : machines_) {
            if (!machine.identity.spot || machine.gone_at || machine.failed_at) continue;
            if (random_.chance(config_.spot.taken_per_hour / seconds_per_hour)) taken.push_back(id);
        }
        for (const std::string& id : taken) {
            const bool silent = random_.chance(config_.spot.silent_share);
            take(id, silent ? Micros{0} : from_seconds(config_.spot.notice_s * random_.uniform(0.5, 1.5)));
        }
    }
}

std::vector<MachineIdentity> Cloud::running() const {
    std::vector<MachineIdentity> running;
    for (const auto& [id, machine] : machines_) {
        if (machine.up_at && !machine.gone_at && !machine.failed_at) running.push_back(machine.identity);
    }
    return running;
}

double Cloud::spent() const {
    double spent = spent_on_gone_;
    for (const auto& [id, machine] : machines_) {
        if (machine.gone_at) continue;
        const double held_s = to_seconds(machine.failed_at.value_or(now()) - machine.rented_at);
        spent += held_s * machine.hourly_price / seconds_per_hour;
    }
    return spent;
}

// A slow wave, so that prices move without a state of their own.
double Cloud::spot_price(const MachineType& type) const {
    const double phase = static_cast<double>(stable_hash(type.name) % 1000) / 1000;
    const double turn = to_seconds(now()) / price_period_s + phase;
    return type.spot_price * (1 + price_swing * std::sin(2 * std::numbers::pi * turn));
}

// --- requests ---

bool Cloud::within_rate() {
    const double earned = to_seconds(now() - tokens_at_) * config_.requests_per_s;
    tokens_ = std::min(tokens_ + earned, config_.requests_per_s * burst_s);
    tokens_at_ = now();
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

io::Task<io::HttpResponse> Cloud::handle(io::HttpRequest request) {
    if (!within_rate()) co_return response(too_many);
    co_await loop_.sleep(from_seconds(config_.answer_s * random_.uniform(0.5, 2)));
    if (outage_) co_return response(unavailable, {{"error", "trouble"}});
    if (request.method == "POST" && random_.chance(late_share_)) {
        co_await loop_.sleep(random_.between(Micros{2'000'000}, Micros{12'000'000}));
        answer_now(request);
        constexpr Micros beyond_patience{60'000'000};
        co_await loop_.sleep(beyond_patience);
        co_return response(unavailable);
    }
    co_return answer_now(request);
}

io::HttpResponse Cloud::answer_now(const io::HttpRequest& request) {
    if (request.method == "GET" && request.target == "/catalog") return catalog();
    if (request.method == "GET" && request.target.starts_with("/rentals")) return list(request.target);
    const auto body = wire::decode(request.body);
    if (!body) return response(bad_request);
    if (request.method == "POST" && request.target == "/rentals") return rent(*body);
    if (request.method == "POST" && request.target == "/rentals/release") return release(*body);
    return response(not_found);
}

io::HttpResponse Cloud::catalog() {
    Json types = Json::array();
    for (const MachineType& type : config_.types) types.push_back(catalog_entry(type, spot_price(type)));
    return response(ok, {{"builds", std::move(types)}});
}

io::HttpResponse Cloud::rent(const Json& body) {
    const auto request = parse_rental(body);
    if (!request) return response(bad_request);
    const auto before = answered_.find(request->name);
    if (before != answered_.end()) {
        if (before->second.request != *request) ++name_conflicts_;
        return response(ok, rented_answer(before->second.machines));
    }
    const auto type =
        std::find_if(config_.types.begin(), config_.types.end(),
                     [&](const MachineType& candidate) { return candidate.name == request->type; });
    if (type == config_.types.end()) return response(bad_request);
    const auto pool = free_.find({request->type, request->zone, request->spot});
    const std::uint32_t number = pool == free_.end() ? 0 : std::min(pool->second, request->number);
    if (number == 0) return response(unavailable, {{"error", "no capacity"}});
    Answered& answered = answered_[request->name];
    answered.request = *request;
    for (std::uint32_t i = 0; i < number; ++i) {
        const std::string id = add_machine(*type, request->zone, request->spot);
        answered.machines.push_back(id);
        bool never = false;
        const Micros boot_time = draw_boot_time(*type, never);
        if (!never) scope_.spawn(boot_later(id, boot_time));
    }
    return response(ok, rented_answer(answered.machines));
}

io::HttpResponse Cloud::release(const Json& body) {
    const auto names = parse_release(body);
    if (!names) return response(bad_request);
    for (const std::string& name : *names) {
        const auto found = machines_.find(name);
        if (found != machines_.end()) end_machine(found->second);
    }
    return response(ok);
}

// What the list says of a machine as of an earlier time.
std::optional<RentalLine> Cloud::line_at(Machine& machine, Micros seen_at) {
    if (machine.gone_at && *machine.gone_at <= seen_at) return std::nullopt;
    if (machine.rented_at > seen_at && !machine.listed) return std::nullopt;
    machine.listed = true;
    RentalLine line;
    line.id = machine.identity.id;
    line.address = machine.identity.address;
    line.type = machine.identity.type.name;
    line.zone = machine.identity.zone;
    line.spot = machine.identity.spot;
    if (machine.up_at && *machine.up_at <= seen_at) line.status = RentalStatus::running;
    if (machine.failed_at && *machine.failed_at + dying_listed <= seen_at) line.status = RentalStatus::failed;
    line.held_s = std::max(to_seconds(seen_at - machine.rented_at), 0.0);
    return line;
}

// Machines that no list shows any more, however late it is.
void Cloud::forget_gone() {
    constexpr Micros margin{60'000'000};
    const Micros kept = from_seconds(config_.list_lag_s * 2) + margin;
    std::erase_if(machines_, [&](const auto& entry) {
        return entry.second.gone_at && *entry.second.gone_at + kept < now();
    });
}

io::HttpResponse Cloud::list(const std::string& target) {
    const std::string after = query_value(target, "after");
    const std::string most_text = query_value(target, "most");
    std::size_t most = page_limit;
    if (!most_text.empty())
        most = std::min<std::size_t>(std::strtoul(most_text.c_str(), nullptr, 10), page_limit);
    if (most == 0) return response(bad_request);
    constexpr double doubled_share = 0.1;
    const double lag_s = config_.list_lag_s * random_.uniform(0, random_.chance(doubled_share) ? 2 : 1);
    const Micros seen_at = now() - from_seconds(lag_s);
    forget_gone();
    std::vector<RentalLine> lines;
    bool more = false;
    for (auto machine = machines_.upper_bound(after); machine != machines_.end(); ++machine) {
        const auto line = line_at(machine->second, seen_at);
        if (!line) continue;
        if (lines.size() == most) {
            more = true;
            break;
        }
        lines.push_back(*line);
    }
    return response(ok, rental_page(lines, more));
}

}  // namespace hatchwind::emulator
