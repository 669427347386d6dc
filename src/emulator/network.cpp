#include "emulator/network.hpp"

#include <algorithm>

#include "emulator/connection.hpp"
#include "emulator/world.hpp"

namespace hatchwind::emulator {

using io::Micros;

namespace {
constexpr std::array<std::string_view, 5> kKindNames{"open", "opened", "data", "end", "reset"};
}  // namespace

io::Task<base::Result<io::Socket, io::IoError>> HostNetwork::connect(io::Loop& /*loop*/, io::Address to,
                                                                     Micros deadline) {
    auto connection = std::make_shared<Connection>();
    connection->hosts = {&host_, network_.world_.find_host(to.ip)};
    connection->to = to;
    auto stream = std::make_unique<SimulatedStream>(network_, connection, 0);
    // Nobody has that address: nobody answers.
    if (connection->hosts[1] != nullptr) network_.transmit({connection, 0, Packet::Kind::open, {}});
    const bool decided = co_await stream->writable.wait(deadline);
    if (!decided) co_return io::IoError::timed_out;
    if (!connection->opened) co_return io::IoError::failed;
    co_return io::Socket{std::move(stream)};
}

std::unique_ptr<io::Acceptor> HostNetwork::listen(io::Loop& /*loop*/, io::Address at) {
    return std::make_unique<SimulatedAcceptor>(network_, host_, at);
}

Network::Network(World& world, NetworkOptions options, std::uint64_t seed)
    : world_(world), options_(options), random_(seed) {}

std::size_t Network::index_of(const Host& host) { return host.index(); }

Micros Network::latency(const Host& from, const Host& to) {
    const Latency& kind = from.zone().empty() || to.zone().empty() ? options_.region
                          : from.zone() == to.zone()               ? options_.same_zone
                                                                   : options_.between_zones;
    // Not by a standard distribution: their results are the library's own affair.
    const auto jitter =
        kind.jitter.count() == 0
            ? 0
            : static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(kind.jitter.count() + 1));
    return kind.base + Micros{jitter};
}

CutId Network::cut(const std::vector<const Host*>& from, const std::vector<const Host*>& to, CutMode mode) {
    const CutId id = ++last_cut_;
    cuts_[id].mode = mode;
    for (const Host* source : from)
        for (const Host* target : to) add_path(id, *source, *target);
    return id;
}

CutId Network::cut_between(const std::vector<const Host*>& one, const std::vector<const Host*>& other,
                           CutMode mode) {
    const CutId id = cut(one, other, mode);
    for (const Host* source : other)
        for (const Host* target : one) add_path(id, *source, *target);
    return id;
}

CutId Network::cut_sides(std::function<Side(const Host&)> side_of, CutMode mode) {
    std::vector<const Host*> one;
    std::vector<const Host*> two;
    for (const Host* host : world_.hosts()) {
        const Side side = side_of(*host);
        if (side == Side::one) one.push_back(host);
        if (side == Side::two) two.push_back(host);
    }
    const CutId id = cut_between(one, two, mode);
    cuts_.at(id).side_of = std::move(side_of);
    return id;
}

void Network::joined(const Host& host) {
    for (const auto& [id, cut] : cuts_) {
        const Side side = cut.side_of ? cut.side_of(host) : Side::neither;
        if (side == Side::neither) continue;
        const Side opposite = side == Side::one ? Side::two : Side::one;
        for (const Host* other : world_.hosts()) {
            if (cut.side_of(*other) != opposite) continue;
            add_path(id, host, *other);
            add_path(id, *other, host);
        }
    }
}

void Network::add_path(CutId id, const Host& from, const Host& to) {
    if (&from == &to) return;
    Cut& cut = cuts_.at(id);
    cut.paths.emplace_back(from.index(), to.index());
    path(from, to).cuts[id] = cut.mode;
}

void Network::heal(CutId id) {
    const auto node = cuts_.extract(id);
    if (node.empty()) return;
    for (const PathKey& key : node.mapped().paths) {
        Path& healed = paths_[key];
        healed.cuts.erase(id);
        if (!healed.cuts.empty()) continue;
        auto held = std::exchange(healed.held, {});
        for (Packet& packet : held) schedule(std::move(packet));
    }
}

void Network::delay_next(const Host& from, const Host& to, std::size_t count, Micros by) {
    Path& chosen = path(from, to);
    chosen.delayed = count;
    chosen.delay = by;
}

void Network::slow(const Host& from, const Host& to, Micros by) { path(from, to).slower = by; }

void Network::transmit(Packet packet) {
    Connection& connection = *packet.connection;
    const auto from = static_cast<std::size_t>(packet.from_end);
    if (connection.ways[from].lost) return;
    Path& chosen = path(*connection.hosts[from], *connection.hosts[1 - from]);
    if (chosen.cuts.empty()) {
        schedule(std::move(packet));
        return;
    }
    CutMode hardest = CutMode::hold;
    for (const auto& [id, mode] : chosen.cuts) hardest = std::max(hardest, mode);
    switch (hardest) {
        case CutMode::hold:
            chosen.held.push_back(std::move(packet));
            break;
        case CutMode::lose:
            connection.ways[from].lost = true;
            break;
        case CutMode::refuse:
            refuse(packet);
            break;
    }
}

// The filter answers the sender in the other's name; what is open loses its other end as well.
void Network::refuse(const Packet& packet) {
    const auto from = static_cast<std::size_t>(packet.from_end);
    const Micros delay = latency(*packet.connection->hosts[from], *packet.connection->hosts[1 - from]);
    world_.after(delay, [this, connection = packet.connection] {
        for (const int end : {0, 1}) break_end(*connection, end);
    });
}

void Network::break_end(Connection& connection, int end) {
    const auto index = static_cast<std::size_t>(end);
    connection.reset[index] = true;
    SimulatedStream* stream = connection.ends[index];
    if (stream == nullptr) return;
    stream->readable.notify_all();
    stream->writable.notify_all();
}

void Network::schedule(Packet packet) {
    Connection& connection = *packet.connection;
    const auto from = static_cast<std::size_t>(packet.from_end);
    const Host& source = *connection.hosts[from];
    const Host& target = *connection.hosts[1 - from];
    Path& chosen = path(source, target);
    Micros arrival = world_.now() + latency(source, target) + chosen.slower;
    if (packet.kind == Packet::Kind::data && chosen.delayed > 0) {
        --chosen.delayed;
        arrival += chosen.delay;
    }
    Way& way = connection.ways[from];
    arrival = std::max(arrival, way.last_arrival);
    way.last_arrival = arrival;
    world_.at(arrival,
              [this, moved = std::make_shared<Packet>(std::move(packet))] { arrive(std::move(*moved)); });
}

void Network::arrive(Packet packet) {
    Connection& connection = *packet.connection;
    const auto to = static_cast<std::size_t>(1 - packet.from_end);
    Host& target = *connection.hosts[to];
    if (target.unplugged_) return;
    if (target.frozen_) {
        waiting_[target.index()].push_back(std::move(packet));
        return;
    }
    ++packets_;
    world_.trace().packet(world_.now(), connection.hosts[1 - to]->name(), target.name(),
                          kKindNames[static_cast<std::size_t>(packet.kind)], packet.bytes);
    if (packet.kind == Packet::Kind::open) {
        arrive_open(packet);
        return;
    }
    if (packet.kind == Packet::Kind::reset) {
        break_end(connection, static_cast<int>(to));
        return;
    }
    SimulatedStream* stream = connection.ends[to];
    if (stream == nullptr) {
        if (packet.kind != Packet::Kind::end && !connection.reset[to])
            transmit({packet.connection, static_cast<int>(to), Packet::Kind::reset, {}});
        return;
    }
    Way& way = connection.ways[1 - to];
    if (packet.kind == Packet::Kind::opened) {
        connection.opened = true;
        stream->writable.notify_all();
    } else if (packet.kind == Packet::Kind::end) {
        way.ended = true;
        stream->readable.notify_all();
    } else if (!stream->is_shut()) {
        way.arrived += packet.bytes;
        stream->readable.notify_all();
    }
}

void Network::arrive_open(const Packet& packet) {
    Connection& connection = *packet.connection;
    if (connection.ends[0] == nullptr) return;  // given up: it doesn't complete later
    const auto listener = listeners_.find(connection.to);
    bool accepted = false;
    if (listener != listeners_.end()) {
        auto stream = std::make_unique<SimulatedStream>(*this, packet.connection, 1);
        accepted = listener->second->offer(std::move(stream));
    }
    transmit({packet.connection, 1, accepted ? Packet::Kind::opened : Packet::Kind::reset, {}});
}

void Network::resumed(Host& host) {
    auto waiting = std::exchange(waiting_[host.index()], {});
    for (Packet& packet : waiting) arrive(std::move(packet));
}

}  // namespace hatchwind::emulator
