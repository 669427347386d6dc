/// The one error of settings and properties.
#pragma once

#include <stdexcept>
#include <string>

namespace hatchwind::controller {

/// Thrown while a controller starts, and never later: a key whose value can't be used. `what()` is one line
/// for the operator, "KEY: found FOUND, allowed is EXPECTED".
class SettingsError : public std::runtime_error {
  public:
    /// `key`: path of the key in the settings, name of the property, or what else was wrong (a file, a line,
    /// an option of the command line).
    SettingsError(const std::string& key, const std::string& found, const std::string& expected)
        : std::runtime_error(key + ": found " + found + ", allowed is " + expected),
          key_(key),
          found_(found),
          expected_(expected) {}

    /// As given to the constructor.
    const std::string& key() const { return key_; }
    /// The value, or what stood in its place.
    const std::string& found() const { return found_; }
    /// What is allowed there.
    const std::string& expected() const { return expected_; }

  private:
    std::string key_;
    std::string found_;
    std::string expected_;
};

/// The text that stands for an allowed range in SettingsError::expected().
std::string number_range(double least, double most);

}  // namespace hatchwind::controller
