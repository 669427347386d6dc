// The event loop: epoll, monotonic timers and a queue of routines that are ready to go on. Its clock and its
// transport can be replaced, so that the same routines run in simulated time; see src/emulator.
#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <chrono>
#include <coroutine>
#include <cstdint>

namespace hatchwind::io {

using Micros = std::chrono::microseconds;

// A source of both times.
class Clock {
  public:
    virtual Micros steady() const = 0;
    virtual Micros wall() const = 0;

  protected:
    ~Clock() = default;
};
// The clock that this thread reads from now on; null: the machine's own.
void install_clock(const Clock* clock);

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
class Transport;

// Runs loops that don't wait by themselves; see Loop::turn().
class LoopDriver {
  public:
    // The loop has something to do earlier than it had.
    virtual void wake() = 0;

  protected:
    ~LoopDriver() = default;
};

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

// Passes on what epoll reports for one descriptor, and owns the descriptor.
class FdWatch {
  public:
    FdWatch(Loop& loop, int fd, Signal& readable, Signal& writable);
    ~FdWatch();
    FdWatch(const FdWatch&) = delete;
    FdWatch& operator=(const FdWatch&) = delete;
    int fd() const { return fd_; }

  private:
    friend class Loop;
    Loop& loop_;
    Signal& readable_;
    Signal& writable_;
    int fd_;
};

class Loop {
  public:
    // On the machine's own clock and network.
    Loop();
    // Driven from outside, in time that the driver makes: run() is not for such a loop.
    Loop(Transport& transport, LoopDriver& driver) : transport_(transport), driver_(&driver) {}
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void run();
    void stop() { stopping_ = true; }
    // Runs what is due now, once; what that makes ready waits for the next turn.
    void turn();
    // When the next turn is due: Micros::min() for at once, Micros::max() for never.
    Micros next_turn() const;
    Transport& transport() const { return transport_; }
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
    void add_timer(Waiter& waiter);
    void make_ready(Waiter& waiter);
    void fire_timers();
    void run_ready();

    Transport& transport_;
    LoopDriver* driver_ = nullptr;  // null: run() waits by itself
    int epoll_ = -1;
    bool stopping_ = false;
    Micros now_{};
    WaiterList ready_;
    TimerSet timers_;
};

}  // namespace hatchwind::io
