#include "wire/peer_protocol.hpp"

#include "support.hpp"

namespace hatchwind {
namespace {

using test::check_property;

std::vector<wire::CancellationNotice> draw_cancels() {
    std::vector<wire::CancellationNotice> cancellations;
    const int count = *rc::gen::inRange(0, 4);
    cancellations.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        cancellations.push_back({*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::uint64_t>(),
                                 *rc::gen::arbitrary<std::int64_t>()});
    }
    return cancellations;
}

wire::PeerHeartbeat draw_heartbeat() {
    wire::PeerHeartbeat b;
    b.label = *rc::gen::arbitrary<std::string>();
    b.store_lease = *rc::gen::arbitrary<std::uint64_t>();
    b.wall_us = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000'000);
    b.epoch = *rc::gen::arbitrary<std::uint64_t>();
    b.state_ok = *rc::gen::arbitrary<bool>();
    b.healthy = *rc::gen::arbitrary<bool>();
    b.holds_leadership = *rc::gen::arbitrary<bool>();
    b.revision = *rc::gen::arbitrary<std::uint64_t>();
    b.cancellations = draw_cancels();
    b.capabilities = *rc::gen::arbitrary<std::uint64_t>();
    const int n = *rc::gen::inRange(0, 5);
    for (int i = 0; i < n; ++i) {
        b.answered.emplace_back(*rc::gen::arbitrary<std::string>(),
                                b.wall_us - *rc::gen::inRange<std::int64_t>(-1000, 100'000'000));
        b.released.push_back(*rc::gen::arbitrary<std::string>());
        b.hears.push_back(*rc::gen::arbitrary<std::string>());
    }
    return b;
}

// The first heartbeat of a connection, from a controller that alone has heard a fleet of 5,000 machines, all
// of which have just ended, with as many cancelled jobs.
TEST(MeshCodec, AHeartbeatOfALargeFleetFitsAFrame) {
    constexpr int kMachines = 5'000;
    constexpr std::size_t kReleased = 8'192;
    wire::PeerHeartbeat heartbeat;
    heartbeat.wall_us = 1'700'000'000'000'000;
    const auto name = [](std::size_t i) { return "n-" + std::to_string(100'000 + i); };
    for (std::size_t i = 0; i < kMachines; ++i) {
        heartbeat.answered.emplace_back(name(i), heartbeat.wall_us - 600'000'000);
        heartbeat.candidates.push_back(name(i));
        heartbeat.unanswered.push_back(name(i));
        heartbeat.cancellations.push_back(
            {"req-" + std::to_string(100'000 + i), 1'000'000, heartbeat.wall_us});
    }
    for (std::size_t i = 0; i < kReleased; ++i) heartbeat.released.push_back(name(i));
    const std::string frame = wire::encode_frame(heartbeat);
    EXPECT_LT(frame.size(), wire::kMaxFrameBytes);
    wire::FrameReader reader;
    reader.add(frame);
    EXPECT_TRUE(reader.next().has_value());
}

TEST(MeshCodec, FramesSurviveAnySplit) {
    check_property("split anywhere", [] {
        const auto heartbeat = draw_heartbeat();
        const wire::LeaseExtensionRequest ask{9, 1'500'000, *rc::gen::arbitrary<std::uint64_t>()};
        const wire::LeaseExtensionVote promise{9, true, draw_cancels()};
        const wire::CancellationBroadcast cancel{draw_cancels()};
        const wire::CapacityReservationNotice hold{"n-1", "req-1", 3, 2.0, 0, 4.4, 4'000'000};
        const wire::StartHoldRequest start_hold{*rc::gen::arbitrary<std::uint64_t>(),
                                                *rc::gen::arbitrary<std::string>(), 1'000'000};
        const wire::StartHoldAcknowledgement acknowledgement{*rc::gen::arbitrary<std::uint64_t>()};
        const std::string bytes =
            wire::encode_frame(wire::PeerHandshake{1, "node"}) + wire::encode_frame(heartbeat) +
            wire::encode_frame(ask) + wire::encode_frame(promise) + wire::encode_frame(hold) +
            wire::encode_frame(cancel) + wire::encode_frame(start_hold) + wire::encode_frame(acknowledgement);
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        wire::FrameReader r;
        std::vector<wire::PeerMessage> got;
        for (const auto& part : {bytes.substr(0, cut), bytes.substr(cut)}) {
            r.add(part);
            while (auto m = r.next()) got.push_back(std::move(*m));
        }
        RC_ASSERT(!r.broken());
        RC_ASSERT(got.size() == 8U);
        RC_ASSERT(std::get<wire::PeerHeartbeat>(got[1]) == heartbeat);
        RC_ASSERT(std::get<wire::LeaseExtensionRequest>(got[2]) == ask);
        RC_ASSERT(std::get<wire::LeaseExtensionVote>(got[3]) == promise);
        RC_ASSERT(std::get<wire::CapacityReservationNotice>(got[4]) == hold);
        RC_ASSERT(std::get<wire::CancellationBroadcast>(got[5]) == cancel);
        RC_ASSERT(std::get<wire::StartHoldRequest>(got[6]) == start_hold);
        RC_ASSERT(std::get<wire::StartHoldAcknowledgement>(got[7]) == acknowledgement);
    });
}

TEST(MeshCodec, HeartbeatsComeBackAsTheyWere) {
    wire::WorkerStatusUpdate m;
    m.heartbeat = test::heartbeat("n-000001", "small", "a", true);
    m.heartbeat.notice_s = 12.5;
    m.heartbeat.tasks.push_back({"req-1", 4, 2, core::TaskState::exited, core::ExitCause::stopped, true});
    m.heard_us = 123456789;
    m.images = {{"img", 1.5}};
    wire::FrameReader r;
    r.add(wire::encode_frame(m));
    const auto back = r.next();
    ASSERT_TRUE(back.has_value());
    const auto& b = std::get<wire::WorkerStatusUpdate>(*back);
    EXPECT_EQ(b.heartbeat.machine, m.heartbeat.machine);
    EXPECT_EQ(b.heartbeat.notice_s, m.heartbeat.notice_s);
    EXPECT_EQ(b.heartbeat.tasks, m.heartbeat.tasks);
    EXPECT_EQ(b.heard_us, m.heard_us);
    EXPECT_EQ(b.images, m.images);
}

TEST(MeshCodec, ArbitraryBytesEndInBrokenOrWaiting) {
    check_property("any bytes", [](const std::string& bytes) {
        wire::FrameReader r;
        r.add(bytes);
        int n = 0;
        while (r.next()) RC_ASSERT(++n < 1000);
    });
    // A frame that claims more than the limit must not make the reader wait for it.
    wire::FrameReader r;
    r.add("\xff\xff\xff\x7f");
    EXPECT_FALSE(r.next().has_value());
    EXPECT_TRUE(r.broken());
}

TEST(MeshCodec, DamagedFramesNeverCrash) {
    check_property("one changed byte", [] {
        std::string bytes = wire::encode_frame(draw_heartbeat());
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        wire::FrameReader r;
        r.add(bytes);
        while (r.next()) {
        }
    });
}

}  // namespace
}  // namespace hatchwind
