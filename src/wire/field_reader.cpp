#include "wire/field_reader.hpp"

namespace hatchwind::wire {

void FieldReader::fail(const char* field, const char* expected) {
    if (!error_) error_ = DecodeError{field, expected};
}

std::string FieldReader::text(const char* field, std::size_t least_bytes, std::size_t most_bytes) {
    auto value = wire::text(map_, field);
    if (value && value->size() >= least_bytes && value->size() <= most_bytes) return std::move(*value);
    fail(field, "a text of an allowed length");
    return {};
}

std::uint64_t FieldReader::whole(const char* field, std::uint64_t least, std::uint64_t most) {
    const auto value = wire::whole(map_, field);
    if (value && *value >= least && *value <= most) return *value;
    fail(field, "a whole number in the allowed range");
    return 0;
}

double FieldReader::number(const char* field, double least, double most) {
    const auto value = wire::number(map_, field);
    if (value && *value >= least && *value <= most) return *value;
    fail(field, "a number in the allowed range");
    return 0;
}

bool FieldReader::flag(const char* field) {
    const auto value = wire::flag(map_, field);
    if (!value) fail(field, "true or false");
    return value.value_or(false);
}

const Json& FieldReader::list(const char* field) {
    static const Json none = Json::array();
    const Json* value = wire::list(map_, field);
    if (value != nullptr) return *value;
    fail(field, "a list");
    return none;
}

std::vector<std::string> FieldReader::text_list(const char* field) {
    auto values = wire::text_list(map_, field);
    if (values) return std::move(*values);
    fail(field, "a list of texts");
    return {};
}

std::optional<std::string> FieldReader::optional_text(const char* field) {
    if (!present(map_, field)) return std::nullopt;
    return text(field);
}

std::optional<double> FieldReader::optional_number(const char* field, double least, double most) {
    if (!present(map_, field)) return std::nullopt;
    return number(field, least, most);
}

std::optional<std::vector<std::string>> FieldReader::optional_text_list(const char* field) {
    if (!present(map_, field)) return std::nullopt;
    return text_list(field);
}

}  // namespace hatchwind::wire
