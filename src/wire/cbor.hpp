// CBOR bodies and their checked reading. Built on nlohmann::json; depth is bounded here.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hatchwind::wire {

using Json = nlohmann::json;

// Nothing for malformed, over-deep or binary-holding input, and for bytes after the value.
std::optional<Json> decode(std::string_view body);
std::string encode(const Json& v);

// Field readers: nothing when the field is missing, null or of another type.
std::optional<std::string> text(const Json& map, const char* key);
std::optional<std::uint64_t> whole(const Json& map, const char* key);
std::optional<double> number(const Json& map, const char* key);  // finite
std::optional<bool> flag(const Json& map, const char* key);
// The list under the key, or null when it is missing or no list.
const Json* list(const Json& map, const char* key);
// True when the field is there and not null.
bool present(const Json& map, const char* key);

}  // namespace hatchwind::wire
