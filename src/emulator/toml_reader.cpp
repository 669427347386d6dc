#include "emulator/toml_reader.hpp"

#include <algorithm>
#include <cmath>

namespace hatchwind::emulator {

std::string TableReader::path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
}

void TableReader::fail(const std::string& key, const std::string& what) const {
    std::string place;
    const toml::node* node = table_.get(key);
    const auto line = node == nullptr ? table_.source().begin.line : node->source().begin.line;
    if (line > 0) place = " (line " + std::to_string(line) + ")";
    throw ScenarioError(path_of(key) + ": " + what + place);
}

const toml::node* TableReader::find(const char* key) {
    known_.insert(key);
    return table_.get(key);
}

double TableReader::checked_number(const char* key, const toml::node& node) const {
    const auto value = node.value<double>();
    if (!node.is_number() || !value || !std::isfinite(*value)) fail(key, "must be a number");
    return *value;
}

std::string TableReader::text(const char* key) {
    const toml::node* node = find(key);
    if (node == nullptr) fail(key, "is missing");
    if (!node->is_string()) fail(key, "must be text");
    return *node->value<std::string>();
}

double TableReader::number(const char* key) {
    const toml::node* node = find(key);
    if (node == nullptr) fail(key, "is missing");
    return checked_number(key, *node);
}

std::string TableReader::text_or(const char* key, const std::string& otherwise) {
    return find(key) == nullptr ? otherwise : text(key);
}

double TableReader::number_or(const char* key, double otherwise) {
    const toml::node* node = find(key);
    return node == nullptr ? otherwise : checked_number(key, *node);
}

std::uint64_t TableReader::count_or(const char* key, std::uint64_t otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value<std::int64_t>();
    if (!node->is_integer() || !value || *value < 0) fail(key, "must be a whole number of at least 0");
    return static_cast<std::uint64_t>(*value);
}

bool TableReader::flag_or(const char* key, bool otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_boolean()) fail(key, "must be true or false");
    return *node->value<bool>();
}

double TableReader::share_or(const char* key, double otherwise) {
    const double share = number_or(key, otherwise);
    if (share < 0 || share > 1) fail(key, "must be from 0 to 1");
    return share;
}

double TableReader::seconds(const char* key) {
    const double value = number(key);
    if (value < 0) fail(key, "must not be negative");
    return value;
}

double TableReader::seconds_or(const char* key, double otherwise) {
    return find(key) == nullptr ? otherwise : seconds(key);
}

std::vector<std::string> TableReader::texts_or_none(const char* key) {
    std::vector<std::string> texts;
    const toml::node* node = find(key);
    if (node == nullptr) return texts;
    if (!node->is_array()) fail(key, "must be a list of texts");
    for (const toml::node& item : *node->as_array()) {
        if (!item.is_string()) fail(key, "must be a list of texts");
        texts.push_back(*item.value<std::string>());
    }
    return texts;
}

std::vector<double> TableReader::numbers_or_none(const char* key) {
    std::vector<double> numbers;
    const toml::node* node = find(key);
    if (node == nullptr) return numbers;
    if (!node->is_array()) fail(key, "must be a list of numbers");
    for (const toml::node& item : *node->as_array()) numbers.push_back(checked_number(key, item));
    return numbers;
}

std::size_t TableReader::one_of(const char* key, const std::vector<std::string>& names,
                                std::size_t otherwise) {
    if (find(key) == nullptr) return otherwise;
    const std::string name = text(key);
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end()) return static_cast<std::size_t>(found - names.begin());
    std::string allowed;
    for (const std::string& candidate : names) allowed += (allowed.empty() ? "" : ", ") + candidate;
    fail(key, "is \"" + name + "\", must be one of " + allowed);
}

void TableReader::table(const char* key, const std::function<void(TableReader&)>& read) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) fail(key, "must be a table");
    const toml::table nothing;
    TableReader reader(node == nullptr ? nothing : *node->as_table(), path_of(key));
    read(reader);
    reader.finish();
}

void TableReader::tables(const char* key, const std::function<void(TableReader&)>& read) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_array()) fail(key, "must be a list of tables");
    std::size_t index = 0;
    for (const toml::node& item : *node->as_array()) {
        const std::string name = std::string{key} + "[" + std::to_string(index++) + "]";
        if (!item.is_table()) fail(key, "must be a list of tables");
        TableReader reader(*item.as_table(), path_of(name));
        read(reader);
        reader.finish();
    }
}

void TableReader::finish() const {
    for (const auto& [key, node] : table_) {
        const std::string name{key.str()};
        if (!known_.contains(name)) fail(name, "is not known");
    }
}

}  // namespace hatchwind::emulator
