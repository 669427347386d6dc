/// Files of properties in the form of Java's.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace hatchwind::controller {

/// Values by key, without escapes.
using Properties = std::map<std::string, std::string>;

/// Throws SettingsError for a line without a key and for a key that stands twice.
Properties parse_properties(std::string_view text);

}  // namespace hatchwind::controller
