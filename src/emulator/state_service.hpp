// The state service as a simulated host: the store behind HTTP, with its rates, latency and faults.
// Each client has a port of its own here, by which the service tells the clients apart.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulator/store.hpp"
#include "io/http_server.hpp"

namespace hatchwind::emulator {

class Host;
class World;

// Tokens that refill at a rate, up to one second's worth.
class RateLimit {
  public:
    explicit RateLimit(double per_second) : rate_(per_second), tokens_(per_second) {}
    void set(double per_second) { rate_ = per_second; }
    bool take(double amount, io::Micros now);

  private:
    double rate_;
    double tokens_;
    io::Micros last_{0};
};

struct StateLimits {
    double requests_per_s = 500;
    double writes_per_s = 200;
    Store::Limits store;
};

// How long requests take, each part drawn evenly.
struct StateLatency {
    io::Micros least{500};
    io::Micros most{5'000};
    double slow_share = 0;  // of the requests take so much longer
    io::Micros slow_least{0};
    io::Micros slow_most{0};

    StateLatency times(double factor) const;
};

// What befalls one transaction.
struct CommitFault {
    enum class Kind : std::uint8_t {
        none,
        late,         // no answer, and carried out after `delay`
        answer_lost,  // carried out at once, no answer
    };
    Kind kind = Kind::none;
    io::Micros delay{0};
};

class StateService {
  public:
    StateService(World& world, Host& host, StateLimits limits);
    ~StateService();

    // The address for one client; the first call for a name opens its port.
    io::Address address_for(const std::string& name);

    // All clients get 503 and grants keep their full time until it is over; open watches stay open.
    void set_outage(bool on);
    // Only this client gets 503, its open watches wait, and its grants run out.
    void refuse(const std::string& client, bool on);
    void set_limits(const StateLimits& limits);
    void set_latency(const StateLatency& latency) { latency_ = latency; }
    // Asked for each transaction; see late_commits() and lose_answers() for the usual ones.
    std::function<CommitFault(const std::string& client, const wire::Json& transaction)> commit_fault;
    // Transactions of the client, or of all for "", meet a fault with this probability; 0 ends it.
    void late_commits(const std::string& client, double share, io::Micros least, io::Micros most);
    void lose_answers(const std::string& client, double share);

    const Store& store() const { return store_; }
    std::uint64_t refused_by_rate() const { return refused_by_rate_; }
    std::uint64_t requests() const { return requests_; }

  private:
    struct Client {
        std::string name;
        io::Address address;
        bool refused = false;
        double late_share = 0;
        io::Micros late_least{0}, late_most{0};
        double lost_share = 0;
        std::unique_ptr<io::HttpServer> server;
    };
    io::Task<io::HttpResponse> handle(Client& client, io::HttpRequest request);
    io::Task<io::HttpResponse> answer(Client& client, io::HttpRequest request);
    io::Task<io::HttpResponse> commit(Client& client, std::string body);
    io::Task<io::HttpResponse> watch(Client& client, std::string target);
    io::HttpResponse store_leases(const io::HttpRequest& request);
    io::HttpResponse create_grant(const std::string& body);
    Store::Answer apply(const std::string& client, const wire::Json& transaction);
    io::Task<void> apply_late(std::string client, wire::Json transaction, io::Micros delay);
    io::Task<void> expire_grants();
    bool unavailable(const Client& client) const { return outage_ || client.refused; }
    CommitFault draw_fault(Client& client, const wire::Json& transaction);
    io::Micros between(io::Micros least, io::Micros most);
    bool chance(double share);

    World& world_;
    Host& host_;
    StateLimits limits_;
    std::mt19937_64 random_;
    RateLimit request_rate_;
    RateLimit write_rate_;
    Store store_;
    bool outage_ = false;
    StateLatency latency_;
    std::uint64_t requests_ = 0;
    std::uint64_t refused_by_rate_ = 0;
    io::Signal changed_;         // the store, or who may see it
    io::Signal grants_changed_;  // the next expiry may be another
    std::map<std::string, std::unique_ptr<Client>> clients_;
    std::uint16_t last_port_ = 7000;
    io::Scope scope_;
};

}  // namespace hatchwind::emulator
