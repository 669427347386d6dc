// Seeded fuzzing of each decoder that reads bytes from outside. Inputs are drawn by the grammar of CBOR and
// by mutation of valid messages. No input may crash a decoder, and what is accepted comes back the same after
// it was encoded again.
//
// HATCHWIND_FUZZ_CASES and HATCHWIND_FUZZ_SEED change the number of inputs of each decoder and the seed, for
// long runs by hand.
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "config/properties.hpp"
#include "config/settings.hpp"
#include "config/settings_error.hpp"
#include "support.hpp"
#include "wire/cloud_api.hpp"
#include "wire/peer_protocol.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"
#include "wire/user_api.hpp"
#include "wire/worker_api.hpp"

namespace hatchwind {
namespace {

using wire::Json;

constexpr std::size_t kLargestInputBytes = 64UL * 1024;

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::uint64_t case_count() { return from_environment("HATCHWIND_FUZZ_CASES", 30'000); }

// Draws inputs, the same ones for the same seed.
class InputGenerator {
  public:
    InputGenerator() : random_(from_environment("HATCHWIND_FUZZ_SEED", 20261)) {}

    std::size_t below(std::size_t end) {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
    }
    char byte() { return static_cast<char>(below(256)); }

    // Bytes that follow CBOR's grammar more often than not, with lengths and values that no message has.
    // Heads that are printable: ' ' is -1, 'A' a byte string of one byte, '_' one of indefinite length, '`'
    // an empty text, 'a' and 'g' texts of 1 and 7 bytes.
    std::string cbor(int depth) {
        static const std::vector<std::string> kLeaves = {std::string(1, '\0'),
                                                         "\x17",
                                                         "\x18\xff",
                                                         "\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
                                                         "\x3b\xff\xff\xff\xff\xff\xff\xff\xff",
                                                         "\x3b\x7f\xff\xff\xff\xff\xff\xff\xff",
                                                         " ",
                                                         "\xf4",
                                                         "\xf5",
                                                         "\xf6",
                                                         "\xf7",
                                                         "\xf9\x7e\x01",
                                                         "\xfa\x7f\x80\x01\x01",
                                                         "\xfb\x7e\x37\xe4\x3c\x88\x01\x75\x9c",
                                                         "Aa",
                                                         "\xc0\x61\x61",
                                                         "__",
                                                         "\x7f\x7f",
                                                         "\xff",
                                                         "`",
                                                         "\x61\xe9",
                                                         "\x62\xc3\xa9",
                                                         "\x7f\x61\x61\x62\xc3\xa9\xff",
                                                         "greq-001"};
        const std::size_t kind = below(depth > 0 ? 8 : 4);
        if (kind < 4) return kLeaves[below(kLeaves.size())];
        const std::size_t items = below(4);
        const bool indefinite = below(2) == 0;
        const bool map = kind >= 6;
        std::string value(1, static_cast<char>((map ? 0xa0U : 0x80U) + (indefinite ? 31U : items)));
        for (std::size_t item = 0; item < items; ++item) {
            if (map) value += below(8) == 0 ? cbor(0) : std::string("a") + static_cast<char>('a' + below(26));
            value += cbor(depth - 1);
        }
        if (indefinite) value += '\xff';
        return value;
    }

    std::string mutated(std::string input) {
        for (std::size_t left = 1 + below(4); left > 0; --left) mutate(input);
        if (input.size() > kLargestInputBytes) input.resize(kLargestInputBytes);
        return input;
    }

  private:
    void mutate(std::string& input) {
        const std::size_t at = below(input.size() + 1);
        const std::size_t length = std::min(below(16) + 1, input.size() - at);
        switch (below(9)) {
            case 0:
                if (at < input.size()) input[at] = byte();
                break;
            case 1:
                if (at < input.size()) input[at] = static_cast<char>(input[at] ^ (1 << below(8)));
                break;
            case 2:
                input.insert(at, 1, byte());
                break;
            case 3:
                input.erase(at, length);
                break;
            case 4:
                input.insert(at, input.substr(at, length));
                break;
            case 5:
                input.replace(at, length, cbor(3));
                break;
            case 6:
                input.resize(at);
                break;
            case 7:
                if (below(20) == 0)
                    input.insert(at, below(kLargestInputBytes), "\x5f\x7f\x81\x9f\xa1\xbf_["[below(8)]);
                break;
            default:
                input.insert(at, cbor(2));
        }
    }

    std::mt19937_64 random_;
};

struct Counts {
    std::uint64_t inputs = 0;
    std::uint64_t accepted = 0;
};

// Reports what was read, for the long runs.
void print(const char* decoder, const Counts& counts) {
    ::testing::Test::RecordProperty(std::string(decoder) + "_inputs", std::to_string(counts.inputs));
    if (std::getenv("HATCHWIND_FUZZ_CASES") != nullptr)
        std::printf("%s: %lu inputs, %lu accepted\n", decoder, counts.inputs, counts.accepted);
}

// Reads inputs made from the valid message; `read` returns whether it accepted the value.
void fuzz_cbor(const char* decoder, const Json& valid, const std::function<bool(const Json&)>& read) {
    SCOPED_TRACE(decoder);
    EXPECT_TRUE(read(valid)) << "the valid message";
    InputGenerator inputs;
    Counts counts;
    const std::string message = wire::encode(valid);
    for (; counts.inputs < case_count(); ++counts.inputs) {
        const std::string input = inputs.below(4) == 0 ? inputs.cbor(6) : inputs.mutated(message);
        const auto stored = wire::decode_stored(input);
        const auto value = wire::decode(input);
        ASSERT_TRUE(!value || stored) << "the strict reader accepts more";
        if (!stored) continue;
        const std::string encoded = wire::encode(*stored);
        const auto again = wire::decode_stored(encoded);
        // Compared as bytes: a NaN does not equal itself.
        ASSERT_TRUE(again && wire::encode(*again) == encoded) << "input " << counts.inputs;
        (void)wire::json_bytes(*stored);
        if (read(*stored)) ++counts.accepted;
    }
    print(decoder, counts);
}

Json submission() {
    return {{"id", "req-000412"}, {"flock", "train"},  {"crew", "vision"}, {"form", "sweep"},
            {"rank", "high"},     {"legs", 16},        {"cores", 8.0},     {"accelerators", 1.0},
            {"memGb", 64.0},      {"plate", "img-07"}, {"sizeGb", 6.2},    {"builds", {"g8"}},
            {"roost", nullptr},   {"oneZone", true},   {"spread", false},  {"borrowed", true},
            {"expectS", 240.0},   {"markS", 30.0},     {"stashS", 4.0},    {"dueS", 900.0},
            {"awaits", {"req-1"}}};
}

Json heartbeat() {
    const Json task{
        {"leg", "req-000412/3"}, {"try", 2}, {"status", "exited"}, {"cause", "stopped"}, {"kept", true}};
    return {{"perch", "n-000231"}, {"address", "10.1.0.232:9000"},
            {"build", "g8"},       {"roost", "a"},
            {"borrowed", true},    {"stint", 1},
            {"tick", 88},          {"baton", 41},
            {"warningS", 9.5},     {"legs", {task, task}}};
}

TEST(DecoderFuzz, SubmissionsOfUsers) {
    fuzz_cbor("submission", submission(), [](const Json& body) {
        (void)wire::submitted_id(body);
        const auto job = wire::parse_submission(body);
        if (!job) return false;
        const auto again = wire::parse_job_record(job->id, wire::job_record(*job));
        EXPECT_TRUE(again && wire::job_record(*again) == wire::job_record(*job));
        return true;
    });
}

TEST(DecoderFuzz, HeartbeatsOfWorkers) {
    fuzz_cbor("heartbeat", heartbeat(), [](const Json& body) {
        const auto heard = wire::parse_worker_heartbeat(body);
        if (!heard) return false;
        wire::WorkerStatusUpdate update;
        update.heartbeat = *heard;
        const std::string frame = wire::encode_frame(update);
        wire::FrameReader reader;
        reader.add(frame);
        const auto message = reader.next();
        EXPECT_TRUE(message && wire::encode_frame(*message) == frame);
        return true;
    });
}

TEST(DecoderFuzz, AnswersOfTheStateService) {
    const Json item{{"path", "h/job/req-1"}, {"v", {{"a", 1}}}, {"stamp", 7}};
    const Json event{{"write", "h/job/req-1"}, {"v", {{"a", 1}}}, {"stamp", 7}};
    const Json deletion{{"delete", "h/job/req-1"}, {"stamp", 8}};
    fuzz_cbor("get", item,
              [](const Json& body) { return wire::parse_get_response("key", body).has_value(); });
    fuzz_cbor("page", {{"pairs", {item, item}}, {"hasNext", true}, {"ledger", 9}},
              [](const Json& body) { return wire::parse_page(body).has_value(); });
    fuzz_cbor("watch", {{"log", {event, deletion}}, {"ledger", 9}},
              [](const Json& body) { return wire::parse_watch(body).has_value(); });
    fuzz_cbor("commit", {{"ledger", 9}, {"failed", {"h/job/req-1"}}},
              [](const Json& body) { return wire::parse_commit_response(body).has_value(); });
    fuzz_cbor("revision", {{"ledger", 9}},
              [](const Json& body) { return wire::parse_revision(body).has_value(); });
    fuzz_cbor("lease", {{"tenure", 9}},
              [](const Json& body) { return wire::parse_lease_response(body).has_value(); });
}

TEST(DecoderFuzz, AnswersOfTheCloud) {
    const Json type{{"name", "g8"},   {"cores", 96},         {"accelerators", 8}, {"memGb", 768},
                    {"localGb", 200}, {"fetchGbPerS", 1.0},  {"price", 12.0},     {"marketPrice", 4.5},
                    {"startupS", 45}, {"roosts", {"a", "b"}}};
    const Json machine{{"id", "n-000231"}, {"address", "10.1.0.232:9000"}, {"build", "g8"}, {"roost", "a"},
                       {"borrowed", true}, {"status", "running"},          {"heldS", 61.5}};
    fuzz_cbor("catalog", {{"builds", {type}}},
              [](const Json& body) { return wire::parse_catalog(body).has_value(); });
    fuzz_cbor("instances", {{"perches", {machine}}, {"hasNext", false}},
              [](const Json& body) { return wire::parse_instances(body).has_value(); });
    fuzz_cbor("rented", {{"perches", {"n-000231"}}},
              [](const Json& body) { return wire::parse_rented(body).has_value(); });
}

core::Job stored_job() {
    core::Job job = test::job("req-1", core::kWaitingTeam, 4, 2);
    job.team_once_released = "x";
    job.dependencies = {"req-7", "req-8"};
    job.types = {"small"};
    job.zone = "a";
    job.deadline_s = 900;
    job.cancelled = true;
    job.cancelled_at = core::Micros{77};
    return job;
}

core::Chunk stored_chunk() {
    core::Chunk chunk;
    chunk.done.insert(3, 9);
    chunk.open[1] = {4, "n-1", 2};
    chunk.open[2] = {5, "n-1", 2};
    chunk.last_attempt = 5;
    return chunk;
}

TEST(DecoderFuzz, RecordsOfJobsAndAttempts) {
    fuzz_cbor("job", wire::job_record(stored_job()), [](const Json& record) {
        const auto job = wire::parse_job_record("req-1", record);
        if (!job) return false;
        const Json written = wire::job_record(*job);
        const auto again = wire::parse_job_record("req-1", written);
        EXPECT_TRUE(again && wire::encode(wire::job_record(*again)) == wire::encode(written));
        return true;
    });
    const core::Chunk chunk = stored_chunk();
    fuzz_cbor("page", wire::page_record({{{"req-1", 0}, &chunk}, {{"req-2", 1}, &chunk}}),
              [](const Json& record) {
                  const auto chunks = wire::parse_page_record(record);
                  if (!chunks) return false;
                  std::map<core::ChunkKey, const core::Chunk*> pointers;
                  for (const auto& [key, read] : *chunks) pointers[key] = &read;
                  const Json written = wire::page_record(pointers);
                  EXPECT_TRUE(wire::parse_page_record(written).has_value());
                  return true;
              });
    fuzz_cbor("ids", wire::job_ids_record({"req-1", "req-22"}), [](const Json& record) {
        const auto ids = wire::parse_job_ids_record(record);
        if (!ids) return false;
        EXPECT_EQ(*wire::parse_job_ids_record(wire::job_ids_record(*ids)), *ids);
        return true;
    });
    fuzz_cbor("final", wire::final_record(wire::JobStatus::done, 3),
              [](const Json& record) { return wire::parse_final_record(record).has_value(); });
}

TEST(DecoderFuzz, RecordsOfTheCluster) {
    core::Epoch epoch;
    epoch.number = 7;
    epoch.leader = "n0";
    epoch.members = {{"n0", 3}, {"n1", 4}};
    epoch.shard_owners = {{"x", "n0"}};
    fuzz_cbor("epoch", wire::epoch_record(epoch), [](const Json& record) {
        const auto read = wire::parse_epoch_record(record, 1);
        if (!read) return false;
        const Json written = wire::epoch_record(*read);
        const auto again = wire::parse_epoch_record(written, 1);
        EXPECT_TRUE(again && wire::encode(wire::epoch_record(*again)) == wire::encode(written));
        return true;
    });
    fuzz_cbor("names", wire::names_record({"n-1", "n-2"}),
              [](const Json& record) { return wire::parse_names_record(record).has_value(); });
    fuzz_cbor("member", wire::member_record(3, 1), [](const Json& record) {
        (void)wire::parse_member_record(record, 1);
        return true;
    });
}

std::vector<wire::PeerMessage> messages_of_peers() {
    wire::PeerHeartbeat heartbeat_of_peer;
    heartbeat_of_peer.label = "n0";
    heartbeat_of_peer.wall_us = 1'700'000'000'000'000;
    heartbeat_of_peer.answered = {{"n-1", heartbeat_of_peer.wall_us - 5}};
    heartbeat_of_peer.released = {"n-2"};
    heartbeat_of_peer.cancellations = {{"req-1", 7, 5}};
    wire::WorkerStatusUpdate status;
    status.heartbeat = *wire::parse_worker_heartbeat(heartbeat());
    status.images = {{"img", 1.5}};
    return {wire::PeerHandshake{wire::kPeerProtocolVersion, "n0"},
            heartbeat_of_peer,
            status,
            wire::LeaseExtensionRequest{1, 700'000, 9},
            wire::LeaseExtensionVote{1, true, {{"req-1", 7, 5}}},
            wire::CapacityReservationNotice{"n-1", "req-1", 2, 1, 0, 1, 5'000'000, true},
            wire::WorkerKeepAlive{"n-1", 1, 2, 3, 4, 5},
            wire::CancellationBroadcast{{{"req-1", 7, 5}}},
            wire::StartHoldRequest{1, "req-1", 1'000'000},
            wire::StartHoldAcknowledgement{1}};
}

TEST(DecoderFuzz, FramesOfPeers) {
    InputGenerator inputs;
    for (const auto& message : messages_of_peers()) {
        Counts counts;
        const std::string frame = wire::encode_frame(message);
        for (; counts.inputs < case_count(); ++counts.inputs) {
            const std::string input = inputs.mutated(frame);
            wire::FrameReader reader;
            reader.add(input);
            while (const auto read = reader.next()) {
                ++counts.accepted;
                const std::string encoded = wire::encode_frame(*read);
                wire::FrameReader second;
                second.add(encoded);
                const auto again = second.next();
                ASSERT_TRUE(again && wire::encode_frame(*again) == encoded) << "input " << counts.inputs;
            }
        }
        print("frame", counts);
    }
}

TEST(DecoderFuzz, SettingsAndProperties) {
    const std::string settings =
        R"({"label":"n0","location":"a","api_addr":"127.0.0.1:8080","mesh_addr":"127.0.0.1:1",)"
        R"("members":[{"label":"n1","location":"b","peer_addr":"127.0.0.1:8082"}],)"
        R"("endpoints":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},"deployment":{"zones":["a"]}})";
    const std::string properties =
        "# operators\nmandate.grant_seconds = 2.5\nfleet\\:x=a\\\\\n  b : c \\\n d\n";
    InputGenerator inputs;
    for (std::uint64_t input = 0; input < case_count(); ++input) {
        const auto accepts = [](const std::function<void()>& parse) {
            try {
                parse();
            } catch (const controller::SettingsError& error) {
                EXPECT_FALSE(error.key().empty());
            }
        };
        const std::string settings_text = inputs.mutated(settings);
        accepts([&] { (void)controller::parse_settings(settings_text); });
        const std::string properties_text = inputs.mutated(properties);
        accepts([&] { (void)controller::parse_properties(properties_text); });
    }
}

}  // namespace
}  // namespace hatchwind
