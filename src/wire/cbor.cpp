#include "wire/cbor.hpp"

#include <cmath>

#include "wire/cbor_validator.hpp"

namespace hatchwind::wire {

namespace {

const Json* field(const Json& map, const char* key) {
    if (!map.is_object()) return nullptr;
    const auto it = map.find(key);
    return it == map.end() || it->is_null() ? nullptr : &*it;
}

std::optional<Json> decode_with(std::string_view body, TextEncoding encoding) {
    if (!is_valid_cbor(body, encoding)) return std::nullopt;
    Json value;
    // from_cbor would copy the value once more.
    constexpr bool kThrows = false;
    nlohmann::detail::json_sax_dom_parser<Json> builder{value, kThrows};
    if (!Json::sax_parse(body.begin(), body.end(), &builder, Json::input_format_t::cbor)) return std::nullopt;
    return value;
}

}  // namespace

std::optional<Json> decode(std::string_view body) { return decode_with(body, TextEncoding::utf8); }

std::optional<Json> decode_stored(std::string_view body) { return decode_with(body, TextEncoding::any); }

std::string encode(const Json& value) {
    std::string body;
    Json::to_cbor(value, body);
    return body;
}

std::size_t json_bytes(const Json& value) {
    constexpr int kOnOneLine = -1;
    constexpr bool kOnlyAscii = false;
    return value.dump(kOnOneLine, ' ', kOnlyAscii, Json::error_handler_t::replace).size();
}

std::optional<std::string> text(const Json& map, const char* key) {
    const Json* value = field(map, key);
    if (value == nullptr || !value->is_string()) return std::nullopt;
    return value->get_ref<const std::string&>();
}

std::optional<std::uint64_t> whole(const Json& map, const char* key) {
    const Json* value = field(map, key);
    if (value == nullptr) return std::nullopt;
    if (value->is_number_unsigned()) return value->get<std::uint64_t>();
    if (value->is_number_integer() && value->get<std::int64_t>() >= 0)
        return static_cast<std::uint64_t>(value->get<std::int64_t>());
    return std::nullopt;
}

std::optional<double> number(const Json& map, const char* key) {
    const Json* value = field(map, key);
    if (value == nullptr || !value->is_number()) return std::nullopt;
    const auto found = value->get<double>();
    if (!std::isfinite(found)) return std::nullopt;
    return found;
}

std::optional<bool> flag(const Json& map, const char* key) {
    const Json* value = field(map, key);
    if (value == nullptr || !value->is_boolean()) return std::nullopt;
    return value->get<bool>();
}

const Json* list(const Json& map, const char* key) {
    const Json* value = field(map, key);
    return value != nullptr && value->is_array() ? value : nullptr;
}

std::optional<std::vector<std::string>> text_list(const Json& map, const char* key) {
    const Json* values = list(map, key);
    if (values == nullptr) return std::nullopt;
    std::vector<std::string> texts;
    texts.reserve(values->size());
    for (const auto& value : *values) {
        if (!value.is_string()) return std::nullopt;
        texts.push_back(value.get<std::string>());
    }
    return texts;
}

bool present(const Json& map, const char* key) { return field(map, key) != nullptr; }

}  // namespace hatchwind::wire
