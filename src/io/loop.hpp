// The event loop: epoll, monotonic timers and a queue of routines that are ready to go on.
#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <chrono>
#include <coroutine>
#include <cstdint>

namespace hatchwind::io {

using Micros = std::chrono::microseconds;

// Steady time since an arbitrary start, in whole microseconds.
Micros steady_now();
// Time of day; within the deployment's skew of true time.
Micros wall_now();

using UnlinkList =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using UnlinkSet = boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

// One suspended routine. Both hooks unlink themselves, so destroying a suspended frame takes it out of
// every queue: that is how cancellation works here.
struct Waiter : UnlinkList, UnlinkSet {
    std::coroutine_handle<> handle;
    Micros deadline{Micros::max()};
    bool timed_out = false;

    friend bool operator<(const Waiter& a, const Waiter& b) { return a.deadline < b.deadline; }
};

using WaiterList = boost::intrusive::list<Waiter, boost::intrusive::base_hook<UnlinkList>,
                                          boost::intrusive::constant_time_size<false>>;
using TimerSet = boost::intrusive::multiset<Waiter, boost::intrusive::base_hook<UnlinkSet>,
                                            boost::intrusive::constant_time_size<false>>;

class Loop;

// Something that routines wait for. notify_all() readies every routine that waits at that moment.
class Signal {
  public:
    explicit Signal(Loop& loop) : loop_(&loop) {}
    void notify_all();

    struct Awaiter : Waiter {
        Signal& signal;
        Awaiter(Signal& s, Micros until) : signal(s) { deadline = until; }
        bool await_ready() const noexcept { return false; }
        void await_suspend(std::coroutine_handle<> h);
        // False when the deadline came first.
        bool await_resume() const noexcept { return !timed_out; }
    };
    Awaiter wait(Micros deadline = Micros::max()) { return Awaiter{*this, deadline}; }

  private:
    friend class Loop;
    Loop* loop_;
    WaiterList waiters_;
};

// What epoll reports for one descriptor.
class FdWatch {
  public:
    FdWatch(Loop& loop, int fd);
    ~FdWatch();
    FdWatch(const FdWatch&) = delete;
    FdWatch& operator=(const FdWatch&) = delete;
    Signal readable;
    Signal writable;
    int fd() const { return fd_; }

  private:
    Loop& loop_;
    int fd_;
};

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void run();
    void stop() { stopping_ = true; }
    Micros now() const { return now_; }

    struct Sleep : Waiter {
        Loop& loop;
        Sleep(Loop& l, Micros until) : loop(l) { deadline = until; }
        bool await_ready() const noexcept { return false; }
        void await_suspend(std::coroutine_handle<> h);
        void await_resume() const noexcept {}
    };
    Sleep sleep_until(Micros t) { return Sleep{*this, t}; }
    Sleep sleep(Micros d) { return Sleep{*this, steady_now() + d}; }
    // Lets every other ready routine go first; keeps long work from starving the connections.
    Sleep yield() { return Sleep{*this, Micros{0}}; }

  private:
    friend class Signal;
    friend class FdWatch;
    void fire_timers();
    void run_ready();

    int epoll_ = -1;
    bool stopping_ = false;
    Micros now_{};
    WaiterList ready_;
    TimerSet timers_;
};

}  // namespace hatchwind::io
