/// The event loop: what coroutines wait for, and who resumes them.
///
/// One loop, one thread: whoever calls `run()` or `turn()`. Everything that is tied to a loop (signals,
/// sockets, tasks) is used on that thread alone. The loop resumes coroutines in turns: first it readies those
/// whose deadline has passed, by deadline, then it resumes all that were ready by then, in the order in which
/// they became ready. What becomes ready meanwhile is resumed in the next turn.
///
/// The loop owns no coroutine: a suspended one is linked into its queues through a `Waiter` in its own frame
/// (see `task.hpp` for ownership and cancellation). The loop must therefore outlive the scopes of its
/// coroutines, its signals and its sockets.
///
/// Clock (`clock.hpp`) and transport (`transport.hpp`) can be replaced, so that the same coroutines run in
/// simulated time.
#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <coroutine>
#include <cstdint>

#include "io/clock.hpp"

namespace hatchwind::io {

/// Hooks by which an object is a member of a list or set for as long as both live.
using AutoUnlinkListHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using AutoUnlinkSetHook =
    boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One suspended coroutine, in the queue of what it waits for and in the loop's timers. It lives in the
/// coroutine's frame, and both hooks unlink themselves: destroying the frame takes it out of every queue,
/// which is all that cancellation needs.
struct Waiter : AutoUnlinkListHook, AutoUnlinkSetHook {
    std::coroutine_handle<> handle;
    Micros deadline{kNoDeadline};  ///< monotonic; it is resumed then at the latest
    bool timed_out = false;        ///< it was resumed by the deadline

    friend bool operator<(const Waiter& left, const Waiter& right) { return left.deadline < right.deadline; }
};

using WaiterList = boost::intrusive::list<Waiter, boost::intrusive::base_hook<AutoUnlinkListHook>,
                                          boost::intrusive::constant_time_size<false>>;
using TimerSet = boost::intrusive::multiset<Waiter, boost::intrusive::base_hook<AutoUnlinkSetHook>,
                                            boost::intrusive::constant_time_size<false>>;

class Loop;
class Transport;

/// Runs a loop that does not wait by itself; see `Loop::turn()`.
class LoopDriver {
  public:
    /// `Loop::next_turn()` may be earlier than it was. Called in the middle of a turn too.
    virtual void wake() = 0;

  protected:
    ~LoopDriver() = default;
};

/// An event that coroutines wait for. It keeps no state: a notification that nobody waits for is lost, so
/// waiters check their condition before they wait, and again after.
class Signal {
  public:
    explicit Signal(Loop& loop) : loop_(&loop) {}
    /// Readies every coroutine that waits at this moment. None of them runs before this returns.
    void notify_all();

    struct Awaiter : Waiter {
        Signal& signal;
        Awaiter(Signal& awaited, Micros until) : signal(awaited) { deadline = until; }
        bool await_ready() const noexcept { return false; }
        void await_suspend(std::coroutine_handle<> suspended);
        bool await_resume() const noexcept { return !timed_out; }
    };
    /// Waits for the next notification, until `deadline` (monotonic). Awaiting it returns whether there was
    /// one.
    Awaiter wait(Micros deadline = kNoDeadline) { return Awaiter{*this, deadline}; }

  private:
    friend class Loop;
    Loop* loop_;
    WaiterList waiters_;
};

/// Owns a file descriptor, and passes on to two signals what epoll reports about it. Edge-triggered: the
/// signals are notified of changes, so a descriptor is used until it would block before its signal is waited
/// for.
class FdWatch {
  public:
    /// Takes over `fd`, which is non-blocking. The signals must outlive the watch.
    FdWatch(Loop& loop, int fd, Signal& readable, Signal& writable);
    /// Closes the descriptor.
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
    /// A loop on the machine's own clock and network. Throws std::system_error when epoll can't be had.
    Loop();
    /// A loop that `driver` runs by `turn()`, on the driver's clock; `run()` is not for it. Both must outlive
    /// it.
    Loop(Transport& transport, LoopDriver& driver) : transport_(transport), driver_(&driver) {}
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Takes turns, and waits for events and deadlines between them, until `stop()`.
    void run();
    /// Ends `run()` once the current turn is over. For good: the loop does not run again.
    void stop() { stopping_ = true; }
    /// Runs once what is due now; what that readies waits for the next turn.
    void turn();
    /// When the next turn is due, on the monotonic clock: `Micros::min()` for at once, `kNoDeadline` for
    /// never.
    Micros next_turn() const;
    Transport& transport() const { return transport_; }

    struct Sleep : Waiter {
        Loop& loop;
        Sleep(Loop& sleeping_on, Micros until) : loop(sleeping_on) { deadline = until; }
        bool await_ready() const noexcept { return false; }
        void await_suspend(std::coroutine_handle<> suspended);
        void await_resume() const noexcept {}
    };
    /// Waits for a time of the monotonic clock.
    Sleep sleep_until(Micros time) { return Sleep{*this, time}; }
    /// Waits from now on for a duration.
    Sleep sleep(Micros duration) { return Sleep{*this, steady_now() + duration}; }
    /// Lets every other ready coroutine go first; keeps long work from starving the connections.
    Sleep yield() { return Sleep{*this, Micros{0}}; }

  private:
    friend class Signal;
    friend class FdWatch;
    void add_timer(Waiter& waiter);
    void make_ready(Waiter& waiter);
    void ready_expired_timers();
    void resume_ready();
    int epoll_timeout_ms() const;
    void wait_for_events();

    Transport& transport_;
    LoopDriver* driver_ = nullptr;  // null: run() waits by itself
    int epoll_fd_ = -1;             // -1: driven from outside
    bool stopping_ = false;
    WaiterList ready_;  // in the order in which they became ready
    TimerSet timers_;
};

}  // namespace hatchwind::io
