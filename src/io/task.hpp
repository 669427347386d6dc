// Routines: lazily started coroutines, and the scope that owns the long-lived ones.
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

struct PromiseBase {
    std::coroutine_handle<> continuation = std::noop_coroutine();
    std::exception_ptr error;

    struct Final {
        bool await_ready() const noexcept { return false; }
        template <typename P>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) const noexcept {
            return h.promise().continuation;
        }
        void await_resume() const noexcept {}
    };
    std::suspend_always initial_suspend() const noexcept { return {}; }
    Final final_suspend() const noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};

template <typename T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object();
    template <typename U>
    void return_value(U&& v) {
        value.emplace(std::forward<U>(v));
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

template <typename T = void>
class [[nodiscard]] Task {
  public:
    using promise_type = detail::Promise<T>;
    explicit Task(std::coroutine_handle<promise_type> h) : handle_(h) {}
    Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
    Task& operator=(Task&&) = delete;
    // Destroying a suspended routine cancels it: its locals, and so the routines it waits for, go with it.
    ~Task() {
        if (handle_) handle_.destroy();
    }

    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
        handle_.promise().continuation = caller;
        return handle_;
    }
    T await_resume() { return handle_.promise().take(); }

  private:
    std::coroutine_handle<promise_type> handle_;
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

// Owns routines that nobody waits for. Ending the scope cancels what still runs in it.
class Scope {
  public:
    Scope() = default;
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope() { cancel(); }

    void spawn(Task<void> task) { run(*this, std::move(task)); }
    void cancel() {
        while (!roots_.empty()) {
            Root::promise_type& p = roots_.front();
            std::coroutine_handle<Root::promise_type>::from_promise(p).destroy();
        }
    }

  private:
    using Hook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct Root {
        struct promise_type : Hook {
            promise_type(Scope& scope, Task<void>& /*task*/) { scope.roots_.push_back(*this); }
            Root get_return_object() const noexcept { return {}; }
            std::suspend_never initial_suspend() const noexcept { return {}; }
            std::suspend_never final_suspend() const noexcept { return {}; }
            void return_void() const noexcept {}
            // A routine handles its own failures; what arrives here is a defect.
            void unhandled_exception() const { std::terminate(); }
        };
    };
    static Root run(Scope& /*scope*/, Task<void> task) { co_await task; }

    boost::intrusive::list<Root::promise_type, boost::intrusive::constant_time_size<false>> roots_;
};

}  // namespace hatchwind::io
