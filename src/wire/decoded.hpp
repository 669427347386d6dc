/// Results of decoders: the value, or which field was wrong and what was expected there.
#pragma once

#include <string_view>

#include "base/result.hpp"

namespace hatchwind::wire {

/// The first field that a decoder could not accept. Both texts are literals and outlive the message.
struct DecodeError {
    std::string_view field;     ///< its name on the wire; `kWholeBody` when the message is no map
    std::string_view expected;  ///< what is allowed there, for people
    friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

/// Stands for the whole message in `DecodeError::field`.
inline constexpr std::string_view kWholeBody = "body";

/// A decoded value, or the error that kept it from being decoded.
template <class T>
using Decoded = base::Result<T, DecodeError>;

}  // namespace hatchwind::wire
