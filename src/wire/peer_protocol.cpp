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
};

class Writer {
  public:
    explicit Writer(Kind k) { out_.push_back(static_cast<char>(k)); }
    void u(std::uint64_t v) {
        while (v >= 0x80) {
            out_.push_back(static_cast<char>((v & 0x7fU) | 0x80U));
            v >>= 7U;
        }
        out_.push_back(static_cast<char>(v));
    }
    // Zigzag: small negative numbers stay short.
    void i(std::int64_t v) { u((static_cast<std::uint64_t>(v) << 1U) ^ static_cast<std::uint64_t>(v >> 63)); }
    void b(bool v) { u(v ? 1 : 0); }
    void f(double v) { u(std::bit_cast<std::uint64_t>(v)); }
    void s(std::string_view v) {
        u(v.size());
        out_.append(v);
    }
    std::string frame() const {
        Writer head;
        head.u(out_.size());
        return head.out_ + out_;
    }

  private:
    Writer() = default;
    std::string out_;
};

class Reader {
  public:
    explicit Reader(std::string_view in) : in_(in) {}
    std::uint64_t u() {
        std::uint64_t v = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (at_ >= in_.size()) break;
            const auto c = static_cast<std::uint8_t>(in_[at_++]);
            if (shift == 63 && c > 1) break;
            v |= static_cast<std::uint64_t>(c & 0x7fU) << shift;
            if ((c & 0x80U) == 0) return v;
        }
        ok_ = false;
        return 0;
    }
    std::int64_t i() {
        const auto v = u();
        return static_cast<std::int64_t>(v >> 1U) ^ -static_cast<std::int64_t>(v & 1U);
    }
    bool b() {
        const auto v = u();
        if (v > 1) ok_ = false;
        return v == 1;
    }
    double f() {
        const auto v = std::bit_cast<double>(u());
        if (!std::isfinite(v)) ok_ = false;
        return v;
    }
    std::string s() {
        const auto n = u();
        if (!ok_ || n > in_.size() - at_) {
            ok_ = false;
            return {};
        }
        std::string out{in_.substr(at_, n)};
        at_ += n;
        return out;
    }
    // A count of items, each of which takes at least one byte.
    std::uint64_t count() {
        const auto n = u();
        if (n > in_.size() - at_) ok_ = false;
        return ok_ ? n : 0;
    }
    // A count at the end of a message whose sender may be of an earlier version, which ends before it.
    std::uint64_t optional_count() { return at_ == in_.size() ? 0 : count(); }
    std::uint64_t optional_u() { return at_ == in_.size() ? 0 : u(); }
    // Later versions may add fields at the end, so bytes left over are no error.
    bool ok() const { return ok_; }

  private:
    std::string_view in_;
    std::size_t at_ = 0;
    bool ok_ = true;
};

void put(Writer& w, const std::vector<CancellationNotice>& cancellations) {
    w.u(cancellations.size());
    for (const auto& notice : cancellations) {
        w.s(notice.job);
        w.u(notice.revision);
        w.i(notice.cancelled_us);
    }
}
void put(Writer& w, const CancellationBroadcast& m) { put(w, m.cancellations); }
void put(Writer& w, const PeerHandshake& m) {
    w.u(m.version);
    w.s(m.label);
}
void put(Writer& w, const PeerHeartbeat& m) {
    w.s(m.label);
    w.u(m.store_lease);
    w.i(m.wall_us);
    w.u(m.epoch);
    w.b(m.state_ok);
    w.b(m.healthy);
    w.b(m.holds_leadership);
    w.u(m.answered.size());
    for (const auto& [machine, at] : m.answered) {
        w.s(machine);
        w.i(m.wall_us - at);  // ages are shorter than times
    }
    w.u(m.released.size());
    for (const auto& r : m.released) w.s(r);
    w.u(m.candidates.size());
    for (const auto& c : m.candidates) w.s(c);
    w.u(m.hears.size());
    for (const auto& h : m.hears) w.s(h);
    w.u(m.demand);
    w.u(m.workers);
    w.u(m.unanswered.size());
    for (const auto& a : m.unanswered) w.s(a);
    w.u(m.revision);
    put(w, m.cancellations);
    w.u(m.capabilities);
}
void put(Writer& w, const WorkerStatusUpdate& m) {
    const auto& r = m.heartbeat;
    w.s(r.machine);
    w.s(r.address);
    w.s(r.type);
    w.s(r.zone);
    w.b(r.spot);
    w.u(r.incarnation);
    w.u(r.heartbeat_sequence);
    w.u(r.fencing_token);
    w.b(r.notice_s.has_value());
    if (r.notice_s) w.f(*r.notice_s);
    w.i(m.heard_us);
    w.u(r.tasks.size());
    for (const auto& t : r.tasks) {
        w.s(t.job);
        w.u(t.task);
        w.u(t.attempt);
        w.u(static_cast<std::uint64_t>(t.state));
        w.u(static_cast<std::uint64_t>(t.cause));
        w.b(t.saved);
    }
    w.u(m.images.size());
    for (const auto& [image, gb] : m.images) {
        w.s(image);
        w.f(gb);
    }
    w.b(m.confirmed);
}
void put(Writer& w, const WorkerKeepAlive& m) {
    w.s(m.machine);
    w.u(m.incarnation);
    w.u(m.heartbeat_sequence);
    w.u(m.fencing_token);
    w.u(m.content_sequence);
    w.i(m.heard_us);
}
void put(Writer& w, const LeaseExtensionRequest& m) {
    w.u(m.number);
    w.u(m.life_us);
    w.u(m.revision);
}
void put(Writer& w, const LeaseExtensionVote& m) {
    w.u(m.number);
    w.b(m.given);
    put(w, m.cancellations);
}

void put(Writer& w, const CapacityReservationNotice& m) {
    w.s(m.machine);
    w.s(m.job);
    w.u(m.task);
    w.f(m.cpus);
    w.f(m.gpus);
    w.f(m.memory_gb);
    w.u(m.for_us);
    w.b(m.waiting);
}

std::vector<CancellationNotice> get_cancels(Reader& r) {
    std::vector<CancellationNotice> cancellations;
    for (auto n = r.optional_count(); n > 0 && r.ok(); --n) {
        CancellationNotice notice;
        notice.job = r.s();
        notice.revision = r.u();
        notice.cancelled_us = r.i();
        cancellations.push_back(std::move(notice));
    }
    return cancellations;
}

PeerHeartbeat get_heartbeat(Reader& r) {
    PeerHeartbeat m;
    m.label = r.s();
    m.store_lease = r.u();
    m.wall_us = r.i();
    m.epoch = r.u();
    m.state_ok = r.b();
    m.healthy = r.b();
    m.holds_leadership = r.b();
    for (auto n = r.count(); n > 0 && r.ok(); --n) {
        auto machine = r.s();
        const auto age = r.i();
        m.answered.emplace_back(std::move(machine), m.wall_us - age);
    }
    for (auto n = r.count(); n > 0 && r.ok(); --n) m.released.push_back(r.s());
    for (auto n = r.count(); n > 0 && r.ok(); --n) m.candidates.push_back(r.s());
    for (auto n = r.count(); n > 0 && r.ok(); --n) m.hears.push_back(r.s());
    m.demand = r.u();
    m.workers = r.u();
    for (auto n = r.count(); n > 0 && r.ok(); --n) m.unanswered.push_back(r.s());
    m.revision = r.optional_u();
    m.cancellations = get_cancels(r);
    m.capabilities = r.optional_u();
    return m;
}

std::optional<WorkerStatusUpdate> get_worker_status(Reader& r) {
    WorkerStatusUpdate m;
    auto& w = m.heartbeat;
    w.machine = r.s();
    w.address = r.s();
    w.type = r.s();
    w.zone = r.s();
    w.spot = r.b();
    w.incarnation = r.u();
    w.heartbeat_sequence = r.u();
    w.fencing_token = r.u();
    if (r.b()) w.notice_s = r.f();
    m.heard_us = r.i();
    for (auto n = r.count(); n > 0 && r.ok(); --n) {
        core::TaskStatus t;
        t.job = r.s();
        t.task = static_cast<std::uint32_t>(r.u());
        t.attempt = r.u();
        const auto state = r.u();
        const auto cause = r.u();
        t.saved = r.b();
        if (state > static_cast<std::uint64_t>(core::TaskState::exited) ||
            cause > static_cast<std::uint64_t>(core::ExitCause::unknown)) {
            return std::nullopt;
        }
        t.state = static_cast<core::TaskState>(state);
        t.cause = static_cast<core::ExitCause>(cause);
        w.tasks.push_back(std::move(t));
    }
    for (auto n = r.count(); n > 0 && r.ok(); --n) {
        auto image = r.s();
        const double gb = r.f();
        m.images.emplace_back(std::move(image), gb);
    }
    m.confirmed = r.b();
    return m;
}

std::optional<PeerMessage> parse(std::string_view payload) {
    if (payload.empty()) return std::nullopt;
    Reader r{payload.substr(1)};
    std::optional<PeerMessage> out;
    switch (static_cast<Kind>(payload[0])) {
        case Kind::handshake: {
            PeerHandshake m;
            m.version = r.u();
            m.label = r.s();
            out = m;
            break;
        }
        case Kind::peer_heartbeat:
            out = get_heartbeat(r);
            break;
        case Kind::worker_status:
            if (auto m = get_worker_status(r)) out = std::move(*m);
            break;
        case Kind::lease_extension_request: {
            LeaseExtensionRequest m;
            m.number = r.u();
            m.life_us = r.u();
            m.revision = r.optional_u();
            out = m;
            break;
        }
        case Kind::lease_extension_vote: {
            LeaseExtensionVote m;
            m.number = r.u();
            m.given = r.b();
            m.cancellations = get_cancels(r);
            out = m;
            break;
        }
        case Kind::capacity_reservation: {
            CapacityReservationNotice m;
            m.machine = r.s();
            m.job = r.s();
            m.task = static_cast<std::uint32_t>(r.u());
            m.cpus = r.f();
            m.gpus = r.f();
            m.memory_gb = r.f();
            m.for_us = r.u();
            m.waiting = r.b();
            out = m;
            break;
        }
        case Kind::worker_keep_alive: {
            WorkerKeepAlive m;
            m.machine = r.s();
            m.incarnation = r.u();
            m.heartbeat_sequence = r.u();
            m.fencing_token = r.u();
            m.content_sequence = r.u();
            m.heard_us = r.i();
            out = m;
            break;
        }
        case Kind::cancellation:
            out = CancellationBroadcast{get_cancels(r)};
            break;
    }
    if (!r.ok()) return std::nullopt;
    return out;
}

}  // namespace

std::string encode_frame(const PeerMessage& m) {
    static constexpr std::array kinds = {Kind::handshake,
                                         Kind::peer_heartbeat,
                                         Kind::worker_status,
                                         Kind::lease_extension_request,
                                         Kind::lease_extension_vote,
                                         Kind::capacity_reservation,
                                         Kind::worker_keep_alive,
                                         Kind::cancellation};
    Writer w{kinds[m.index()]};
    std::visit([&](const auto& v) { put(w, v); }, m);
    return w.frame();
}

std::optional<PeerMessage> FrameReader::next() {
    if (broken_) return std::nullopt;
    const std::string_view left = std::string_view(buffer_).substr(at_);
    std::uint64_t length = 0;
    std::size_t used = 0;
    while (true) {
        if (used >= left.size()) return std::nullopt;
        const auto c = static_cast<std::uint8_t>(left[used]);
        length |= static_cast<std::uint64_t>(c & 0x7fU) << (7 * used);
        ++used;
        if ((c & 0x80U) == 0) break;
        if (used == 4) {
            broken_ = true;
            return std::nullopt;
        }
    }
    if (length == 0 || length > kMaxFrameBytes) {
        broken_ = true;
        return std::nullopt;
    }
    if (left.size() - used < length) return std::nullopt;
    auto out = parse(left.substr(used, length));
    if (!out) broken_ = true;
    at_ += used + length;
    return out;
}

}  // namespace hatchwind::wire
