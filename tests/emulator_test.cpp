// What the simulator guarantees: repeatable runs, hosts that freeze and stop answering, one-way partitions,
// and a state service that behaves as PROTOCOL says.
#include <gtest/gtest.h>

#include <algorithm>

#include "emulator/deployment.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "scenario_run.hpp"
#include "wire/cbor.hpp"

namespace hatchwind {
namespace {

using emulator::CommitFault;
using emulator::CutMode;
using emulator::Deployment;
using emulator::DeploymentOptions;
using emulator::Host;
using emulator::KillMode;
using emulator::World;
using emulator::WorldOptions;
using io::Micros;
using io::Task;
using wire::Json;

constexpr Micros seconds(double s) { return Micros{static_cast<std::int64_t>(s * 1e6)}; }

controller::Settings common_settings() {
    controller::Settings settings;
    settings.zones = {"a", "b", "c"};
    for (const char* team : {"x", "y", "z"}) settings.teams[team] = {team, 8, 16, 0, 0};
    settings.report_s = 2;
    settings.lease_s = 20;
    settings.cancel_s = 30;
    settings.state_rps = 200;
    settings.state_write_rps = 100;
    settings.value_kb = 16;
    settings.txn_ops = 16;
    settings.cloud_rps = 20;
    settings.list_lag_s = 2;
    settings.memory_mb = 256;
    settings.max_connections = 1000;
    settings.skew_ms = 20;
    return settings;
}

DeploymentOptions three_nodes() {
    DeploymentOptions options;
    options.settings = common_settings();
    return options;
}

WorldOptions seeded(std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.trace_packets = true;
    return options;
}

// A server that answers with what it got, and a client that sends a request each tenth of a second.
struct EchoServer {
    explicit EchoServer(Host& host)
        : server(host.loop(), host.address(80), {},
                 [](io::HttpRequest request) { return echo(std::move(request)); }) {
        scope.spawn(server.serve());
    }
    static Task<io::HttpResponse> echo(io::HttpRequest request) {
        io::HttpResponse response;
        response.body = std::move(request.body);
        co_return response;
    }
    io::HttpServer server;
    io::Scope scope;
};

struct EchoClient {
    EchoClient(Host& host, io::Address to, World& in)
        : loop(host.loop()), target(to), world(in), client(loop) {
        scope.spawn(ask());
    }
    Task<void> ask() {
        while (true) {
            std::string body = "ping";
            const Micros deadline = io::steady_now() + seconds(0.5);
            auto task = client.send(target, "POST", "/", std::move(body), deadline);
            const io::HttpResult reply = co_await std::move(task);
            (reply.has_status(200) ? answered : failed).push_back(world.now());
            co_await loop.sleep(seconds(0.1));
        }
    }
    std::size_t answered_between(Micros from, Micros to) const {
        return static_cast<std::size_t>(
            std::count_if(answered.begin(), answered.end(), [&](Micros t) { return t >= from && t < to; }));
    }
    io::Loop& loop;
    io::Address target;
    World& world;
    io::HttpClient client;
    std::vector<Micros> answered;
    std::vector<Micros> failed;
    io::Scope scope;
};

struct EchoPair {
    explicit EchoPair(std::uint64_t seed)
        : world(seeded(seed)),
          server_host(world.add_host("server", {"a"})),
          client_host(world.add_host("client", {"b"})) {
        server_host.start([this] { return std::make_shared<EchoServer>(server_host); });
        client_host.start([this] {
            auto made = std::make_shared<EchoClient>(client_host, server_host.address(80), world);
            client = made.get();
            return made;
        });
    }
    World world;
    Host& server_host;
    Host& client_host;
    EchoClient* client = nullptr;
};

// One client of the state service, whose requests the test waits for.
class StoreClient {
  public:
    StoreClient(World& world, emulator::StateService& state, const std::string& name)
        : world_(world),
          host_(world.add_host(name)),
          address_(state.address_for(name)),
          http_(host_.loop(), 8) {}

    struct Answer {
        bool over = false;
        int status = 0;
        Json body;
        Micros took{0};
    };
    // Sends without waiting.
    std::shared_ptr<Answer> send(const std::string& method, const std::string& target,
                                 const Json& body = nullptr, Micros wait = seconds(3)) {
        auto answer = std::make_shared<Answer>();
        world_.run_as(host_, [&] { scope_.spawn(request(answer, method, target, body, wait)); });
        return answer;
    }
    Answer ask(const std::string& method, const std::string& target, const Json& body = nullptr,
               Micros wait = seconds(3)) {
        const auto answer = send(method, target, body, wait);
        world_.run_until(world_.now() + wait + seconds(1), [&] { return answer->over; });
        return *answer;
    }
    Answer put(const std::string& key, const Json& value,
               std::optional<std::uint64_t> store_lease = std::nullopt) {
        Json write{{"write", key}, {"v", value}};
        if (store_lease) write["tenure"] = *store_lease;
        return ask("POST", "/commit", {{"writes", Json::array({write})}});
    }
    std::uint64_t store_lease(int life_ms) {
        return ask("POST", "/grants", {{"lifeMs", life_ms}}).body["tenure"].get<std::uint64_t>();
    }
    int renew_lease(std::uint64_t store_lease) {
        return ask("POST", "/grants/" + std::to_string(store_lease) + "/renew").status;
    }
    int get(const std::string& key) { return ask("GET", "/store/" + key).status; }

  private:
    Task<void> request(std::shared_ptr<Answer> answer, std::string method, std::string target, Json body,
                       Micros wait) {
        const Micros began = world_.now();
        const Micros deadline = io::steady_now() + wait;
        std::string encoded = body.is_null() ? "" : wire::encode(body);
        auto task = http_.send(address_, std::move(method), std::move(target), std::move(encoded), deadline);
        const io::HttpResult reply = co_await std::move(task);
        answer->status = reply.status_or(0);
        answer->body = wire::decode(reply ? reply->body : std::string{}).value_or(Json::object());
        answer->took = world_.now() - began;
        answer->over = true;
    }
    World& world_;
    Host& host_;
    io::Address address_;
    io::HttpClient http_;
    io::Scope scope_;
};

struct StateWorld {
    explicit StateWorld(emulator::StateLimits limits = {})
        : world(seeded(5)),
          state(world, world.add_host("state"), limits),
          one(world, state, "one"),
          other(world, state, "other") {}
    World world;
    emulator::StateService state;
    StoreClient one;
    StoreClient other;
};

std::size_t count_of(std::string_view text, std::string_view part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) ++count;
    return count;
}

std::string cluster_trace(std::uint64_t seed) {
    World world(seeded(seed));
    Deployment deployment(world, three_nodes());
    deployment.start_all();
    world.run_for(seconds(5));
    deployment.kill(deployment.leader_index());
    world.run_for(seconds(10));
    return world.trace().text() + std::to_string(world.trace().fingerprint());
}

TEST(EmulatedRun, SameSeedGivesTheSameTraceToTheByte) {
    const std::string first = cluster_trace(7);
    const std::string second = cluster_trace(7);
    EXPECT_GT(first.size(), 10'000U);
    EXPECT_TRUE(first == second);
}

TEST(EmulatedRun, AnotherSeedGivesAnotherTrace) { EXPECT_NE(cluster_trace(7), cluster_trace(8)); }

std::string scenario_trace(const std::string& name, std::uint64_t seed) {
    emulator::PlayOptions options;
    options.trace_packets = true;
    const auto play = test::play_scenario(name, seed, options);
    return play->world().trace().text() + play->figures() + play->verdict();
}

TEST(EmulatedScenario, SameSeedGivesTheSameTraceAndFiguresToTheByte) {
    for (const char* name : {"curious_users", "one_way"}) {
        const std::string first = scenario_trace(name, 5);
        const std::string second = scenario_trace(name, 5);
        EXPECT_GT(first.size(), 1'000'000U) << name;
        EXPECT_TRUE(first == second) << name;
        EXPECT_FALSE(first == scenario_trace(name, 6)) << name;
    }
}

TEST(EmulatedScenario, QuietDayBreaksNoRuleAndServesEverybody) {
    emulator::Play play(test::scenario("quiet"), {});
    play.run();
    EXPECT_TRUE(play.right()) << play.verdict();
    EXPECT_GT(play.checker().counts().starts, 10U);
}

TEST(EmulatedScenario, MachineThatComesUpInAPartitionedZoneIsPartitionedToo) {
    World world(seeded(9));
    Host& inside = world.add_host("inside", {"a"});
    Host& outside = world.add_host("outside", {"b"});
    world.network().cut_sides(
        [](const Host& host) { return host.zone() == "a" ? emulator::Side::one : emulator::Side::two; },
        CutMode::hold);
    Host& later = world.add_host("later", {"a"});
    std::array<EchoClient*, 2> clients{};
    later.start([&] { return std::make_shared<EchoServer>(later); });
    std::size_t next = 0;
    for (Host* host : {&inside, &outside}) {
        host->start([&] {
            auto made = std::make_shared<EchoClient>(*host, later.address(80), world);
            clients.at(next++) = made.get();
            return made;
        });
    }
    world.run_for(seconds(5));
    EXPECT_GT(clients[0]->answered.size(), 40U);
    EXPECT_EQ(clients[1]->answered.size(), 0U);
}

TEST(EmulatedHost, ClockDriftsAsConfigured) {
    World world(seeded(1));
    const Host& exact = world.add_host("exact");
    const Host& fast = world.add_host("fast", {"a", 500});
    const Host& slow = world.add_host("slow", {"a", -500});
    const std::array<Micros, 3> before{exact.steady(), fast.steady(), slow.steady()};
    world.run_for(seconds(1000));
    EXPECT_EQ(exact.steady() - before[0], seconds(1000));
    EXPECT_EQ(fast.steady() - before[1], seconds(1000.5));
    EXPECT_EQ(slow.steady() - before[2], seconds(999.5));
}

TEST(EmulatedHost, FrozenHostAnswersNothingAndGoesOnWhenResumed) {
    EchoPair pair(2);
    pair.world.at(seconds(10), [&] { pair.server_host.freeze(); });
    pair.world.at(seconds(20), [&] { pair.server_host.resume(); });
    pair.world.run_until(seconds(30));
    EXPECT_GT(pair.client->answered_between(seconds(0), seconds(10)), 80U);
    EXPECT_EQ(pair.client->answered_between(seconds(10.01), seconds(20)), 0U);
    EXPECT_GT(pair.client->answered_between(seconds(20), seconds(30)), 70U);
}

TEST(EmulatedHost, KilledHostRefusesAndAnswersAgainOnceStarted) {
    EchoPair pair(3);
    pair.world.at(seconds(10), [&] { pair.server_host.kill(KillMode::reset); });
    pair.world.at(seconds(20), [&] {
        pair.server_host.start([&] { return std::make_shared<EchoServer>(pair.server_host); });
    });
    pair.world.run_until(seconds(30));
    EXPECT_EQ(pair.client->answered_between(seconds(10.01), seconds(20)), 0U);
    // Refused at once: about as many attempts as there were answers before.
    EXPECT_GT(pair.client->failed.size(), 80U);
    EXPECT_GT(pair.client->answered_between(seconds(20), seconds(30)), 80U);
}

TEST(EmulatedHost, SilentlyKilledHostLetsAttemptsTimeOut) {
    EchoPair pair(3);
    pair.world.at(seconds(10), [&] { pair.server_host.kill(KillMode::silent); });
    pair.world.run_until(seconds(20));
    EXPECT_EQ(pair.client->answered_between(seconds(10.01), seconds(20)), 0U);
    // Each attempt waits out its half second.
    EXPECT_LT(pair.client->failed.size(), 20U);
}

TEST(EmulatedNetwork, PartitionOfAnswersLetsRequestsArrive) {
    EchoPair pair(4);
    emulator::CutId cut = 0;
    pair.world.at(seconds(10), [&] {
        cut = pair.world.network().cut({&pair.server_host}, {&pair.client_host}, CutMode::hold);
    });
    pair.world.run_until(seconds(12));
    // Requests on the open connection arrived; no answer came back.
    EXPECT_EQ(pair.client->answered_between(seconds(10.01), seconds(12)), 0U);
    const std::string& trace = pair.world.trace().text();
    const auto during = trace.find("\n10.");
    ASSERT_NE(during, std::string::npos);
    EXPECT_NE(trace.find("server packet kind=data", during), std::string::npos);
    EXPECT_EQ(trace.find("client packet kind=data", during + 1), std::string::npos);
    pair.world.network().heal(cut);
    pair.world.run_until(seconds(20));
    EXPECT_GT(pair.client->answered_between(seconds(12), seconds(20)), 60U);
}

TEST(EmulatedNetwork, DelayedRequestArrivesThoughItsSenderHasGivenUp) {
    EchoPair pair(5);
    emulator::CutId cut = 0;
    pair.world.at(seconds(10), [&] {
        cut = pair.world.network().cut({&pair.client_host}, {&pair.server_host}, CutMode::hold);
    });
    pair.world.run_until(seconds(20));
    const std::size_t before = pair.world.trace().text().size();
    pair.world.network().heal(cut);
    pair.world.run_until(seconds(20.002));
    // The one request that was on the open connection; of the attempts to connect only the one that its
    // client still waits for.
    const std::string after = pair.world.trace().text().substr(before);
    EXPECT_NE(after.find("server packet kind=data"), std::string::npos) << after;
    EXPECT_GT(count_of(after, "kind=open "), 10U) << after;
    EXPECT_EQ(count_of(after, "kind=opened "), 1U) << after;
}

TEST(EmulatedNetwork, RefusingFilterEndsConnectionsAtOnce) {
    EchoPair pair(6);
    pair.world.at(seconds(10), [&] {
        pair.world.network().cut_between({&pair.client_host}, {&pair.server_host}, CutMode::refuse);
    });
    pair.world.run_until(seconds(20));
    EXPECT_EQ(pair.client->answered_between(seconds(10.01), seconds(20)), 0U);
    EXPECT_GT(pair.client->failed.size(), 80U);
}

TEST(EmulatedNetwork, LargeBodyPassesThroughTheWindow) {
    World world(seeded(1));
    Host& sender = world.add_host("sender");
    Host& receiver = world.add_host("receiver");
    std::size_t received = 0;
    struct Process {
        io::Scope scope;
    };
    receiver.start([&] {
        auto process = std::make_shared<Process>();
        process->scope.spawn([](Host& host, std::size_t& count) -> Task<void> {
            io::Listener listener(host.loop(), host.address(1));
            io::Socket socket = co_await listener.accept();
            std::array<char, 4096> buffer;
            while (true) {
                const auto n = co_await socket.read(buffer.data(), buffer.size(), Micros::max());
                if (!n || *n == 0) co_return;
                count += *n;
            }
        }(receiver, received));
        return process;
    });
    sender.start([&] {
        auto process = std::make_shared<Process>();
        process->scope.spawn([](Host& host, io::Address to) -> Task<void> {
            auto connecting = io::connect(host.loop(), to, Micros::max());
            auto socket = co_await std::move(connecting);
            const std::string data(3'000'000, 'x');
            auto writing = socket->write(data, Micros::max());
            co_await std::move(writing);
        }(sender, receiver.address(1)));
        return process;
    });
    world.run_for(seconds(5));
    EXPECT_EQ(received, 3'000'000U);
}

TEST(EmulatedState, ConditionsHoldAndRevisionsFollow) {
    StateWorld w;
    const Json create{{"when", Json::array({{{"path", "k"}, {"stamp", 0}}})},
                      {"writes", Json::array({{{"write", "k"}, {"v", 1}}})}};
    EXPECT_EQ(w.one.ask("POST", "/commit", create).status, 200);
    const auto again = w.other.ask("POST", "/commit", create);
    EXPECT_EQ(again.status, 409);
    EXPECT_EQ(again.body["failed"], Json::array({"k"}));
    EXPECT_EQ(again.body["ledger"], 1);
    EXPECT_EQ(w.one.ask("GET", "/store/k").body["stamp"], 1);
    EXPECT_EQ(w.one.get("missing"), 404);
}

TEST(EmulatedState, LeaseExpiresWithinATenthOfASecondNeverEarlyAndTakesItsKeys) {
    StateWorld w;
    const auto store_lease = w.one.store_lease(1000);
    ASSERT_EQ(w.one.put("mine", 1, store_lease).status, 200);
    const Micros renewed = w.world.now();
    ASSERT_EQ(w.one.renew_lease(store_lease), 200);
    w.world.run_until(renewed + seconds(0.99));
    EXPECT_TRUE(w.state.store().has_grant(store_lease));
    w.world.run_until(renewed + seconds(1.2));
    EXPECT_FALSE(w.state.store().has_grant(store_lease));
    EXPECT_EQ(w.one.get("mine"), 404);
    EXPECT_EQ(w.one.renew_lease(store_lease), 404);
    EXPECT_EQ(w.one.put("mine", 1, store_lease).status, 400);
}

TEST(EmulatedState, OutageAnswers503RenewsLeasesInFullAndKeepsWatchesOpen) {
    StateWorld w;
    const auto store_lease = w.one.store_lease(1000);
    ASSERT_EQ(w.one.put("a/1", 1, store_lease).status, 200);
    const auto watch = w.other.send("GET", "/watch?starts=a/&after=1&blockMs=2000", nullptr, seconds(60));
    w.world.run_for(seconds(0.5));
    w.state.set_outage(true);
    EXPECT_EQ(w.one.get("a/1"), 503);
    EXPECT_EQ(w.other.renew_lease(store_lease), 503);
    w.world.run_for(seconds(20));
    EXPECT_TRUE(w.state.store().has_grant(store_lease));
    EXPECT_FALSE(watch->over);  // longer than its blockMs
    const Micros end = w.world.now();
    w.state.set_outage(false);
    w.world.run_until(end + seconds(0.95));
    EXPECT_TRUE(w.state.store().has_grant(store_lease));
    w.world.run_until(end + seconds(1.2));
    EXPECT_FALSE(w.state.store().has_grant(store_lease));
    EXPECT_TRUE(watch->over);
    EXPECT_EQ(watch->status, 200);
}

TEST(EmulatedState, RefusalOfOneControllerLeavesTheOthersServedAndItsLeasesExpire) {
    StateWorld w;
    const auto mine = w.one.store_lease(2000);
    ASSERT_EQ(w.one.put("a/one", 1, mine).status, 200);
    const auto watch = w.one.send("GET", "/watch?starts=a/&after=1&blockMs=1000", nullptr, seconds(60));
    w.world.run_for(seconds(0.2));
    w.state.refuse("one", true);
    EXPECT_EQ(w.one.renew_lease(mine), 503);
    EXPECT_EQ(w.one.get("a/one"), 503);
    EXPECT_EQ(w.other.get("a/one"), 200);
    const auto watched = w.other.send("GET", "/watch?starts=a/&after=1&blockMs=10000", nullptr, seconds(60));
    w.world.run_for(seconds(3));
    EXPECT_EQ(w.other.get("a/one"), 404);
    EXPECT_TRUE(watched->over);
    EXPECT_EQ(watched->body["log"][0]["delete"], "a/one");
    EXPECT_FALSE(watch->over);  // hangs although what it waits for has happened
    w.state.refuse("one", false);
    w.world.run_for(seconds(0.1));
    EXPECT_TRUE(watch->over);
}

TEST(EmulatedState, LateTransactionIsCarriedOutAfterNoAnswer) {
    StateWorld w;
    w.state.commit_fault = [](const std::string& client, const Json&) -> CommitFault {
        if (client != "one") return {};
        return {CommitFault::Kind::late, seconds(10)};
    };
    EXPECT_EQ(w.one.put("k", 1).status, 0);
    EXPECT_EQ(w.other.get("k"), 404);
    w.world.run_for(seconds(10));
    EXPECT_EQ(w.other.get("k"), 200);
}

TEST(EmulatedState, LostAnswerLeavesTheTransactionCarriedOutAtOnce) {
    StateWorld w;
    w.state.lose_answers("one", 1);
    const auto answer =
        w.one.send("POST", "/commit", {{"writes", Json::array({{{"write", "k"}, {"v", 1}}})}});
    w.world.run_for(seconds(0.1));
    EXPECT_EQ(w.other.get("k"), 200);
    w.world.run_for(seconds(5));
    EXPECT_EQ(answer->status, 0);
}

TEST(EmulatedState, RatesAllowOneSecondsBurst) {
    emulator::StateLimits limits;
    limits.requests_per_s = 20;
    limits.writes_per_s = 6;
    StateWorld w(limits);
    std::vector<std::shared_ptr<StoreClient::Answer>> answers;
    w.world.run_for(seconds(2));
    answers.reserve(30);
    for (int i = 0; i < 30; ++i) answers.push_back(w.one.send("GET", "/store/k"));
    w.world.run_for(seconds(0.1));
    const auto refused =
        std::count_if(answers.begin(), answers.end(), [](const auto& a) { return a->status == 429; });
    EXPECT_GE(refused, 8);
    EXPECT_LE(refused, 10);
    w.world.run_for(seconds(2));
    Json writes = Json::array();
    for (int i = 0; i < 4; ++i) writes.push_back({{"write", "k" + std::to_string(i)}, {"v", 1}});
    EXPECT_EQ(w.one.ask("POST", "/commit", {{"writes", writes}}).status, 200);
    EXPECT_EQ(w.one.ask("POST", "/commit", {{"writes", writes}}).status, 429);
}

TEST(EmulatedState, SizesBeyondTheLimitsAreRefused) {
    emulator::StateLimits limits;
    limits.store.writes = 4;
    limits.store.value_kb = 1;
    StateWorld w(limits);
    EXPECT_EQ(w.one.put("k", std::string(900, 'x')).status, 200);
    EXPECT_EQ(w.one.put("k", std::string(1100, 'x')).status, 400);
    Json writes = Json::array();
    for (int i = 0; i < 5; ++i) writes.push_back({{"write", "k" + std::to_string(i)}, {"v", 1}});
    EXPECT_EQ(w.one.ask("POST", "/commit", {{"writes", writes}}).status, 400);
    EXPECT_EQ(w.one.put("a key", 1).status, 400);
    limits.store.value_kb = 0.5;
    w.state.set_limits(limits);
    EXPECT_EQ(w.one.put("k", std::string(900, 'x')).status, 400);
}

TEST(EmulatedState, WatchFromBeforeTheLogIsToldSo) {
    emulator::Store store;
    for (int i = 0; i < 10'050; ++i)
        store.commit({{"writes", Json::array({{{"write", "k"}, {"v", i}}})}}, {});
    EXPECT_FALSE(store.changes("", 49).has_value());
    EXPECT_EQ(store.changes("", 50)->size(), 10'000U);
}

TEST(EmulatedCluster, ElectsALeaderAndAnotherWhenItDies) {
    World world(seeded(11));
    Deployment deployment(world, three_nodes());
    deployment.start_all();
    ASSERT_TRUE(world.run_until(seconds(10), [&] { return !deployment.leader().empty(); }));
    world.run_for(seconds(5));
    const std::string first = deployment.leader();
    const std::size_t killed = deployment.leader_index();
    deployment.kill(killed, KillMode::silent);
    EXPECT_TRUE(world.run_until(world.now() + seconds(15), [&] { return deployment.leader() != first; }));
    deployment.start(killed);
    const auto epoch = deployment.epoch();
    world.run_for(seconds(15));
    EXPECT_GT(deployment.epoch(), epoch);  // the restarted node is a member again
}

TEST(EmulatedCluster, LeaderThatTheStateServiceRefusesAloneIsReplaced) {
    World world(seeded(12));
    Deployment deployment(world, three_nodes());
    deployment.start_all();
    world.run_for(seconds(5));
    const std::string first = deployment.leader();
    ASSERT_FALSE(first.empty());
    deployment.refuse_state(deployment.leader_index(), true);
    EXPECT_TRUE(world.run_until(world.now() + seconds(15), [&] { return deployment.leader() != first; }));
}

}  // namespace
}  // namespace hatchwind
