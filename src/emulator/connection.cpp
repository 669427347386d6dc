#include "emulator/connection.hpp"

#include <algorithm>
#include <cstring>
#include <system_error>

#include "emulator/world.hpp"

namespace hatchwind::emulator {

using io::Transfer;

SimulatedStream::SimulatedStream(Network& network, std::shared_ptr<Connection> connection, int end)
    : io::Stream(connection->hosts[static_cast<std::size_t>(end)]->loop()),
      network_(network),
      connection_(std::move(connection)),
      end_(end) {
    connection_->ends[static_cast<std::size_t>(end_)] = this;
}

SimulatedStream::~SimulatedStream() {
    const auto end = static_cast<std::size_t>(end_);
    connection_->ends[end] = nullptr;
    const bool known_to_other = end_ == 1 || connection_->opened;
    if (!known_to_other || reset()) return;
    const Host& host = *connection_->hosts[end];
    if (host.killing_ && host.closing_ == KillMode::silent) return;
    if (host.killing_) {
        network_.transmit({connection_, end_, Packet::Kind::reset, {}});
    } else if (!shut_) {
        network_.transmit({connection_, end_, Packet::Kind::end, {}});
    }
}

Transfer SimulatedStream::receive(char* into, std::size_t capacity) {
    if (shut_) return {Transfer::Outcome::moved, 0};
    Way& way = incoming();
    const std::size_t bytes = std::min(capacity, way.arrived.size() - way.read);
    if (bytes > 0) {
        std::copy_n(way.arrived.data() + way.read, bytes, into);
        way.read += bytes;
        way.outstanding -= bytes;
        if (way.read == way.arrived.size()) {
            way.arrived.clear();
            way.read = 0;
        }
        open_window();
        return {Transfer::Outcome::moved, bytes};
    }
    if (reset()) return {Transfer::Outcome::failed, 0};
    if (way.ended) return {Transfer::Outcome::moved, 0};
    return {Transfer::Outcome::would_block, 0};
}

void SimulatedStream::open_window() {
    Way& way = incoming();
    if (!way.sender_waits || way.outstanding > network_.options_.window_bytes / 2) return;
    way.sender_waits = false;
    const auto sender = static_cast<std::size_t>(1 - end_);
    const io::Micros delay =
        network_.latency(*connection_->hosts[static_cast<std::size_t>(end_)], *connection_->hosts[sender]);
    network_.world_.after(delay, [connection = connection_, sender] {
        if (connection->ends[sender] != nullptr) connection->ends[sender]->writable.notify_all();
    });
}

Transfer SimulatedStream::send(std::string_view data) {
    if (shut_ || reset()) return {Transfer::Outcome::failed, 0};
    Way& way = outgoing();
    const std::size_t window = network_.options_.window_bytes;
    if (way.outstanding >= window) {
        way.sender_waits = true;
        return {Transfer::Outcome::would_block, 0};
    }
    const std::size_t bytes = std::min(data.size(), window - way.outstanding);
    way.outstanding += bytes;
    network_.transmit({connection_, end_, Packet::Kind::data, std::string{data.substr(0, bytes)}});
    return {Transfer::Outcome::moved, bytes};
}

bool SimulatedStream::has_input() const {
    const Way& way = incoming();
    return shut_ || reset() || way.ended || way.read < way.arrived.size();
}

void SimulatedStream::shut_down() {
    if (std::exchange(shut_, true)) return;
    if (!reset()) network_.transmit({connection_, end_, Packet::Kind::end, {}});
    readable.notify_all();
    writable.notify_all();
}

SimulatedAcceptor::SimulatedAcceptor(Network& network, Host& host, io::Address at)
    : network_(network), host_(host), at_(at), ready_(host.loop()) {
    const bool free = network_.listeners_.emplace(at_, this).second;
    if (!free) throw std::system_error(EADDRINUSE, std::generic_category(), "listen");
}

SimulatedAcceptor::~SimulatedAcceptor() { network_.listeners_.erase(at_); }

bool SimulatedAcceptor::offer(std::unique_ptr<SimulatedStream> stream) {
    if (waiting_.size() >= network_.options_.backlog) return false;
    waiting_.push_back(std::move(stream));
    ready_.notify_all();
    return true;
}

io::Task<io::Socket> SimulatedAcceptor::accept() {
    while (waiting_.empty()) co_await ready_.wait();
    auto stream = std::move(waiting_.front());
    waiting_.pop_front();
    co_return io::Socket{std::move(stream)};
}

}  // namespace hatchwind::emulator
