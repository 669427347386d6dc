/// The result of an operation that may fail: a value, or a typed error. What `std::expected` of C++23 is.
///
/// Used for all that can fail at run time; exceptions are left to what keeps a program from starting (a
/// listening address that can't be had, no epoll descriptor, wrong settings).
#pragma once

#include <optional>
#include <utility>
#include <variant>

namespace hatchwind::base {

/// A value of type `T`, or the error of type `E` that took its place. Both constructors are implicit, so that
/// functions return either as it is.
template <typename T, typename E>
class [[nodiscard]] Result {
  public:
    Result(T value) : result_(std::in_place_index<0>, std::move(value)) {}
    Result(E error) : result_(std::in_place_index<1>, std::move(error)) {}

    /// True when there is a value.
    bool has_value() const { return result_.index() == 0; }
    /// As has_value.
    explicit operator bool() const { return has_value(); }

    /// The value. Requires has_value, as do the other accessors of it.
    const T& operator*() const& { return std::get<0>(result_); }
    /// The value, to be changed.
    T& operator*() & { return std::get<0>(result_); }
    /// The value, moved out of a temporary.
    T&& operator*() && { return std::get<0>(std::move(result_)); }
    /// Access to members of the value.
    const T* operator->() const { return &std::get<0>(result_); }
    /// Access to members of the value, to be changed.
    T* operator->() { return &std::get<0>(result_); }

    /// Why there is no value. Requires that there is none.
    const E& error() const { return std::get<1>(result_); }

    /// The value alone, for callers that treat every error alike.
    std::optional<T> optional() && {
        if (!has_value()) return std::nullopt;
        return std::get<0>(std::move(result_));
    }

  private:
    std::variant<T, E> result_;
};

/// Success without a value, or an error.
template <typename E>
class [[nodiscard]] Result<void, E> {
  public:
    Result() = default;
    /// Implicit, so that functions return an error as it is.
    Result(E error) : error_(std::move(error)) {}

    /// True on success.
    bool has_value() const { return !error_.has_value(); }
    /// As has_value.
    explicit operator bool() const { return has_value(); }

    /// What went wrong. Requires that there is an error.
    const E& error() const { return *error_; }

  private:
    std::optional<E> error_;
};

}  // namespace hatchwind::base
