// Versions side by side, and the lowered limits of the state service that come after an upgrade. The bytes
// and values below were written by the version that deploy/service.toml names as `production`, from the
// inputs that stand next to them, and are what it reads: it ignores fields at the end of a frame and unknown
// fields of a record, ends the connection at an unknown kind of frame, and drops unknown fields when it
// writes a record anew (the job's on cancelling, the epoch, pages, draining marks).
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "scheduling/attempt_page_split.hpp"
#include "support.hpp"
#include "test_deployment.hpp"
#include "wire/peer_protocol.hpp"
#include "wire/records.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::TestDeployment;
using wire::Json;
using wire::PeerMessage;

std::string from_hex(std::string_view hex) {
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        out.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
    return out;
}

struct RecordedFrame {
    PeerMessage message;
    const char* bytes;  // of production
};

std::vector<RecordedFrame> recorded_frames() {
    const wire::CancellationNotice notice{"req-000412", 430, 1699999999000000};
    wire::PeerHeartbeat heartbeat;
    heartbeat.label = "n1";
    heartbeat.store_lease = 7;
    heartbeat.wall_us = 1700000000000000;
    heartbeat.epoch = 12;
    heartbeat.state_ok = true;
    heartbeat.healthy = false;
    heartbeat.holds_leadership = true;
    heartbeat.answered = {{"n-000231", 1700000000000001}};
    heartbeat.released = {"n-000007"};
    heartbeat.candidates = {"n-000009"};
    heartbeat.hears = {"n0", "n2"};
    heartbeat.demand = 53;
    heartbeat.workers = 41;
    heartbeat.unanswered = {"n-000011"};
    heartbeat.revision = 431;
    heartbeat.cancellations = {notice};
    wire::WorkerStatusUpdate report;
    report.heartbeat.machine = "n-000231";
    report.heartbeat.address = "10.1.0.232:9000";
    report.heartbeat.type = "stave";
    report.heartbeat.zone = "osu";
    report.heartbeat.spot = true;
    report.heartbeat.incarnation = 2;
    report.heartbeat.heartbeat_sequence = 31;
    report.heartbeat.fencing_token = 12;
    report.heartbeat.notice_s = 30.0;
    core::TaskStatus task;
    task.job = "req-000412";
    task.task = 70;
    task.attempt = 3;
    task.state = core::TaskState::running;
    task.cause = core::ExitCause::done;
    report.heartbeat.tasks.push_back(task);
    report.heard_us = 1700000000000002;
    report.images = {{"img-07", 6.25}};
    report.confirmed = true;
    return {
        {wire::PeerHandshake{wire::kPeerProtocolVersion, "n1"}, "050103026e31"},
        {heartbeat,
         "5b02026e31078080f281838985060c01000101086e2d3030303233310101086e2d30303030303701086e2d3030303030390"
         "20"
         "26e30026e32352901086e2d303030303131af03010a7265712d303030343132ae0380f7f78083898506"},
        {report,
         "5d03086e2d3030303233310f31302e312e302e3233323a39303030057374617665036f737501021f0c018080808080808"
         "09f408480f28183898506010a7265712d30303034313246030201000106696d672d3037808080808080c08c4001"},
        {wire::LeaseExtensionRequest{9, 1500000, 431}, "070409e0c65baf03"},
        {wire::LeaseExtensionVote{9, true, {notice}}, "19050901010a7265712d303030343132ae0380f7f78083898506"},
        {wire::CapacityReservationNotice{"n-000231", "req-000412", 70, 2, 0, 2.9, 4000000, true},
         "2e06086e2d3030303233310a7265712d3030303431324680808080808080804000b3e6cc99b3e6cc83408092f40101"},
        {wire::WorkerKeepAlive{"n-000231", 2, 32, 12, 30, 1700000000000003},
         "1607086e2d30303032333102200c1e8680f28183898506"},
        {wire::CancellationBroadcast{{notice}}, "1708010a7265712d303030343132ae0380f7f78083898506"},
    };
}

std::optional<PeerMessage> read_frame(const std::string& frame) {
    wire::FrameReader reader;
    reader.add(frame);
    return reader.next();
}

TEST(MixedVersions, FramesOfProductionAreRead) {
    for (const auto& recorded : recorded_frames()) {
        const auto message = read_frame(from_hex(recorded.bytes));
        ASSERT_TRUE(message) << recorded.bytes;
        EXPECT_EQ(message->index(), recorded.message.index());
        // Compared as frames: a worker status update has no equality of its own.
        EXPECT_EQ(wire::encode_frame(*message), wire::encode_frame(recorded.message)) << recorded.bytes;
    }
}

TEST(MixedVersions, FramesBeginWithAllThatProductionReads) {
    // What comes after it, production ignores. The first byte is the length.
    for (const auto& recorded : recorded_frames()) {
        const std::string payload = from_hex(recorded.bytes).substr(1);
        EXPECT_EQ(wire::encode_frame(recorded.message).substr(1, payload.size()), payload) << recorded.bytes;
    }
}

TEST(MixedVersions, OnlyKindsOfFramesThatProductionKnowsAreSent) {
    // Production ends the connection at a hello of another version and at kinds above 8. A kind added here
    // may go only to controllers that have announced that they know it: kinds 9 and 10 go to those that
    // announce kSupportsStartHolds (StartFence.SendsNoRequestToAPeerThatDoesNotAnnounceIt), which production
    // does not.
    constexpr std::size_t kProductionKinds = 8;
    EXPECT_EQ(wire::kPeerProtocolVersion, 3U);
    constexpr std::size_t kKindsForHoldsStarts = 2;
    EXPECT_EQ(std::variant_size_v<PeerMessage>, kProductionKinds + kKindsForHoldsStarts);
    EXPECT_EQ(static_cast<std::uint8_t>(wire::encode_frame(wire::StartHoldRequest{})[1]), 9);
    EXPECT_EQ(static_cast<std::uint8_t>(wire::encode_frame(wire::StartHoldAcknowledgement{})[1]), 10);
    for (const auto& recorded : recorded_frames()) {
        const auto kind = static_cast<std::uint8_t>(wire::encode_frame(recorded.message)[1]);
        EXPECT_LE(kind, kProductionKinds);
    }
}

TEST(MixedVersions, FieldsThatALaterVersionAddsToAFrameAreIgnored) {
    for (const auto& recorded : recorded_frames()) {
        // After all that this version writes: right after production's bytes they would be fields that it
        // knows.
        std::string longer = wire::encode_frame(recorded.message) + "\x01\x01";
        longer[0] = static_cast<char>(longer[0] + 2);
        const auto message = read_frame(longer);
        ASSERT_TRUE(message) << recorded.bytes;
        EXPECT_EQ(wire::encode_frame(*message), wire::encode_frame(recorded.message));
    }
}

constexpr const char* kProductionJob =
    R"({"at":1700000000000000,"cancelled":1700000001000000,"class":"part-books","cp":30.0,"cpus":2.0,)"
    R"("due":900.0,"est":20.0,"flags":4,"gpus":0.0,"igb":1.5,"image":"img-07","kind":0,"mem":2.9,"prio":1,)"
    R"("save":4.0,"tasks":90,"team":"print-room","types":["stave"],"zone":"osu"})";
constexpr const char* kProductionPage =
    R"({"c":{"req-000412/1":{"d":[[64,69]],"n":4,"o":[["n-000231",2,"70.3,71.4"]]}}})";
constexpr const char* kProductionEpoch =
    R"({"leader":"n1","members":[["n0",5],["n1",7]],"number":12,"owners":{"print-room":"n0"},)"
    R"("removed":1700000000000000})";
constexpr const char* kProductionMarks = R"({"names":["n-000009","n-000011"]})";
constexpr const char* kProductionFinal = R"({"done":90,"s":"done"})";

// Reads a record with and without fields of a later version; what is written from it is what production
// reads.
template <class Rewrite>
void expect_same_both_ways(const char* recorded, Rewrite rewrite) {
    const Json value = Json::parse(recorded);
    EXPECT_EQ(rewrite(value).dump(), recorded);
    Json later = value;
    later["later"] = {{"a", 1}};
    EXPECT_EQ(rewrite(later).dump(), recorded);
}

// The same for records whose fields of a later version survive that this version writes them anew.
template <class Rewrite>
void expect_all_fields_kept(const char* recorded, Rewrite rewrite) {
    const Json value = Json::parse(recorded);
    EXPECT_EQ(rewrite(value).dump(), recorded);
    Json later = value;
    later["later"] = {{"a", 1}};
    later["Early in the alphabet"] = nullptr;
    EXPECT_EQ(rewrite(later), later);
}

// Of the version in production since (4ccfc8d), which knows waiting jobs.
constexpr const char* kProductionWaitingJob =
    R"({"at":1700000000000000,"awaits":["req-000398","req-000405"],"class":"press-ready","cp":0.0,"cpus":1.0,)"
    R"("due":143.5,"est":8.0,"flags":4,"gpus":0.0,"igb":0.5,"image":"img-07","kind":0,)"
    R"("later_team":"print-room","mem":1.6,"prio":2,"save":0.0,"tasks":3,"team":"~waiting"})";
constexpr const char* kProductionLongWait =
    R"({"at":1700000000000000,"await_list":"123456789","await_parts":2,"awaits":[],"class":"press-ready",)"
    R"("cp":0.0,"cpus":1.0,"due":143.5,"est":8.0,"flags":4,"gpus":0.0,"igb":0.5,"image":"img-07","kind":0,)"
    R"("later_team":"print-room","mem":1.6,"prio":2,"save":0.0,"tasks":3,"team":"~waiting"})";
constexpr const char* kProductionCancelledWait =
    R"({"at":1700000000000000,"awaits":[],"cancelled":1700000001000000,"class":"press-ready","cp":0.0,)"
    R"("cpus":1.0,"due":143.5,"est":8.0,"flags":4,"gpus":0.0,"igb":0.5,"image":"img-07","kind":0,)"
    R"("later_team":"print-room","mem":1.6,"prio":2,"save":0.0,"tasks":3,"team":"~waiting"})";
constexpr const char* kProductionJobIds = R"({"ids":"000398,000405"})";
constexpr const char* kProductionCapabilities = "1c02026e31078080f281838985060c01010100000000000000af030001";

TEST(MixedVersions, WaitingJobsOfProductionAreReadAndWrittenAsItDoes) {
    for (const char* recorded : {kProductionWaitingJob, kProductionLongWait, kProductionCancelledWait}) {
        expect_all_fields_kept(recorded, [](const Json& v) {
            const auto job = wire::parse_job_record("req-000413", v);
            return job ? wire::job_record(*job) : Json{};
        });
    }
    expect_same_both_ways(kProductionJobIds, [](const Json& v) {
        const auto ids = wire::parse_job_ids_record(v);
        return ids ? wire::job_ids_record(*ids) : Json{};
    });
}

TEST(MixedVersions, ProductionAnnouncesThatItKnowsWaitingJobsAndNoMore) {
    const auto message = read_frame(from_hex(kProductionCapabilities));
    ASSERT_TRUE(message);
    const auto capabilities = std::get<wire::PeerHeartbeat>(*message).capabilities;
    EXPECT_EQ(capabilities, core::kSupportsWaitingJobs);
    EXPECT_EQ(capabilities & core::kSupportsFairWriteShare, 0U);
    EXPECT_EQ(capabilities & core::kSupportsStartHolds, 0U);
}

TEST(MixedVersions, TheNextEpochKeepsFieldsOfALaterVersion) {
    core::EpochInput input;
    input.current.unknown_fields = wire::encode({{"later", 1}});
    input.self = {"n1", 7};
    input.member_records["n1"] = {7, 3, core::kCapabilities};
    input.teams = {{"print-room", 1, 1, 0, 0}};
    const auto plan = core::plan_epoch(input);
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->next.unknown_fields, input.current.unknown_fields);
}

TEST(MixedVersions, RecordsOfProductionAreReadAndWrittenAsItDoes) {
    expect_all_fields_kept(kProductionJob, [](const Json& v) {
        const auto job = wire::parse_job_record("req-000412", v);
        return job ? wire::job_record(*job) : Json{};
    });
    expect_same_both_ways(kProductionPage, [](const Json& v) {
        const auto chunks = wire::parse_page_record(v);
        std::map<core::ChunkKey, const core::Chunk*> content;
        if (chunks) {
            for (const auto& [key, chunk] : *chunks) content[key] = &chunk;
        }
        return wire::page_record(content);
    });
    expect_all_fields_kept(kProductionEpoch, [](const Json& v) {
        const auto epoch = wire::parse_epoch_record(v, 3);
        return epoch ? wire::epoch_record(*epoch) : Json{};
    });
    expect_same_both_ways(kProductionMarks, [](const Json& v) {
        const auto names = wire::parse_names_record(v);
        return names ? wire::names_record(*names) : Json{};
    });
    expect_same_both_ways(kProductionFinal, [](const Json& v) {
        const auto final_state = wire::parse_final_record(v);
        return final_state ? wire::final_record(final_state->status, final_state->done) : Json{};
    });
}

RC_GTEST_PROP(PageSplit, KeepsEveryChunkOnceWithinTheLimit, ()) {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    std::map<core::ChunkKey, core::Chunk> chunks;
    for (std::uint32_t i = 0; i < count; ++i) {
        core::Chunk& chunk = chunks[{"req-" + std::to_string(100000 + i / 3), i % 3}];
        const auto open = *rc::gen::inRange<std::uint32_t>(0, 64);
        for (std::uint32_t t = 0; t < open; ++t)
            chunk.open[i % 3 * core::kChunkTasks + t] = {t + 1, "n-" + std::to_string(100000 + t), 1};
    }
    controller::PageContent content;
    for (const auto& [key, chunk] : chunks) content[key] = &chunk;
    constexpr std::size_t kLimit = 2048;
    const auto most = *rc::gen::inRange<std::size_t>(1, 30);
    const auto parts = controller::split_page(content, kLimit, most);
    RC_ASSERT(parts.size() <= most);
    controller::PageContent joined;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto written = wire::page_record(parts[i]).dump().size();
        RC_ASSERT(written <= controller::page_bytes(parts[i]));
        // What did not fit into so many parts stays on the first.
        RC_ASSERT(written <= kLimit || (i == 0 && parts.size() == most));
        joined.insert(parts[i].begin(), parts[i].end());
        sum += parts[i].size();
    }
    RC_ASSERT(joined == content);
    RC_ASSERT(sum == content.size());
}

// As many services of one task each as the team may run at once: they share a page.
constexpr int kJobs = 16;
std::string job_name(int i) { return "req-" + std::to_string(200000 + i); }

Task<void> fill_page(TestDeployment& site) {
    for (int i = 0; i < kJobs; ++i) {
        auto submitted = site.submit(job_name(i), "x", "service", 1);
        co_await std::move(submitted);
    }
    const std::function<bool()> all_run = [&site] { return site.workload.running.size() == kJobs; };
    auto running = site.until(all_run);
    co_await std::move(running);
}

std::size_t largest_page(const TestDeployment& site) {
    std::size_t most = 0;
    for (const auto& [key, item] : site.state.items) {
        if (key.starts_with("h/run/")) most = std::max(most, item.value.dump().size());
    }
    return most;
}

constexpr std::size_t kLowered = 512;  // bytes of a value

TEST(LoweredLimits, RecordsWrittenUnderLargerLimitsAreGoneOnWithInSmallerOnes) {
    TestDeployment site(3);
    site.play([](TestDeployment& s) -> Task<void> {
        auto filled = fill_page(s);
        co_await std::move(filled);
        EXPECT_GT(largest_page(s), kLowered);  // else this test shows nothing
        s.adjust_settings = [](controller::Settings& settings) {
            settings.value_kb = 0.5;
            settings.txn_ops = 4;
        };
        for (std::size_t node : {0U, 1U, 2U}) {
            s.kill(node);
            co_await s.loop.sleep(Micros{300'000});
            s.start(node);
            co_await s.loop.sleep(Micros{1'500'000});
        }
        // From now on without notice; nobody may run into it.
        s.state.value_bytes_limit = kLowered;
        s.state.transaction_limit = 4;
        for (int i = 0; i < kJobs; i += 2) {
            auto cancelled = s.retry_until("POST", "/api/jobs/" + job_name(i) + "/cancel", nullptr, {200});
            co_await std::move(cancelled);
        }
        const std::function<bool()> half_runs = [&s] { return s.workload.running.size() == kJobs / 2; };
        auto gone = s.until(half_runs);
        co_await std::move(gone);
        auto more = s.submit("req-300000", "x", "sweep", 8);
        co_await std::move(more);
        auto last = s.until_status("req-300000", "done");
        co_await std::move(last);
        EXPECT_LE(largest_page(s), kLowered);
    });
    EXPECT_EQ(site.state.oversized_transactions, std::vector<std::string>{});
}

TEST(LoweredLimits, UnitsThatTheStoreRefusesDoNotHoldUpTheOthers) {
    // Limits lowered although nothing was announced: the page of one team can't be written any more.
    TestDeployment site(1);
    site.play([](TestDeployment& s) -> Task<void> {
        auto filled = fill_page(s);
        co_await std::move(filled);
        s.state.value_bytes_limit = kLowered;
        auto cancelled = s.retry_until("POST", "/api/jobs/" + job_name(0) + "/cancel", nullptr, {200});
        co_await std::move(cancelled);
        auto other = s.submit("req-300000", "y", "sweep", 2);
        co_await std::move(other);
        auto done = s.until_status("req-300000", "done");
        co_await std::move(done);
    });
}

struct Accepted {
    std::vector<std::string> jobs;
    Micros longest{0};
    bool stop = false;
};

// Submits one job after the other, as users do, and notes how long the longest took.
Task<void> keep_submitting(TestDeployment& site, Accepted& accepted, int first) {
    for (int i = 0; !accepted.stop; ++i) {
        const std::string id = "req-" + std::to_string(first + i);
        const Micros began = io::steady_now();
        auto submitted = site.submit(id, i % 2 == 0 ? "x" : "y", "sweep", 1);
        co_await std::move(submitted);
        accepted.longest = std::max(accepted.longest, io::steady_now() - began);
        accepted.jobs.push_back(id);
        co_await site.loop.sleep(Micros{100'000});
    }
}

Task<void> until_healthy(TestDeployment& site, std::size_t node) {
    while (true) {
        auto asked = site.call(node, "GET", "/healthz", nullptr);
        const auto answer = co_await std::move(asked);
        if (answer.first == 200) co_return;
        co_await site.loop.sleep(Micros{20'000});
    }
}

// Restarts controllers in the order given; each is killed once more while it starts.
Task<void> restart_in_order(TestDeployment& site, std::vector<std::size_t> order, std::size_t at_once) {
    for (std::size_t first = 0; first < order.size(); first += at_once) {
        const std::size_t end = std::min(order.size(), first + at_once);
        for (std::size_t i = first; i < end; ++i) site.kill(order[i]);
        co_await site.loop.sleep(Micros{200'000});
        for (std::size_t i = first; i < end; ++i) site.start(order[i]);
        co_await site.loop.sleep(Micros{60'000});
        for (std::size_t i = first; i < end; ++i) site.kill(order[i]);
        for (std::size_t i = first; i < end; ++i) site.start(order[i]);
        for (std::size_t i = first; i < end; ++i) {
            auto healthy = until_healthy(site, order[i]);
            co_await std::move(healthy);
        }
    }
}

void roll_in_every_order(std::size_t at_once) {
    std::vector<std::size_t> order{0, 1, 2};
    do {
        TestDeployment site(3);
        site.play([&order, at_once](TestDeployment& s) -> Task<void> {
            auto first = s.submit("req-100000", "z", "service", 2);
            co_await std::move(first);
            io::Scope users;
            Accepted accepted;
            users.spawn(keep_submitting(s, accepted, 400000));
            auto rolled = restart_in_order(s, order, at_once);
            co_await std::move(rolled);
            accepted.stop = true;
            co_await s.loop.sleep(Micros{300'000});
            for (const auto& id : accepted.jobs) {
                auto done = s.until_status(id, "done");
                co_await std::move(done);
            }
            EXPECT_GE(accepted.jobs.size(), 3U);
            testing::Test::RecordProperty("longest_submission_ms",
                                          static_cast<int>(accepted.longest.count() / 1000));
            EXPECT_LT(accepted.longest, Micros{5'000'000});
            accepted.stop = true;
            users.cancel();
        });
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(RollingRestart, OneControllerAfterTheOtherInEveryOrderLosesNothing) { roll_in_every_order(1); }

TEST(RollingRestart, TwoControllersAtATimeInEveryOrderLosesNothing) { roll_in_every_order(2); }

}  // namespace
}  // namespace hatchwind
