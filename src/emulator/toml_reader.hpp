// Reading of TOML tables with errors that name the field: its path, its line, what was found, what is
// allowed.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace hatchwind::emulator {

/// One line: the field with its path, and what is wrong with it.
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A table of which every field must be asked for: finish() refuses those that nobody knows.
class TableReader {
  public:
    TableReader(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

    bool has(const char* key) const { return table_.contains(key); }
    /// Required values.
    std::string text(const char* key);
    double number(const char* key);
    /// Values with a default.
    std::string text_or(const char* key, const std::string& otherwise);
    double number_or(const char* key, double otherwise);
    std::uint64_t count_or(const char* key, std::uint64_t otherwise);
    bool flag_or(const char* key, bool otherwise);
    double share_or(const char* key, double otherwise);  // 0 to 1
    std::vector<std::string> texts_or_none(const char* key);
    std::vector<double> numbers_or_none(const char* key);
    /// A number of at least 0, as seconds are.
    double seconds(const char* key);
    double seconds_or(const char* key, double otherwise);
    /// Index of the value in a list of names; the error lists them.
    std::size_t one_of(const char* key, const std::vector<std::string>& names, std::size_t otherwise);

    /// Calls `read` with a table under the key, if there is one; with an empty table otherwise.
    void table(const char* key, const std::function<void(TableReader&)>& read);
    /// The same for each table of a list.
    void tables(const char* key, const std::function<void(TableReader&)>& read);

    /// Refuses fields that were not asked for.
    void finish() const;
    [[noreturn]] void fail(const std::string& key, const std::string& what) const;

  private:
    const toml::node* find(const char* key);
    double checked_number(const char* key, const toml::node& node) const;
    std::string path_of(const std::string& key) const;

    const toml::table& table_;
    std::string path_;
    std::set<std::string> known_;
};

}  // namespace hatchwind::emulator
