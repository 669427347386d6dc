/// Coroutine tasks, and the scope that owns the long-lived ones.
///
/// **Who owns a frame.** A `Task` owns the frame of its coroutine. The caller's `Task` object is a local or a
/// temporary of the caller, so frames form a tree: destroying one destroys all that it waits for. The roots
/// of the trees belong to a `Scope`, which belongs to the object whose state the coroutines use. Nothing is
/// reference-counted, and nothing outlives its owner.
///
/// **When it runs.** A task starts when it is awaited (or spawned), and resumes its caller as soon as it
/// ends, both without going through the loop. Everything runs on the thread that runs the `Loop`; there are
/// no locks. Other coroutines run only while this one is suspended, so what was checked before a `co_await`
/// has to be checked again after it.
///
/// **Cancellation** is the destruction of a suspended frame. The `co_await` never returns: no error, no
/// result; the destructors of locals run, innermost frame first, and then those of parameters. What must
/// happen at the end of an operation in every case therefore stands in a destructor. What a frame waited for
/// is left without a trace, as its `Waiter` unlinks itself. A running coroutine must not cause the
/// destruction of its own frame, nor of one that awaits it: it may not cancel its scope, nor destroy the
/// object that the scope belongs to.
///
/// **What may be captured.** Parameters are copied into the frame, references as references. Only what
/// outlives the scope may be passed by reference to a spawned task; what is passed by reference to an awaited
/// one must outlive the await. A lambda that is a coroutine must not capture unless the closure itself
/// outlives the frame: captures live in the closure, not in the frame. Pass parameters instead.
///
/// **`auto step = f(x); co_await std::move(step);`** stands where one would write `co_await f(x)`, since g++
/// 12 compiles some such expressions wrongly (12.2, with and without optimisation, without a warning):
///  - an aggregate made in the argument list (`co_await f({a, b})`) and passed by value is destroyed twice;
///  - so are the captures of a lambda that is made and called in the `co_await` expression;
///  - where the `co_await` is the condition of an `if`, `while` or `switch` and the call makes a temporary
///    with a destructor, neither branch runs.
/// The two-step form avoids all of them, and is used wherever a call takes arguments that own something. A
/// `co_await` is never written inside a condition: its result gets a name first.
#pragma once

#include <boost/intrusive/list.hpp>
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace hatchwind::io {

template <typename T>
class Task;

namespace detail {

/// What the promises of all tasks share: whom to resume at the end, and what was thrown.
struct PromiseBase {
    std::coroutine_handle<> continuation = std::noop_coroutine();
    std::exception_ptr error;

    /// Resumes the awaiting coroutine in place of this one, at constant depth of the stack.
    struct FinalAwaiter {
        bool await_ready() const noexcept { return false; }
        template <typename AnyPromise>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<AnyPromise> finished) const noexcept {
            return finished.promise().continuation;
        }
        void await_resume() const noexcept {}
    };
    std::suspend_always initial_suspend() const noexcept { return {}; }
    FinalAwaiter final_suspend() const noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};

template <typename T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object();
    template <typename Returned>
    void return_value(Returned&& returned) {
        value.emplace(std::forward<Returned>(returned));
    }
    T take() {
        if (error) std::rethrow_exception(error);
        return std::move(*value);
    }
};

template <>
struct Promise<void> : PromiseBase {
    Task<void> get_return_object();
    void return_void() const noexcept {}
    void take() const {
        if (error) std::rethrow_exception(error);
    }
};

}  // namespace detail

/// A lazily started coroutine that returns a `T`, and the owner of its frame. Awaited at most once; an
/// exception that leaves the coroutine is thrown by the await.
template <typename T = void>
class [[nodiscard]] Task {
  public:
    using promise_type = detail::Promise<T>;
    explicit Task(std::coroutine_handle<promise_type> frame) : frame_(frame) {}
    Task(Task&& other) noexcept : frame_(std::exchange(other.frame_, nullptr)) {}
    Task& operator=(Task&&) = delete;
    /// Cancels the coroutine if it has not ended; see the top of this file.
    ~Task() {
        if (frame_) frame_.destroy();
    }

    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
        frame_.promise().continuation = caller;
        return frame_;
    }
    T await_resume() { return frame_.promise().take(); }

  private:
    std::coroutine_handle<promise_type> frame_;
};

namespace detail {
template <typename T>
Task<T> Promise<T>::get_return_object() {
    return Task<T>{std::coroutine_handle<Promise<T>>::from_promise(*this)};
}
inline Task<void> Promise<void>::get_return_object() {
    return Task<void>{std::coroutine_handle<Promise<void>>::from_promise(*this)};
}
}  // namespace detail

/// Owns tasks that nobody awaits.
///
/// An object that spawns tasks on its own state declares the scope as its last member: it is then destroyed
/// first, while everything that the tasks refer to is still there.
class Scope {
  public:
    Scope() = default;
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope() { cancel(); }

    /// Runs `task` at once until it first suspends; then the scope owns it until it ends. A spawned task
    /// handles its own failures: an exception that leaves it ends the program.
    void spawn(Task<void> task) { run(*this, std::move(task)); }

    /// Cancels every task of the scope, in the order in which they were spawned. On return none of them
    /// exists any more, nor do tasks that their destructors spawned here; the scope can be used again. Must
    /// not be called by one of these tasks.
    void cancel() {
        while (!roots_.empty()) {
            Root::promise_type& oldest = roots_.front();
            std::coroutine_handle<Root::promise_type>::from_promise(oldest).destroy();
        }
    }

  private:
    using Hook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    /// The coroutine around a spawned task. Its promise is linked into the scope until the frame is gone.
    struct Root {
        struct promise_type : Hook {
            promise_type(Scope& scope, Task<void>& /*task*/) { scope.roots_.push_back(*this); }
            Root get_return_object() const noexcept { return {}; }
            std::suspend_never initial_suspend() const noexcept { return {}; }
            std::suspend_never final_suspend() const noexcept { return {}; }
            void return_void() const noexcept {}
            void unhandled_exception() const { std::terminate(); }
        };
    };
    static Root run(Scope& /*scope*/, Task<void> task) { co_await task; }

    boost::intrusive::list<Root::promise_type, boost::intrusive::constant_time_size<false>> roots_;
};

}  // namespace hatchwind::io
