// The cloud: catalog, rentals by request name, releases, a machine list that lags, capacity, spot notices.
//
// How to make and drive one: construct it on the cloud's own io::Loop; it serves at once. It owns no workers:
// `hooks.boot` is called when a machine is up (make the Worker then, on a loop of its own) and `hooks.remove`
// when it is gone (destroy it), `hooks.notice` when a spot machine will be taken. Machines that the run
// begins with are made by start_with(). Times are the run's true times (the recorder's).
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "emulator/task_runner.hpp"
#include "io/http_server.hpp"

namespace hatchwind::emulator {

/// How many machines of a type a zone has.
struct Capacity {
    std::string type;
    std::string zone;
    std::uint32_t ordinary = 0;
    std::uint32_t spot = 0;
};

struct SpotHabits {
    double taken_per_hour = 0;  // of one machine
    double notice_s = 0;        // give or take a half
    double silent_share = 0;    // taken without notice
};

struct CloudConfig {
    std::vector<MachineType> types;
    std::vector<Capacity> capacity;
    SpotHabits spot;
    double requests_per_s = 10;
    double list_lag_s = 0;
    double answer_s = 0.05;     // usual time to answer
    double never_up_share = 0;  // machines that stay `starting`
    double slow_boot_share = 0.03;
    double faulty_share = 0;  // machines whose tasks fail
    std::uint64_t seed = 0;
    /// Where the n-th machine's worker listens.
    std::function<io::Address(std::uint32_t)> address_of;
};

/// Troubles of new machines.
struct BootTrouble {
    double fail_share = 0;
    double factor = 1;
    bool instant = false;  // up within one to two seconds
};

struct CloudHooks {
    std::function<void(const MachineIdentity&, io::Address)> boot;
    std::function<void(const std::string& machine)> remove;
    std::function<void(const std::string& machine, Micros taken_at)> notice;
};

class Cloud {
  public:
    Cloud(io::Loop& loop, CloudConfig config, CloudHooks hooks, Recorder& recorder, io::Address listen_at);

    /// Machines that are up when the run begins.
    void start_with(const std::string& type, const std::string& zone, bool spot, std::uint32_t count);
    /// Every request is answered with 503.
    void set_outage(bool outage) { outage_ = outage; }
    void set_boot_trouble(const BootTrouble& trouble) { boot_trouble_ = trouble; }
    /// That share of rentals and releases is carried out 2 to 12 s late, without an answer.
    void set_late_share(double share) { late_share_ = share; }
    /// Takes a machine, with a notice when it is positive.
    void take(const std::string& machine, Micros notice);
    /// The machine stops on its own; the list shows it as failed half a minute later.
    void fail(const std::string& machine);

    /// Machines that are up, in name order.
    std::vector<MachineIdentity> running() const;
    /// Money spent until now.
    double spent() const;
    /// Requests that came with a used name and other contents.
    std::size_t name_conflicts() const { return name_conflicts_; }

  private:
    struct Machine {
        MachineIdentity identity;
        io::Address address;
        Micros rented_at{};
        std::optional<Micros> up_at;
        std::optional<Micros> failed_at;
        std::optional<Micros> gone_at;
        bool listed = false;  // once listed, always listed until it is gone
        double hourly_price = 0;
    };
    using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot

    io::Task<io::HttpResponse> handle(io::HttpRequest request);
    io::HttpResponse answer_now(const io::HttpRequest& request);
    io::HttpResponse catalog();
    io::HttpResponse rent(const Json& body);
    io::HttpResponse release(const Json& body);
    io::HttpResponse list(const std::string& target);
    io::Task<void> boot_later(std::string machine, Micros delay);
    io::Task<void> take_later(std::string machine, Micros delay);
    io::Task<void> take_at_random();
    bool within_rate();
    std::string add_machine(const MachineType& type, const std::string& zone, bool spot);
    Micros draw_boot_time(const MachineType& type, bool& never);
    void bring_up(Machine& machine);
    void end_machine(Machine& machine);
    void forget_gone();
    double spot_price(const MachineType& type) const;
    std::optional<RentalLine> line_at(Machine& machine, Micros seen_at);
    Micros now() const { return recorder_.now(); }

    io::Loop& loop_;
    CloudConfig config_;
    CloudHooks hooks_;
    Recorder& recorder_;
    Random random_;
    std::map<std::string, Machine> machines_;
    std::map<Pool, std::uint32_t> free_;
    struct Answered {
        RentalRequest request;
        std::vector<std::string> machines;
    };
    std::map<std::string, Answered> answered_;  // by request name
    std::uint32_t last_number_ = 0;
    double tokens_ = 0;
    Micros tokens_at_{};
    bool outage_ = false;
    BootTrouble boot_trouble_;
    double late_share_ = 0;
    double spent_on_gone_ = 0;
    std::size_t name_conflicts_ = 0;
    io::HttpServer server_;
    io::Scope scope_;
};

}  // namespace hatchwind::emulator
