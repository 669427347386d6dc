/// Results of decoders: the value, or which field was wrong and what was expected there.
#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace hatchwind::wire {

/// The first field that a decoder could not accept. Both texts are literals and outlive the message.
struct DecodeError {
    std::string_view field;     ///< its name on the wire; `kWholeBody` when the message is no map
    std::string_view expected;  ///< what is allowed there, for people
    friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

/// Stands for the whole message in `DecodeError::field`.
inline constexpr std::string_view kWholeBody = "body";

/// A decoded value, or the error that kept it from being decoded. Reads like `std::optional`; `*`, `->` need
/// a value and `error()` needs there to be none.
template <class T>
class [[nodiscard]] Decoded {
  public:
    Decoded(T value) : result_(std::in_place_index<0>, std::move(value)) {}  // implicit, as for optional
    Decoded(DecodeError error) : result_(std::in_place_index<1>, error) {}   // implicit, to return errors

    /// True when decoding succeeded.
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
    const DecodeError& error() const { return std::get<1>(result_); }

    /// The value alone, for callers that treat every error alike.
    std::optional<T> optional() && {
        if (!has_value()) return std::nullopt;
        return std::get<0>(std::move(result_));
    }

  private:
    std::variant<T, DecodeError> result_;
};

}  // namespace hatchwind::wire
