/// CBOR bodies and the checked reading of their fields, on nlohmann::json. Nothing here throws for what
/// others sent: each reader returns nothing instead.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hatchwind::wire {

/// A decoded message, or one to be encoded.
using Json = nlohmann::json;

/// The value that the body holds. Nothing for a body that is no valid message: see `is_valid_cbor`, which
/// bounds its depth. Takes time and memory in proportion to the body's size.
std::optional<Json> decode(std::string_view body);
/// The same for what comes from the store. Its texts may be in any encoding: earlier versions have accepted
/// jobs with such texts, which are still cancelled and finished
/// (MalformedMessages.AStoredJobWithTextThatIsNotUtf8IsReadCancelledAndFinished).
std::optional<Json> decode_stored(std::string_view body);
/// The CBOR form of a value.
std::string encode(const Json& value);
/// The length in bytes of the value's JSON form, by which bodies, values and transactions are limited. Bytes
/// that are no UTF-8 have no such form, and count as the replacement character, which is longer.
std::size_t json_bytes(const Json& value);

/// A text; nothing when the field is missing, null or of another type. So for the other readers of fields.
std::optional<std::string> text(const Json& map, const char* key);
/// A number that is whole and not negative.
std::optional<std::uint64_t> whole(const Json& map, const char* key);
/// A finite number, whole or not.
std::optional<double> number(const Json& map, const char* key);
/// True or false.
std::optional<bool> flag(const Json& map, const char* key);
/// The list under the key, as a part of `map`; null when the field is missing or no list.
const Json* list(const Json& map, const char* key);
/// A list of nothing but texts.
std::optional<std::vector<std::string>> text_list(const Json& map, const char* key);
/// True when the field is there and not null.
bool present(const Json& map, const char* key);

}  // namespace hatchwind::wire
