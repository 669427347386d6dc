/// The result of an operation that may fail: a value or a typed error, like `std::expected` of C++23.
///
/// Used for all failures at run time. Exceptions are reserved for failures that keep a program from starting
/// (a listening address that cannot be bound, no epoll descriptor, invalid settings).
#pragma once

#include <optional>
#include <utility>
#include <variant>

namespace hatchwind::base {

/// A value of type `T` or an error of type `E`. Both constructors are implicit, so that functions can return
/// either directly.
template <typename T, typename E>
class [[nodiscard]] Result {
  public:
    Result(T value) : result_(std::in_place_index<0>, std::move(value)) {}
    Result(E error) : result_(std::in_place_index<1>, std::move(error)) {}

    /// Returns true if there is a value.
    bool has_value() const { return result_.index() == 0; }
    /// Same as has_value().
    explicit operator bool() const { return has_value(); }

    /// Returns the value. Requires has_value(), as do the other accessors of the value.
    const T& operator*() const& { return std::get<0>(result_); }
    /// Returns the value for modification.
    T& operator*() & { return std::get<0>(result_); }
    /// Moves the value out of a temporary.
    T&& operator*() && { return std::get<0>(std::move(result_)); }
    /// Accesses members of the value.
    const T* operator->() const { return &std::get<0>(result_); }
    /// Accesses members of the value for modification.
    T* operator->() { return &std::get<0>(result_); }

    /// Returns the error. Requires !has_value().
    const E& error() const { return std::get<1>(result_); }

    /// Converts to an optional value, for callers that treat all errors alike.
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
    /// Implicit, so that functions can return an error directly.
    Result(E error) : error_(std::move(error)) {}

    /// Returns true on success.
    bool has_value() const { return !error_.has_value(); }
    /// Same as has_value().
    explicit operator bool() const { return has_value(); }

    /// Returns the error. Requires !has_value().
    const E& error() const { return *error_; }

  private:
    std::optional<E> error_;
};

}  // namespace hatchwind::base
