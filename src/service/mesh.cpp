#include "service/mesh.hpp"

#include <spdlog/spdlog.h>

#include <array>

namespace hatchwind::service {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kQueueBytes = 256 * 1024;
constexpr std::size_t kInbound = 16;
constexpr Micros kBeat{500'000};
constexpr Micros kSilence{4'000'000};
constexpr Micros kUnconfirmed{3'000'000};
}  // namespace

Mesh::Mesh(Node& n, Membership& m) : n_(n), membership_(m), listener_(n.loop, n.settings.mesh) {
    for (const auto& p : n.settings.peers) links_[p.label] = std::make_unique<Link>(n.loop, p);
    n_.forward = [this](const core::WorkerReport& r, Micros heard) { forward(r, heard); };
    n_.announce_hold = [this](const wire::MeshHold& h) {
        for (auto& [label, link] : links_) push(*link, h);
    };
    membership_.ask_all = [this](const wire::MeshAsk& ask) {
        for (auto& [label, link] : links_) push(*link, ask);
    };
}

void Mesh::start(io::Scope& scope) {
    scope.spawn(serve());
    scope.spawn(beat());
    for (auto& [label, link] : links_) scope.spawn(talk(*link));
}

void Mesh::push(Link& link, const wire::MeshMessage& m) {
    if (!link.connected) return;
    // A peer that does not read: what it misses, the full picture of the next connection makes good.
    if (link.out.size() > kQueueBytes) return;
    link.out += wire::encode_frame(m);
    link.filled.notify_all();
}

wire::MeshReport Mesh::describe(const core::MachineView& v) const {
    wire::MeshReport m;
    m.report = v.last;
    m.heard_us = v.heard.count();
    for (const auto& [image, i] : v.images) m.images.emplace_back(image, i.gb);
    return m;
}

void Mesh::forward(const core::WorkerReport& r, Micros heard) {
    wire::MeshReport m;
    m.report = r;
    m.heard_us = heard.count();
    for (auto& [label, link] : links_) push(*link, m);
}

Task<void> Mesh::talk(Link& link) {
    while (true) {
        auto task = io::connect(n_.loop, link.peer.address, steady_now() + Micros{2'000'000});
        auto socket = co_await std::move(task);
        if (!socket) {
            co_await n_.loop.sleep(Micros{400'000});
            continue;
        }
        link.out = wire::encode_frame(wire::MeshHello{wire::kMeshVersion, n_.self.label});
        link.connected = true;
        link.confirmed = steady_now();
        // Whoever has just started gets the whole picture, with what is known of images.
        for (const auto& [id, view] : n_.picture.machines()) link.out += wire::encode_frame(describe(view));
        while (true) {
            if (link.out.empty()) co_await link.filled.wait();
            const std::string batch = std::exchange(link.out, {});
            const Micros deadline = steady_now() + kSilence;
            const bool sent = co_await socket->write(batch, deadline);
            if (!sent || socket->is_stale()) break;
            // After a cut, or behind a peer that was killed in one, writes vanish into a connection that never
            // fails. Only the peer's word that it hears us shows that it does: without tables from every
            // member no lease ever counts as over, and what was lost stays lost.
            if (steady_now() - link.confirmed > kUnconfirmed) {
                spdlog::info("event=mesh_unconfirmed peer={}", link.peer.label);
                break;
            }
        }
        link.connected = false;
        link.out.clear();
        co_await n_.loop.sleep(Micros{200'000});
    }
}

Task<void> Mesh::serve() {
    while (true) {
        io::Socket socket = co_await listener_.accept();
        if (inbound_open_ >= kInbound) continue;  // closes it
        ++inbound_open_;
        inbound_.spawn(listen(std::move(socket)));
    }
}

Task<void> Mesh::listen(io::Socket socket) {
    struct Count {
        std::size_t& n;
        ~Count() { --n; }
    } count{inbound_open_};
    wire::FrameReader frames;
    std::string from;
    std::array<char, 16384> buffer;
    while (true) {
        const auto n = co_await socket.read(buffer.data(), buffer.size(), steady_now() + kSilence * 4);
        if (!n || *n == 0) co_return;
        frames.add(std::string_view(buffer.data(), *n));
        while (auto m = frames.next()) {
            if (from.empty()) {
                const auto* hello = std::get_if<wire::MeshHello>(&*m);
                if (hello == nullptr || hello->version != wire::kMeshVersion || !links_.contains(hello->label)) {
                    spdlog::warn("event=mesh_stranger");
                    co_return;
                }
                from = hello->label;
                continue;
            }
            handle(from, *m);
        }
        if (frames.broken()) {
            spdlog::warn("event=malformed_frame from={} count={}", from, ++malformed_);
            co_return;
        }
    }
}

void Mesh::handle(const std::string& from, wire::MeshMessage& m) {
    if (auto* beat = std::get_if<wire::MeshBeat>(&m)) {
        auto& p = n_.peers[from];
        // A held connection may deliver old tables after newer ones.
        if (beat->wall_us < p.beat.wall_us) return;
        for (const auto& [machine, at] : beat->answered) {
            if (n_.picture.released(machine)) continue;
            auto& any = n_.answered_any[machine];
            any = std::max(any, Micros{at});
            n_.picture.heard(machine, Micros{at});
        }
        for (const auto& r : beat->released) n_.note_released(r);
        if (from == n_.epoch.leader) n_.candidates = {beat->candidates.begin(), beat->candidates.end()};
        for (const auto& h : beat->hears) {
            if (h == n_.self.label) links_.at(from)->confirmed = steady_now();
        }
        p.beat = std::move(*beat);
        p.received = steady_now();
    } else if (auto* report = std::get_if<wire::MeshReport>(&m)) {
        n_.take_forward(*report);
    } else if (auto* ask = std::get_if<wire::MeshAsk>(&m)) {
        wire::MeshPromise answer{ask->number, membership_.may_promise()};
        if (answer.given) {
            membership_.promised_to(from, steady_now() + Micros{static_cast<std::int64_t>(ask->life_us)});
        }
        push(*links_.at(from), answer);
    } else if (auto* promise = std::get_if<wire::MeshPromise>(&m)) {
        membership_.promise_received(from, *promise);
    } else if (auto* hold = std::get_if<wire::MeshHold>(&m)) {
        if (n_.foreign_holds.size() > 512) return;
        const Micros until = steady_now() + std::min(Micros{static_cast<std::int64_t>(hold->for_us)}, Micros{10'000'000});
        n_.foreign_holds[{hold->job, hold->task}] = {hold->machine, {hold->cpus, hold->gpus, hold->memory_gb}, until};
    }
}

Task<void> Mesh::beat() {
    while (true) {
        co_await n_.loop.sleep(kBeat);
        wire::MeshBeat b;
        b.label = n_.self.label;
        b.grant = n_.self.grant;
        b.epoch = n_.epoch.number;
        b.state_ok = n_.state.reachable(steady_now());
        b.fit = n_.fit;
        b.wall_us = io::wall_now().count();
        for (const auto& [label, link] : links_) {
            if (n_.peer_fresh(label, steady_now())) b.hears.push_back(label);
        }
        for (const auto& [machine, at] : n_.answered_here) b.answered.emplace_back(machine, at.count());
        b.released.assign(n_.released_log.begin(), n_.released_log.end());
        if (n_.leads()) b.candidates.assign(n_.candidates.begin(), n_.candidates.end());
        for (auto& [label, link] : links_) push(*link, b);
    }
}

}  // namespace hatchwind::service
