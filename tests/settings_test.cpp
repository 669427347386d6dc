#include "config/settings.hpp"

#include <nlohmann/json.hpp>

#include "config/properties.hpp"
#include "config/settings_error.hpp"
#include "config/tunables.hpp"
#include "store/token_bucket.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using controller::SettingsError;
using nlohmann::json;

json settings() {
    return {{"label", "n0"},
            {"location", "a"},
            {"api_addr", "127.0.0.1:8080"},
            {"mesh_addr", "127.0.0.1:8081"},
            {"members", {{{"label", "n1"}, {"location", "b"}, {"peer_addr", "127.0.0.1:8082"}}}},
            {"endpoints", {{"cloud", "127.0.0.1:1"}, {"state", "127.0.0.1:2"}}},
            {"something_new", 1},
            {"deployment",
             {{"count", 2},
              {"zones", {"a", "b"}},
              {"teams", {{{"name", "t"}, {"cpus", 4.0}, {"cpus_max", 8.0}, {"gpus", 0}, {"gpus_max", 0}}}},
              {"objectives", {{{"kind", "wait"}, {"class", "c"}, {"within_s", 2.0}, {"share", 0.9}}}},
              {"workers",
               {{"report_s", 1.0},
                {"lease_s", 10.0},
                {"gang_wait_s", 10.0},
                {"gang_peer_s", 2.0},
                {"cancel_s", 20.0}}},
              {"state", {{"rps", 100.0}, {"write_rps", 50.0}, {"value_kb", 16.0}, {"txn_ops", 12}}},
              {"cloud", {{"rps", 5.0}, {"list_lag_s", 2.0}}},
              {"machine_limits", {{"cpu_share", 0.5}, {"memory_mb", 64.0}, {"max_connections", 500}}},
              {"skew_ms", 5.0}}}};
}

std::string failure(const json& v) {
    try {
        (void)controller::parse_settings(v.dump());
    } catch (const SettingsError& e) {
        return e.what();
    }
    return "";
}

TEST(Settings, ReadsAndIgnoresWhatItDoesNotKnow) {
    const auto s = controller::parse_settings(settings().dump());
    EXPECT_EQ(s.label, "n0");
    EXPECT_EQ(s.peers.size(), 1U);
    EXPECT_EQ(s.teams.at("t").cpus_max, 8.0);
    EXPECT_EQ(s.txn_ops, 12U);
}

TEST(Settings, EveryKeyIsReadIntoItsSetting) {
    json v = settings();
    v["members"].push_back({{"label", "n0"}, {"location", "a"}, {"peer_addr", "127.0.0.1:8081"}});
    v["deployment"]["teams"][0]["gpus"] = 1.0;
    v["deployment"]["teams"][0]["gpus_max"] = 2.0;
    v["deployment"]["objectives"].push_back({{"kind", "deadline"}, {"times", 1.5}});
    const auto s = controller::parse_settings(v.dump());
    EXPECT_EQ(s.zone, "a");
    EXPECT_EQ(s.api, io::parse_address("127.0.0.1:8080"));
    EXPECT_EQ(s.mesh, io::parse_address("127.0.0.1:8081"));
    EXPECT_EQ(s.cloud, io::parse_address("127.0.0.1:1"));
    EXPECT_EQ(s.state, io::parse_address("127.0.0.1:2"));
    ASSERT_EQ(s.peers.size(), 1U) << "this controller is no peer of its own";
    EXPECT_EQ(s.peers[0].label, "n1");
    EXPECT_EQ(s.peers[0].zone, "b");
    EXPECT_EQ(s.peers[0].address, io::parse_address("127.0.0.1:8082"));
    EXPECT_EQ(s.zones, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(s.teams.at("t").cpus, 4.0);
    EXPECT_EQ(s.teams.at("t").gpus, 1.0);
    EXPECT_EQ(s.teams.at("t").gpus_max, 2.0);
    ASSERT_EQ(s.objectives.size(), 2U);
    EXPECT_EQ(s.objectives[0].job_class, "c");
    EXPECT_EQ(s.objectives[0].within_s, 2.0);
    EXPECT_EQ(s.objectives[0].share, 0.9);
    EXPECT_EQ(s.objectives[1].deadline_multiple, 1.5);
    EXPECT_EQ(s.report_s, 1.0);
    EXPECT_EQ(s.lease_s, 10.0);
    EXPECT_EQ(s.gang_wait_s, 10.0);
    EXPECT_EQ(s.gang_peer_s, 2.0);
    EXPECT_EQ(s.cancel_s, 20.0);
    EXPECT_EQ(s.state_rps, 100.0);
    EXPECT_EQ(s.state_write_rps, 50.0);
    EXPECT_EQ(s.value_limit(), 16384U);
    EXPECT_EQ(s.value_bytes(), 14745U);
    EXPECT_EQ(s.cloud_rps, 5.0);
    EXPECT_EQ(s.list_lag_s, 2.0);
    EXPECT_EQ(s.cpu_share, 0.5);
    EXPECT_EQ(s.memory_mb, 64.0);
    EXPECT_EQ(s.max_connections, 500U);
    EXPECT_EQ(s.skew_ms, 5.0);
}

TEST(Settings, AnnouncedLimitsOfTheStateServiceCountFromTheStartWhereTheyAreLower) {
    json v = settings();
    v["deployment"]["state"]["next"] = {
        {"rps", 500.0}, {"write_rps", 20.0}, {"value_kb", 2.0}, {"txn_ops", 3}, {"more", 1}};
    const auto lowered = controller::parse_settings(v.dump());
    EXPECT_EQ(lowered.state_rps, 100.0);
    EXPECT_EQ(lowered.state_write_rps, 20.0);
    EXPECT_EQ(lowered.value_limit(), 2048U);
    EXPECT_EQ(lowered.txn_ops, 3U);
    v["deployment"]["state"]["next"] = {{"write_rps", 80.0}};
    const auto raised = controller::parse_settings(v.dump());
    EXPECT_EQ(raised.state_write_rps, 50.0);
    EXPECT_EQ(raised.txn_ops, 12U);
    v["deployment"]["state"]["next"] = nullptr;
    EXPECT_EQ(controller::parse_settings(v.dump()).txn_ops, 12U);
    v["deployment"]["state"]["next"] = {{"txn_ops", 1}};
    EXPECT_NE(failure(v).find("deployment.state.next.txn_ops: found 1"), std::string::npos);
}

TEST(Settings, NamesTheFieldThatIsWrong) {
    json v = settings();
    v["deployment"]["workers"].erase("lease_s");
    EXPECT_NE(failure(v).find("deployment.workers.lease_s: found nothing"), std::string::npos);
    v = settings();
    v["deployment"]["state"]["rps"] = "many";
    EXPECT_NE(failure(v).find("deployment.state.rps: found \"many\""), std::string::npos);
    v = settings();
    v["deployment"]["workers"]["report_s"] = -1;
    EXPECT_NE(failure(v).find("deployment.workers.report_s"), std::string::npos);
    v = settings();
    v["api_addr"] = "localhost:80";
    EXPECT_NE(failure(v).find("api_addr"), std::string::npos);
    EXPECT_THROW((void)controller::parse_settings("{"), SettingsError);
    EXPECT_THROW((void)controller::parse_settings("[]"), SettingsError);
}

TEST(Settings, ErrorsSayTheirKeyWhatWasFoundAndWhatIsAllowed) {
    json v = settings();
    v["deployment"]["teams"][0]["cpus"] = -0.5;
    try {
        (void)controller::parse_settings(v.dump());
        FAIL() << "accepted";
    } catch (const SettingsError& error) {
        EXPECT_EQ(error.key(), "deployment.teams[0].cpus");
        EXPECT_EQ(error.found(), "-0.5");
        EXPECT_EQ(error.expected(), "a number from 0 to 1e+09");
        EXPECT_STREQ(error.what(),
                     "deployment.teams[0].cpus: found -0.5, allowed is a number from 0 to 1e+09");
    }
}

TEST(Settings, OperatorsSeeTheSameLineForTheSameMistake) {
    EXPECT_EQ(failure(json::array()), "file: found [], allowed is an object");
    json v = settings();
    v["mesh_addr"] = "localhost:80";
    EXPECT_EQ(
        failure(v),
        "mesh_addr: found \"localhost:80\", allowed is an IPv4 address and port, such as 10.0.0.1:8080");
    v = settings();
    v["label"] = "";
    EXPECT_EQ(failure(v), "label: found \"\", allowed is text that is not empty");
    v = settings();
    v["deployment"]["zones"] = std::string(70, 'z');
    EXPECT_EQ(failure(v), "deployment.zones: found \"" + std::string(56, 'z') + "..., allowed is a list");
    v = settings();
    v["deployment"]["machine_limits"]["max_connections"] = 64.5;
    EXPECT_EQ(failure(v), "deployment.machine_limits.max_connections: found 64.5, allowed is a whole number");
    v = settings();
    v["endpoints"].erase("state");
    EXPECT_EQ(failure(v), "endpoints.state: found nothing, allowed is required");
}

// A list in a list, and so on, where text belongs: the message that should have named the key exhausted the
// stack (docs/incidents/nested-strings.md, "Related paths").
TEST(Settings, ValuesDeepInsideOneAnotherAreAnError) {
    constexpr std::size_t kDepth = 1'000'000;
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    for (const std::string& text : {nested, R"({"label":)" + nested + "}", std::string(kDepth, '[')}) {
        try {
            (void)controller::parse_settings(text);
            ADD_FAILURE() << "accepted";
        } catch (const SettingsError& error) {
            EXPECT_EQ(error.key(), "file");
            EXPECT_EQ(error.found(), "values nested too deeply");
        }
    }
}

// Several mistakes: the first in the order of the file's sections.
TEST(Settings, OfSeveralMistakesTheFirstIsNamed) {
    json v = settings();
    v["deployment"]["skew_ms"] = "x";
    v["deployment"]["cloud"]["rps"] = 0;
    EXPECT_EQ(failure(v), "deployment.cloud.rps: found 0, allowed is a number from 0.1 to 1e+09");
    v["endpoints"] = 1;
    EXPECT_EQ(failure(v), "endpoints: found 1, allowed is an object");
}

// Submissions once waited behind the controller's own group commits for a share of the store's limit.
TEST(TokenBucket, UsersGoAheadOfTheControllersOwnWritesWithinLimits) {
    using core::Micros;
    controller::TokenBucket b{10, 10};
    const Micros now{1'000'000};
    b.spend(10, now);
    EXPECT_GT(b.wait(1, now), Micros{0});
    EXPECT_EQ(b.wait(1, now, 0.7), Micros{0});
    b.spend(7, now);
    EXPECT_GT(b.wait(1, now, 0.7), Micros{0});
    EXPECT_EQ(b.wait(1, now + Micros{2'000'000}), Micros{0});
}

TEST(Properties, FollowTheJavaRules) {
    const auto p = controller::parse_properties(
        "# comment\n! comment too\n\nplain=1\nspaced = two words \ncolon: 3\nblank 4\nlong = a\\\n   "
        "b\nesc\\=aped = x\\ty\nempty=\n");
    EXPECT_EQ(p.at("plain"), "1");
    EXPECT_EQ(p.at("spaced"), "two words");
    EXPECT_EQ(p.at("colon"), "3");
    EXPECT_EQ(p.at("blank"), "4");
    EXPECT_EQ(p.at("long"), "ab");
    EXPECT_EQ(p.at("esc=aped"), "x\ty");
    EXPECT_EQ(p.at("empty"), "");
    EXPECT_THROW((void)controller::parse_properties("a=1\na=2\n"), SettingsError);
}

TEST(Properties, GeneratedPairsComeBack) {
    test::check_property("write, then read", [] {
        const auto word = rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
        const auto pairs = *rc::gen::container<std::map<std::string, std::string>>(word, word);
        std::string text;
        for (const auto& [key, value] : pairs) {
            text += key;
            text += *rc::gen::element<std::string>("=", " = ", ": ", " ");
            text += value;
            text += '\n';
        }
        RC_ASSERT(controller::parse_properties(text) == pairs);
    });
    test::check_property("any text ends in values or in one error", [](const std::string& text) {
        try {
            (void)controller::parse_properties(text);
        } catch (const SettingsError&) {
        }
    });
}

TEST(Properties, KeepEscapesCommentsAndContinuationsAsTheyWere) {
    const auto p = controller::parse_properties(
        "a\\:b = 1\nc = = 2\nd=x\\\\\ne = 1 \\\n\n  # f = 2\n\\\n! comment\ng\n\th\\ i\\\n = 3 \\n4\r\n");
    const controller::Properties expected{{"a:b", "1"}, {"c", "= 2"}, {"d", "x\\"},
                                          {"e", "1 "},  {"g", ""},    {"h i", "3 \n4"}};
    EXPECT_EQ(p, expected);
}

TEST(Properties, ErrorsNameTheLineOrTheKey) {
    const auto failure_of = [](const std::string& text) {
        try {
            (void)controller::parse_properties(text);
        } catch (const SettingsError& error) {
            return std::string{error.what()};
        }
        return std::string{};
    };
    EXPECT_EQ(failure_of("a=1\n\n= 2\n"), "line 3: found no key, allowed is key = value");
    EXPECT_EQ(failure_of("a=1\n\\"), "line 2: found no key, allowed is key = value");
    EXPECT_EQ(failure_of("a=1\nb=\na 2\n"), "a: found two values, allowed is one");
}

TEST(Properties, TunablesSayWhichPropertyIsWrong) {
    const auto s = controller::parse_settings(settings().dump());
    const auto failure_of = [&](const controller::Properties& properties) {
        try {
            (void)controller::parse_tunables(properties, s);
        } catch (const SettingsError& error) {
            return std::string{error.what()};
        }
        return std::string{};
    };
    EXPECT_EQ(failure_of({{"drain.busy_cap", ""}}),
              "drain.busy_cap: found nothing, allowed is a number from 0 to 100");
    EXPECT_EQ(failure_of({{"state.watch_gap_seconds", "nan"}}),
              "state.watch_gap_seconds: found nan, allowed is a number from 0 to 5");
    EXPECT_EQ(failure_of({{"drain.speed", "1"}}),
              "drain.speed: found an unknown key, allowed is a key that docs/operations.md lists");
    EXPECT_EQ(failure_of({{"mandate.renew_seconds", "2"}}),
              "mandate.renew_seconds: found too long, allowed is at most half of mandate.grant_seconds");
    const auto tunables =
        controller::parse_tunables({{"drain.unneeded_seconds", "1.5"}, {"fleet.rent_per_round", "7.9"}}, s);
    EXPECT_EQ(tunables.drain.unneeded, core::Micros{1'500'000});
    EXPECT_EQ(tunables.fleet.max_instances_per_round, 7U);
    EXPECT_EQ(tunables.silent_release, core::Micros{10'000'000});
}

TEST(Properties, UnknownAndOutOfRangeKeysAreErrors) {
    const auto s = controller::parse_settings(settings().dump());
    EXPECT_THROW((void)controller::parse_tunables({{"drain.speed", "1"}}, s), SettingsError);
    EXPECT_THROW((void)controller::parse_tunables({{"drain.busy_cap", "-1"}}, s), SettingsError);
    EXPECT_THROW((void)controller::parse_tunables({{"drain.busy_cap", "x"}}, s), SettingsError);
    EXPECT_THROW((void)controller::parse_tunables({{"drain.busy_cap", ""}}, s), SettingsError);
    EXPECT_EQ(controller::parse_tunables({{"drain.busy_cap", "5"}}, s).drain.busy_cap, 5U);
}

}  // namespace
}  // namespace hatchwind
