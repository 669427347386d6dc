#include "support.hpp"
#include "wire/cloud_api.hpp"
#include "wire/identifiers.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"
#include "wire/user_api.hpp"
#include "wire/worker_api.hpp"

namespace hatchwind {
namespace {

using test::check_property;
using wire::Json;

Json submission() {
    return {{"id", "req-000412"}, {"flock", "train"},  {"crew", "vision"}, {"form", "sweep"},
            {"rank", "high"},     {"legs", 16},        {"cores", 8.0},     {"accelerators", 1.0},
            {"memGb", 64.0},      {"plate", "img-07"}, {"sizeGb", 6.2},    {"builds", {"g8"}},
            {"roost", nullptr},   {"oneZone", true},   {"spread", false},  {"borrowed", true},
            {"expectS", 240.0},   {"markS", 30.0},     {"stashS", 4.0},    {"dueS", 900.0}};
}

TEST(Submission, ReadsEveryField) {
    const auto parsed = wire::parse_submission(submission());
    ASSERT_TRUE(parsed.has_value());
    const auto& j = *parsed;
    EXPECT_EQ(j.id, "req-000412");
    EXPECT_EQ(j.tasks, 16U);
    EXPECT_EQ(j.priority, core::Priority::high);
    EXPECT_TRUE(j.one_zone && j.spot && !j.spread);
    EXPECT_EQ(j.types, std::vector<std::string>{"g8"});
    EXPECT_FALSE(j.zone.has_value());
    EXPECT_EQ(j.deadline_s, 900.0);
}

TEST(Submission, RefusesEachMissingOrIllTypedField) {
    const Json good = submission();
    for (const auto& [key, value] : good.items()) {
        const bool optional = key == "builds" || key == "roost" || key == "dueS";
        Json without = good;
        without.erase(key);
        const auto without_it = wire::parse_submission(without);
        EXPECT_EQ(without_it.has_value(), optional) << key;
        if (!optional) {
            EXPECT_EQ(without_it.error().field, key);
        }
        Json wrong = good;
        wrong[key] = Json::object();
        const auto ill_typed = wire::parse_submission(wrong);
        ASSERT_FALSE(ill_typed.has_value()) << key;
        EXPECT_EQ(ill_typed.error().field, key);
    }
}

TEST(Submission, RefusesBadNumbers) {
    for (const char* key :
         {"cores", "accelerators", "memGb", "sizeGb", "expectS", "markS", "stashS", "dueS"}) {
        for (const double bad : {-1.0, 1e300, std::numeric_limits<double>::quiet_NaN(),
                                 std::numeric_limits<double>::infinity()}) {
            Json v = submission();
            v[key] = bad;
            const auto parsed = wire::parse_submission(v);
            ASSERT_FALSE(parsed.has_value()) << key << bad;
            EXPECT_EQ(parsed.error().field, key) << bad;
        }
    }
    for (const Json& bad : {Json(0), Json(-3), Json(100'001), Json(2.5), Json("2")}) {
        Json v = submission();
        v["legs"] = bad;
        const auto parsed = wire::parse_submission(v);
        ASSERT_FALSE(parsed.has_value()) << bad;
        EXPECT_EQ(parsed.error().field, "legs") << bad;
    }
}

TEST(Cbor, RefusesDeepNestingWithoutExhaustingTheStack) {
    // 64 KiB of one-element list heads.
    EXPECT_FALSE(wire::decode(std::string(65'000, '\x81')).has_value());
    EXPECT_FALSE(wire::decode(std::string(65'000, '\x9f')).has_value());
    EXPECT_FALSE(wire::decode("").has_value());
    EXPECT_FALSE(wire::decode(std::string("\xa1\x61", 2)).has_value());
    EXPECT_FALSE(wire::decode(std::string("\x41\x00", 2)).has_value()) << "binary has no place on the wire";
}

TEST(Cbor, ArbitraryBytesNeverCrashAReader) {
    check_property("any bytes are refused or read", [](const std::string& bytes) {
        if (const auto v = wire::decode(bytes)) {
            (void)wire::parse_submission(*v);
            (void)wire::parse_worker_heartbeat(*v);
            (void)wire::parse_watch(*v);
            (void)wire::parse_page(*v);
            (void)wire::parse_instances(*v);
        }
    });
}

TEST(Cbor, DamagedHeartbeatsAreRefusedOrRead) {
    Json task{{"leg", "req-000412/3"}, {"try", 2}, {"status", "running"}};
    const Json good{{"perch", "n-000231"}, {"address", "10.1.0.232:9000"},
                    {"build", "g8"},       {"roost", "a"},
                    {"borrowed", true},    {"stint", 1},
                    {"tick", 88},          {"baton", 41},
                    {"warningS", nullptr}, {"legs", {task}}};
    const std::string bytes = wire::encode(good);
    ASSERT_TRUE(wire::parse_worker_heartbeat(*wire::decode(bytes)).has_value());
    check_property("one changed byte", [&] {
        std::string damaged = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        if (const auto v = wire::decode(damaged)) (void)wire::parse_worker_heartbeat(*v);
    });
}

TEST(Records, JobsAndChunksComeBackAsTheyWere) {
    check_property("round trip", [] {
        core::Job j = test::job("req-1", "x", static_cast<std::uint32_t>(*rc::gen::inRange(1, 100'001)),
                                *rc::gen::element(0.5, 2.0, 64.0));
        j.kind = static_cast<core::JobKind>(*rc::gen::inRange(0, 3));
        j.spread = *rc::gen::arbitrary<bool>();
        j.one_zone = *rc::gen::arbitrary<bool>();
        if (*rc::gen::arbitrary<bool>()) j.zone = "a";
        if (*rc::gen::arbitrary<bool>()) j.types = std::vector<std::string>{"t1", "t2"};
        j.cancelled = *rc::gen::arbitrary<bool>();
        const auto back = wire::parse_job_record(j.id, *wire::decode(wire::encode(wire::job_record(j))));
        RC_ASSERT(back.has_value());
        RC_ASSERT(wire::job_record(*back) == wire::job_record(j));

        core::Chunk c;
        for (std::uint32_t t = 0; t < core::kChunkTasks; ++t) {
            const int what = *rc::gen::inRange(0, 3);
            if (what == 1) c.done.insert(t);
            if (what == 2)
                c.open[t] = {static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000)), "n-000001", 2};
        }
        c.last_attempt = 1000;
        const auto bytes = wire::encode(wire::chunk_record(c));
        const auto again = wire::parse_chunk_record(*wire::decode(bytes), 7);
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->done == c.done);
        RC_ASSERT(again->open == c.open);
        RC_ASSERT(again->mod_revision == 7U);
        // The smallest value limit that settings allow is 4 KiB of JSON.
        RC_ASSERT(wire::chunk_record(c).dump().size() < 4096U);
    });
}

TEST(Records, DamagedChunksAreRefused) {
    const auto good =
        *wire::decode(wire::encode({{"d", wire::Json::array({wire::Json::array({0U, 3U})})},
                                    {"o", wire::Json::array({wire::Json::array({"n-1", 1U, "4.1,5.2"})})},
                                    {"n", 2U}}));
    EXPECT_TRUE(wire::parse_chunk_record(good, 1).has_value());
    for (const char* bad : {"4", "4.", ".1", "4.1,", ",4.1", "4.1;5.1", "4.1,4.2", "x.1", "4.-1", " 4.1"}) {
        auto v = good;
        v["o"][0][2] = bad;
        EXPECT_FALSE(wire::parse_chunk_record(v, 1).has_value()) << bad;
    }
    for (const wire::Json& bad : {wire::Json{1U, 1U, "4.1"}, wire::Json{"n-1", "1", "4.1"},
                                  wire::Json{"n-1", 1U, 4U}, wire::Json{"n-1", 1U}}) {
        auto v = good;
        v["o"][0] = bad;
        EXPECT_FALSE(wire::parse_chunk_record(v, 1).has_value()) << bad.dump();
    }
}

TEST(Names, JobIdsAndTaskNames) {
    EXPECT_TRUE(wire::is_job_id("req-000412"));
    for (const char* bad :
         {"", "req-", "req-12a", "job-1", "req-1/2", "req-00000000000000000000000000000000000001"}) {
        EXPECT_FALSE(wire::is_job_id(bad)) << bad;
    }
    EXPECT_EQ(wire::parse_task_name("req-7/12"), (wire::TaskName{"req-7", 12}));
    for (const char* bad : {"req-7", "/3", "req-7/", "req-7/x", "req-7/-1", "req-7/99999999999"}) {
        EXPECT_FALSE(wire::parse_task_name(bad).has_value()) << bad;
    }
}

}  // namespace
}  // namespace hatchwind
