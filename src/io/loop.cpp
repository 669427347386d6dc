#include "io/loop.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "io/transport.hpp"

namespace hatchwind::io {

namespace {

constexpr std::size_t kEventsPerWait = 64;
constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMaxEpollTimeoutMs = 60'000;
constexpr int kEpollWaitsForEvents = -1;

constexpr std::uint32_t kReadableEvents = EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR;
constexpr std::uint32_t kWritableEvents = EPOLLOUT | EPOLLHUP | EPOLLERR;

}  // namespace

void Signal::notify_all() {
    while (!waiters_.empty()) {
        Waiter& waiter = waiters_.front();
        waiters_.pop_front();
        waiter.AutoUnlinkSetHook::unlink();
        loop_->make_ready(waiter);
    }
}

void Signal::Awaiter::await_suspend(std::coroutine_handle<> suspended) {
    handle = suspended;
    signal.waiters_.push_back(*this);
    // Every waiter is in the timer set, those without a deadline too, so that notify_all() need not ask.
    signal.loop_->add_timer(*this);
}

void Loop::Sleep::await_suspend(std::coroutine_handle<> suspended) {
    handle = suspended;
    loop.add_timer(*this);
}

FdWatch::FdWatch(Loop& loop, int fd, Signal& readable, Signal& writable)
    : loop_(loop), readable_(readable), writable_(writable), fd_(fd) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.ptr = this;
    ::epoll_ctl(loop_.epoll_fd_, EPOLL_CTL_ADD, fd_, &event);
}

FdWatch::~FdWatch() {
    ::epoll_ctl(loop_.epoll_fd_, EPOLL_CTL_DEL, fd_, nullptr);
    ::close(fd_);
}

Loop::Loop() : transport_(tcp_transport()), epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_fd_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() {
    if (epoll_fd_ >= 0) ::close(epoll_fd_);
}

void Loop::add_timer(Waiter& waiter) {
    const auto position = timers_.insert(waiter);
    if (driver_ != nullptr && position == timers_.begin()) driver_->wake();
}

void Loop::make_ready(Waiter& waiter) {
    ready_.push_back(waiter);
    if (driver_ != nullptr) driver_->wake();
}

void Loop::turn() {
    ready_expired_timers();
    resume_ready();
}

Micros Loop::next_turn() const {
    if (!ready_.empty()) return Micros::min();
    return timers_.empty() ? kNoDeadline : timers_.begin()->deadline;
}

void Loop::ready_expired_timers() {
    const Micros now = steady_now();
    while (!timers_.empty() && timers_.begin()->deadline <= now) {
        Waiter& waiter = *timers_.begin();
        timers_.erase(timers_.begin());
        waiter.timed_out = true;
        waiter.AutoUnlinkListHook::unlink();
        ready_.push_back(waiter);
    }
}

void Loop::resume_ready() {
    WaiterList batch;
    batch.swap(ready_);
    while (!batch.empty()) {
        Waiter& waiter = batch.front();
        batch.pop_front();
        waiter.handle.resume();
    }
}

int Loop::epoll_timeout_ms() const {
    if (!ready_.empty()) return 0;
    if (timers_.empty() || timers_.begin()->deadline == kNoDeadline) return kEpollWaitsForEvents;
    const std::int64_t left_us = (timers_.begin()->deadline - steady_now()).count();
    // Rounded up: the deadline would else be polled for within its last millisecond.
    const std::int64_t left_ms = (left_us + kMicrosPerMilli - 1) / kMicrosPerMilli;
    return static_cast<int>(std::clamp<std::int64_t>(left_ms, 0, kMaxEpollTimeoutMs));
}

void Loop::wait_for_events() {
    std::array<epoll_event, kEventsPerWait> events{};
    const int count =
        ::epoll_wait(epoll_fd_, events.data(), static_cast<int>(events.size()), epoll_timeout_ms());
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        auto* watch = static_cast<FdWatch*>(event.data.ptr);
        // Only moves coroutines to the ready queue. None runs here, so none destroys a watch whose event is
        // still to come.
        if ((event.events & kReadableEvents) != 0) watch->readable_.notify_all();
        if ((event.events & kWritableEvents) != 0) watch->writable_.notify_all();
    }
}

void Loop::run() {
    while (!stopping_) {
        turn();
        if (!stopping_) wait_for_events();
    }
}

}  // namespace hatchwind::io
