/// Reading of maps whose fields are required or bounded, with the first error kept.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/cbor.hpp"
#include "wire/decoded.hpp"

namespace hatchwind::wire {

/// Takes the fields of one map one after the other and keeps the first error, so that a decoder is a plain
/// list of fields with one check at its end. After an error the readers go on and return empty values, which
/// never get out: `result` drops them. The map has to outlive the reader.
class FieldReader {
  public:
    explicit FieldReader(const Json& map) : map_(map) {}

    /// A text of so many bytes.
    std::string text(const char* field, std::size_t least_bytes = 0,
                     std::size_t most_bytes = std::numeric_limits<std::size_t>::max());
    /// A whole number from `least` to `most`.
    std::uint64_t whole(const char* field, std::uint64_t least = 0,
                        std::uint64_t most = std::numeric_limits<std::uint64_t>::max());
    /// A finite number from `least` to `most`.
    double number(const char* field, double least = std::numeric_limits<double>::lowest(),
                  double most = std::numeric_limits<double>::max());
    /// True or false.
    bool flag(const char* field);
    /// A list of anything; an empty one after an error.
    const Json& list(const char* field);
    /// A list of nothing but texts.
    std::vector<std::string> text_list(const char* field);

    /// Nothing for a field that is missing or null; of another type it is an error.
    std::optional<std::string> optional_text(const char* field);
    /// A finite number from `least` to `most`, or nothing as above.
    std::optional<double> optional_number(const char* field,
                                          double least = std::numeric_limits<double>::lowest(),
                                          double most = std::numeric_limits<double>::max());
    /// A list of nothing but texts, or nothing as above.
    std::optional<std::vector<std::string>> optional_text_list(const char* field);

    /// Records what a decoder itself finds wrong with a field.
    void fail(const char* field, const char* expected);
    /// True once a field was wrong.
    bool failed() const { return error_.has_value(); }

    /// The value, unless a field was wrong.
    template <class T>
    Decoded<T> result(T value) const {
        if (error_) return *error_;
        return value;
    }

  private:
    const Json& map_;
    std::optional<DecodeError> error_;
};

}  // namespace hatchwind::wire
