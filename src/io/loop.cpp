#include "io/loop.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <system_error>

#include "io/transport.hpp"

namespace hatchwind::io {

namespace {
Micros read_clock(clockid_t id) {
    timespec t{};
    ::clock_gettime(id, &t);
    return Micros{static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000};
}

constinit thread_local const Clock* installed_clock = nullptr;
}  // namespace

void install_clock(const Clock* clock) { installed_clock = clock; }

Micros steady_now() {
    if (installed_clock != nullptr) [[unlikely]]
        return installed_clock->steady();
    return read_clock(CLOCK_MONOTONIC);
}

Micros wall_now() {
    if (installed_clock != nullptr) [[unlikely]]
        return installed_clock->wall();
    return read_clock(CLOCK_REALTIME);
}

void Signal::notify_all() {
    while (!waiters_.empty()) {
        Waiter& w = waiters_.front();
        waiters_.pop_front();
        w.UnlinkSet::unlink();
        loop_->make_ready(w);
    }
}

void Signal::Awaiter::await_suspend(std::coroutine_handle<> h) {
    handle = h;
    signal.waiters_.push_back(*this);
    // Every waiter sits in the timer set, so notify_all() can unlink without asking.
    signal.loop_->add_timer(*this);
}

void Loop::Sleep::await_suspend(std::coroutine_handle<> h) {
    handle = h;
    loop.add_timer(*this);
}

FdWatch::FdWatch(Loop& loop, int fd, Signal& readable, Signal& writable)
    : loop_(loop), readable_(readable), writable_(writable), fd_(fd) {
    epoll_event ev{};
    ev.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    ev.data.ptr = this;
    ::epoll_ctl(loop_.epoll_, EPOLL_CTL_ADD, fd_, &ev);
}

FdWatch::~FdWatch() {
    ::epoll_ctl(loop_.epoll_, EPOLL_CTL_DEL, fd_, nullptr);
    ::close(fd_);
}

Loop::Loop() : transport_(tcp_transport()), epoll_(::epoll_create1(EPOLL_CLOEXEC)), now_(steady_now()) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() {
    if (epoll_ >= 0) ::close(epoll_);
}

void Loop::add_timer(Waiter& waiter) {
    const auto at = timers_.insert(waiter);
    if (driver_ != nullptr && at == timers_.begin()) driver_->wake();
}

void Loop::make_ready(Waiter& waiter) {
    ready_.push_back(waiter);
    if (driver_ != nullptr) driver_->wake();
}

void Loop::turn() {
    fire_timers();
    run_ready();
}

Micros Loop::next_turn() const {
    if (!ready_.empty()) return Micros::min();
    return timers_.empty() ? Micros::max() : timers_.begin()->deadline;
}

void Loop::fire_timers() {
    now_ = steady_now();
    while (!timers_.empty() && timers_.begin()->deadline <= now_) {
        Waiter& w = *timers_.begin();
        timers_.erase(timers_.begin());
        w.timed_out = true;
        w.UnlinkList::unlink();
        ready_.push_back(w);
    }
}

void Loop::run_ready() {
    WaiterList batch;
    batch.swap(ready_);
    while (!batch.empty()) {
        Waiter& w = batch.front();
        batch.pop_front();
        w.handle.resume();
    }
}

void Loop::run() {
    std::array<epoll_event, 64> events{};
    while (!stopping_) {
        turn();
        if (stopping_) break;
        int wait_ms = -1;
        if (!ready_.empty()) {
            wait_ms = 0;
        } else if (!timers_.empty() && timers_.begin()->deadline != Micros::max()) {
            const auto left = timers_.begin()->deadline - steady_now();
            wait_ms = static_cast<int>(std::clamp<std::int64_t>((left.count() + 999) / 1000, 0, 60'000));
        }
        const int n = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), wait_ms);
        now_ = steady_now();
        for (int i = 0; i < n; ++i) {
            const auto& ev = events[static_cast<std::size_t>(i)];
            auto* watch = static_cast<FdWatch*>(ev.data.ptr);
            // Only moves routines to the ready queue: none runs here, so no watch dies under this loop.
            if ((ev.events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
                watch->readable_.notify_all();
            if ((ev.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0) watch->writable_.notify_all();
        }
    }
}

}  // namespace hatchwind::io
