/// Reading of the settings file: values that know their path, so that an error names the key.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "io/socket.hpp"

namespace hatchwind::controller {

/// A value of the file. It refers to the document, which has to outlive it. Each reader throws SettingsError
/// when the value is not what it has to be.
class SettingsValue {
  public:
    /// The whole document.
    explicit SettingsValue(const nlohmann::json& document) : value_(document) {}

    /// A member that is required; null counts as there, and fails in the reader of its type.
    SettingsValue at(const char* key) const;
    /// True when this is an object with that member, and the member is not null.
    bool has(const char* key) const;
    /// The elements of a list.
    std::vector<SettingsValue> elements() const;

    /// Text that is not empty.
    std::string text() const;
    /// A finite number from `least` to `most`.
    double number(double least, double most) const;
    /// A whole number from `least` to `most`.
    std::size_t whole_number(std::size_t least, std::size_t most) const;
    /// An IPv4 address with a port.
    io::Address address() const;

  private:
    SettingsValue(const nlohmann::json& value, std::string path) : value_(value), path_(std::move(path)) {}

    [[noreturn]] void fail(const std::string& expected) const;
    std::string path_to(const char* key) const;

    const nlohmann::json& value_;
    std::string path_;  // of keys with dots, and positions in brackets; empty for the document
};

}  // namespace hatchwind::controller
