#include "config/settings_value.hpp"

#include <cmath>

#include "config/settings_error.hpp"

namespace hatchwind::controller {

using nlohmann::json;

namespace {
constexpr std::size_t kLongestShown = 60;

// The value as the error shows it; a long one is cut off.
std::string shown(const json& value) {
    const std::string cut_off = "...";
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > kLongestShown) text = text.substr(0, kLongestShown - cut_off.size()) + cut_off;
    return text;
}
}  // namespace

void SettingsValue::fail(const std::string& expected) const {
    throw SettingsError(path_.empty() ? "file" : path_, shown(value_), expected);
}

std::string SettingsValue::path_to(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

SettingsValue SettingsValue::at(const char* key) const {
    if (!value_.is_object()) fail("an object");
    const auto member = value_.find(key);
    if (member == value_.end()) throw SettingsError(path_to(key), "nothing", "required");
    return SettingsValue{*member, path_to(key)};
}

bool SettingsValue::has(const char* key) const {
    return value_.is_object() && value_.contains(key) && !value_[key].is_null();
}

std::vector<SettingsValue> SettingsValue::elements() const {
    if (!value_.is_array()) fail("a list");
    std::vector<SettingsValue> elements;
    for (const auto& element : value_)
        elements.push_back(SettingsValue{element, path_ + "[" + std::to_string(elements.size()) + "]"});
    return elements;
}

std::string SettingsValue::text() const {
    if (!value_.is_string() || value_.get_ref<const std::string&>().empty()) fail("text that is not empty");
    return value_.get<std::string>();
}

double SettingsValue::number(double least, double most) const {
    if (!value_.is_number()) fail(number_range(least, most));
    const auto number = value_.get<double>();
    if (!std::isfinite(number) || number < least || number > most) fail(number_range(least, most));
    return number;
}

std::size_t SettingsValue::whole_number(std::size_t least, std::size_t most) const {
    const double value = number(static_cast<double>(least), static_cast<double>(most));
    if (value != std::floor(value)) fail("a whole number");
    return static_cast<std::size_t>(value);
}

io::Address SettingsValue::address() const {
    const auto address = io::parse_address(text());
    if (!address) fail("an IPv4 address and port, such as 10.0.0.1:8080");
    return *address;
}

}  // namespace hatchwind::controller
