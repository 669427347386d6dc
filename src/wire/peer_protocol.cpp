#include "wire/peer_protocol.hpp"

#include <array>
#include <bit>
#include <cmath>

namespace hatchwind::wire {

namespace {

enum class Kind : std::uint8_t {
    handshake = 1,
    peer_heartbeat = 2,
    worker_status = 3,
    lease_extension_request = 4,
    lease_extension_vote = 5,
    capacity_reservation = 6,
    worker_keep_alive = 7,
    cancellation = 8,
    start_hold_request = 9,
    start_hold_acknowledgement = 10,
};

// A varint has seven bits of the number in each byte, the lowest first, and a bit that tells whether another
// follows.
constexpr std::uint8_t kPayloadBits = 0x7f;
constexpr std::uint8_t kContinues = 0x80;
constexpr unsigned kBitsOfByte = 7;
// The length of a frame is below kMaxFrameBytes and so at most this long.
constexpr std::size_t kMostLengthBytes = 4;

constexpr auto kLastTaskState = static_cast<std::uint64_t>(core::TaskState::exited);
constexpr auto kLastExitCause = static_cast<std::uint64_t>(core::ExitCause::unknown);

class Writer {
  public:
    explicit Writer(Kind kind) { bytes_.push_back(static_cast<char>(kind)); }
    void varint(std::uint64_t value) {
        while (value >= kContinues) {
            bytes_.push_back(static_cast<char>((value & kPayloadBits) | kContinues));
            value >>= kBitsOfByte;
        }
        bytes_.push_back(static_cast<char>(value));
    }
    // Zigzag: small negative numbers stay short.
    void signed_varint(std::int64_t value) {
        varint((static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63));
    }
    void flag(bool value) { varint(value ? 1 : 0); }
    void number(double value) { varint(std::bit_cast<std::uint64_t>(value)); }
    void text(std::string_view value) {
        varint(value.size());
        bytes_.append(value);
    }
    void texts(const std::vector<std::string>& values) {
        varint(values.size());
        for (const auto& value : values) text(value);
    }
    // What was written, behind its length.
    std::string frame() const {
        Writer length;
        length.varint(bytes_.size());
        return length.bytes_ + bytes_;
    }

  private:
    Writer() = default;
    std::string bytes_;
};

// Reads on after an error and returns zeros and empty texts; `ok` tells of it once, at the end.
class Reader {
  public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    std::uint64_t varint() {
        constexpr unsigned kLastShift = 63;  // of the only bit that the tenth byte may have
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift <= kLastShift; shift += kBitsOfByte) {
            if (at_ >= bytes_.size()) break;
            const auto byte = static_cast<std::uint8_t>(bytes_[at_++]);
            if (shift == kLastShift && byte > 1) break;
            value |= static_cast<std::uint64_t>(byte & kPayloadBits) << shift;
            if ((byte & kContinues) == 0) return value;
        }
        ok_ = false;
        return 0;
    }
    std::int64_t signed_varint() {
        const auto value = varint();
        return static_cast<std::int64_t>(value >> 1U) ^ -static_cast<std::int64_t>(value & 1U);
    }
    // A time in microseconds, of which sums can be made.
    std::int64_t time_us() {
        const auto value = signed_varint();
        if (value > core::kMaxMicros.count() || value < -core::kMaxMicros.count()) ok_ = false;
        return ok_ ? value : 0;
    }
    // A duration in microseconds that is not negative.
    std::uint64_t duration_us() {
        const auto value = varint();
        if (value > static_cast<std::uint64_t>(core::kMaxMicros.count())) ok_ = false;
        return ok_ ? value : 0;
    }
    bool flag() {
        const auto value = varint();
        if (value > 1) ok_ = false;
        return value == 1;
    }
    double number() {
        const auto value = std::bit_cast<double>(varint());
        if (!std::isfinite(value)) ok_ = false;
        return value;
    }
    std::string text() {
        const auto size = varint();
        if (!ok_ || size > bytes_.size() - at_) {
            ok_ = false;
            return {};
        }
        std::string value{bytes_.substr(at_, size)};
        at_ += size;
        return value;
    }
    std::vector<std::string> texts() {
        std::vector<std::string> values;
        for (auto left = count(); left > 0 && ok_; --left) values.push_back(text());
        return values;
    }
    // A count of items, each of which takes at least one byte.
    std::uint64_t count() {
        const auto items = varint();
        if (items > bytes_.size() - at_) ok_ = false;
        return ok_ ? items : 0;
    }
    // At the end of a message whose sender may be of an earlier version, which ends before it.
    std::uint64_t optional_count() { return at_ == bytes_.size() ? 0 : count(); }
    std::uint64_t optional_varint() { return at_ == bytes_.size() ? 0 : varint(); }
    // Later versions may add fields at the end, so bytes left over are no error.
    bool ok() const { return ok_; }

  private:
    std::string_view bytes_;
    std::size_t at_ = 0;
    bool ok_ = true;
};

void write(Writer& writer, const std::vector<CancellationNotice>& cancellations) {
    writer.varint(cancellations.size());
    for (const auto& notice : cancellations) {
        writer.text(notice.job);
        writer.varint(notice.revision);
        writer.signed_varint(notice.cancelled_us);
    }
}

void write(Writer& writer, const CancellationBroadcast& message) { write(writer, message.cancellations); }

void write(Writer& writer, const PeerHandshake& message) {
    writer.varint(message.version);
    writer.text(message.label);
}

void write(Writer& writer, const PeerHeartbeat& message) {
    writer.text(message.label);
    writer.varint(message.store_lease);
    writer.signed_varint(message.wall_us);
    writer.varint(message.epoch);
    writer.flag(message.state_ok);
    writer.flag(message.healthy);
    writer.flag(message.holds_leadership);
    writer.varint(message.answered.size());
    for (const auto& [machine, at] : message.answered) {
        writer.text(machine);
        writer.signed_varint(message.wall_us - at);  // ages are shorter than times
    }
    writer.texts(message.released);
    writer.texts(message.candidates);
    writer.texts(message.hears);
    writer.varint(message.demand);
    writer.varint(message.workers);
    writer.texts(message.unanswered);
    writer.varint(message.revision);
    write(writer, message.cancellations);
    writer.varint(message.capabilities);
}

void write(Writer& writer, const WorkerStatusUpdate& message) {
    const auto& heartbeat = message.heartbeat;
    writer.text(heartbeat.machine);
    writer.text(heartbeat.address);
    writer.text(heartbeat.type);
    writer.text(heartbeat.zone);
    writer.flag(heartbeat.spot);
    writer.varint(heartbeat.incarnation);
    writer.varint(heartbeat.heartbeat_sequence);
    writer.varint(heartbeat.fencing_token);
    writer.flag(heartbeat.notice_s.has_value());
    if (heartbeat.notice_s) writer.number(*heartbeat.notice_s);
    writer.signed_varint(message.heard_us);
    writer.varint(heartbeat.tasks.size());
    for (const auto& task : heartbeat.tasks) {
        writer.text(task.job);
        writer.varint(task.task);
        writer.varint(task.attempt);
        writer.varint(static_cast<std::uint64_t>(task.state));
        writer.varint(static_cast<std::uint64_t>(task.cause));
        writer.flag(task.saved);
    }
    writer.varint(message.images.size());
    for (const auto& [image, gb] : message.images) {
        writer.text(image);
        writer.number(gb);
    }
    writer.flag(message.confirmed);
}

void write(Writer& writer, const WorkerKeepAlive& message) {
    writer.text(message.machine);
    writer.varint(message.incarnation);
    writer.varint(message.heartbeat_sequence);
    writer.varint(message.fencing_token);
    writer.varint(message.content_sequence);
    writer.signed_varint(message.heard_us);
}

void write(Writer& writer, const LeaseExtensionRequest& message) {
    writer.varint(message.number);
    writer.varint(message.life_us);
    writer.varint(message.revision);
}

void write(Writer& writer, const LeaseExtensionVote& message) {
    writer.varint(message.number);
    writer.flag(message.given);
    write(writer, message.cancellations);
}

void write(Writer& writer, const CapacityReservationNotice& message) {
    writer.text(message.machine);
    writer.text(message.job);
    writer.varint(message.task);
    writer.number(message.cpus);
    writer.number(message.gpus);
    writer.number(message.memory_gb);
    writer.varint(message.for_us);
    writer.flag(message.waiting);
}

void write(Writer& writer, const StartHoldRequest& message) {
    writer.varint(message.number);
    writer.text(message.job);
    writer.varint(message.wait_us);
}

void write(Writer& writer, const StartHoldAcknowledgement& message) { writer.varint(message.number); }

std::vector<CancellationNotice> read_cancellations(Reader& reader) {
    std::vector<CancellationNotice> cancellations;
    for (auto left = reader.optional_count(); left > 0 && reader.ok(); --left) {
        CancellationNotice notice;
        notice.job = reader.text();
        notice.revision = reader.varint();
        notice.cancelled_us = reader.signed_varint();
        cancellations.push_back(std::move(notice));
    }
    return cancellations;
}

PeerHeartbeat read_peer_heartbeat(Reader& reader) {
    PeerHeartbeat message;
    message.label = reader.text();
    message.store_lease = reader.varint();
    message.wall_us = reader.time_us();
    message.epoch = reader.varint();
    message.state_ok = reader.flag();
    message.healthy = reader.flag();
    message.holds_leadership = reader.flag();
    for (auto left = reader.count(); left > 0 && reader.ok(); --left) {
        auto machine = reader.text();
        const auto age = reader.time_us();
        message.answered.emplace_back(std::move(machine), message.wall_us - age);
    }
    message.released = reader.texts();
    message.candidates = reader.texts();
    message.hears = reader.texts();
    message.demand = reader.varint();
    message.workers = reader.varint();
    message.unanswered = reader.texts();
    message.revision = reader.optional_varint();
    message.cancellations = read_cancellations(reader);
    message.capabilities = reader.optional_varint();
    return message;
}

std::optional<WorkerStatusUpdate> read_worker_status(Reader& reader) {
    WorkerStatusUpdate message;
    auto& heartbeat = message.heartbeat;
    heartbeat.machine = reader.text();
    heartbeat.address = reader.text();
    heartbeat.type = reader.text();
    heartbeat.zone = reader.text();
    heartbeat.spot = reader.flag();
    heartbeat.incarnation = reader.varint();
    heartbeat.heartbeat_sequence = reader.varint();
    heartbeat.fencing_token = reader.varint();
    if (reader.flag()) heartbeat.notice_s = reader.number();
    message.heard_us = reader.time_us();
    for (auto left = reader.count(); left > 0 && reader.ok(); --left) {
        core::TaskStatus task;
        task.job = reader.text();
        task.task = static_cast<std::uint32_t>(reader.varint());
        task.attempt = reader.varint();
        const auto state = reader.varint();
        const auto cause = reader.varint();
        task.saved = reader.flag();
        if (state > kLastTaskState || cause > kLastExitCause) return std::nullopt;
        task.state = static_cast<core::TaskState>(state);
        task.cause = static_cast<core::ExitCause>(cause);
        heartbeat.tasks.push_back(std::move(task));
    }
    for (auto left = reader.count(); left > 0 && reader.ok(); --left) {
        auto image = reader.text();
        const double gb = reader.number();
        message.images.emplace_back(std::move(image), gb);
    }
    message.confirmed = reader.flag();
    return message;
}

PeerHandshake read_handshake(Reader& reader) {
    PeerHandshake message;
    message.version = reader.varint();
    message.label = reader.text();
    return message;
}

LeaseExtensionRequest read_lease_extension_request(Reader& reader) {
    LeaseExtensionRequest message;
    message.number = reader.varint();
    message.life_us = reader.duration_us();
    message.revision = reader.optional_varint();
    return message;
}

LeaseExtensionVote read_lease_extension_vote(Reader& reader) {
    LeaseExtensionVote message;
    message.number = reader.varint();
    message.given = reader.flag();
    message.cancellations = read_cancellations(reader);
    return message;
}

CapacityReservationNotice read_capacity_reservation(Reader& reader) {
    CapacityReservationNotice message;
    message.machine = reader.text();
    message.job = reader.text();
    message.task = static_cast<std::uint32_t>(reader.varint());
    message.cpus = reader.number();
    message.gpus = reader.number();
    message.memory_gb = reader.number();
    message.for_us = reader.duration_us();
    message.waiting = reader.flag();
    return message;
}

WorkerKeepAlive read_worker_keep_alive(Reader& reader) {
    WorkerKeepAlive message;
    message.machine = reader.text();
    message.incarnation = reader.varint();
    message.heartbeat_sequence = reader.varint();
    message.fencing_token = reader.varint();
    message.content_sequence = reader.varint();
    message.heard_us = reader.time_us();
    return message;
}

StartHoldRequest read_start_hold_request(Reader& reader) {
    StartHoldRequest message;
    message.number = reader.varint();
    message.job = reader.text();
    message.wait_us = reader.duration_us();
    return message;
}

// Nothing for an unknown kind, or a value that the kind does not allow.
std::optional<PeerMessage> read_message(Kind kind, Reader& reader) {
    switch (kind) {
        case Kind::handshake:
            return read_handshake(reader);
        case Kind::peer_heartbeat:
            return read_peer_heartbeat(reader);
        case Kind::worker_status:
            return read_worker_status(reader);
        case Kind::lease_extension_request:
            return read_lease_extension_request(reader);
        case Kind::lease_extension_vote:
            return read_lease_extension_vote(reader);
        case Kind::capacity_reservation:
            return read_capacity_reservation(reader);
        case Kind::worker_keep_alive:
            return read_worker_keep_alive(reader);
        case Kind::cancellation:
            return CancellationBroadcast{read_cancellations(reader)};
        case Kind::start_hold_request:
            return read_start_hold_request(reader);
        case Kind::start_hold_acknowledgement:
            return StartHoldAcknowledgement{reader.varint()};
    }
    return std::nullopt;
}

// The payload is not empty: its first byte is the kind.
std::optional<PeerMessage> parse_payload(std::string_view payload) {
    Reader reader{payload.substr(1)};
    auto message = read_message(static_cast<Kind>(payload.front()), reader);
    if (!reader.ok()) return std::nullopt;
    return message;
}

}  // namespace

std::string encode_frame(const PeerMessage& message) {
    // In the order of PeerMessage.
    static constexpr std::array kKinds = {Kind::handshake,
                                          Kind::peer_heartbeat,
                                          Kind::worker_status,
                                          Kind::lease_extension_request,
                                          Kind::lease_extension_vote,
                                          Kind::capacity_reservation,
                                          Kind::worker_keep_alive,
                                          Kind::cancellation,
                                          Kind::start_hold_request,
                                          Kind::start_hold_acknowledgement};
    static_assert(kKinds.size() == std::variant_size_v<PeerMessage>);
    Writer writer{kKinds[message.index()]};
    std::visit([&](const auto& content) { write(writer, content); }, message);
    return writer.frame();
}

std::optional<PeerMessage> FrameReader::next() {
    if (broken_) return std::nullopt;
    const std::string_view rest = std::string_view(buffer_).substr(taken_);
    std::uint64_t length = 0;
    std::size_t length_bytes = 0;
    bool more = true;
    while (more) {
        if (length_bytes == kMostLengthBytes) {
            broken_ = true;
            return std::nullopt;
        }
        if (length_bytes >= rest.size()) return std::nullopt;
        const auto byte = static_cast<std::uint8_t>(rest[length_bytes]);
        length |= static_cast<std::uint64_t>(byte & kPayloadBits) << (kBitsOfByte * length_bytes);
        ++length_bytes;
        more = (byte & kContinues) != 0;
    }
    if (length == 0 || length > kMaxFrameBytes) {
        broken_ = true;
        return std::nullopt;
    }
    if (rest.size() - length_bytes < length) return std::nullopt;
    auto message = parse_payload(rest.substr(length_bytes, length));
    if (!message) broken_ = true;
    taken_ += length_bytes + length;
    return message;
}

}  // namespace hatchwind::wire
