/// The result of an operation that may fail: a value, or a typed error. What `std::expected` of C++23 is.
///
/// Used for everything that can fail at run time in `io`; exceptions are left to what keeps a program from
/// starting (a listening address that can't be had, no epoll descriptor).
#pragma once

#include <optional>
#include <utility>
#include <variant>

namespace hatchwind::io {

/// A value of type `T`, or the error of type `E` that took its place. `*` and `->` need a value, `error()`
/// needs there to be none. Both constructors are implicit, so that functions return either as it is.
template <typename T, typename E>
class [[nodiscard]] Result {
  public:
    Result(T value) : result_(std::in_place_index<0>, std::move(value)) {}
    Result(E error) : result_(std::in_place_index<1>, error) {}

    bool has_value() const { return result_.index() == 0; }
    explicit operator bool() const { return has_value(); }

    const T& operator*() const& { return std::get<0>(result_); }
    T& operator*() & { return std::get<0>(result_); }
    T&& operator*() && { return std::get<0>(std::move(result_)); }
    const T* operator->() const { return &std::get<0>(result_); }
    T* operator->() { return &std::get<0>(result_); }

    E error() const { return std::get<1>(result_); }

  private:
    std::variant<T, E> result_;
};

/// Success without a value, or an error.
template <typename E>
class [[nodiscard]] Result<void, E> {
  public:
    Result() = default;
    Result(E error) : error_(error) {}

    bool has_value() const { return !error_.has_value(); }
    explicit operator bool() const { return has_value(); }

    E error() const { return *error_; }

  private:
    std::optional<E> error_;
};

}  // namespace hatchwind::io
