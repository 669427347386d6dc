#include "config/properties.hpp"

#include <cstddef>
#include <optional>
#include <utility>

#include "config/settings_error.hpp"

namespace hatchwind::controller {

namespace {

constexpr char kEscape = '\\';
constexpr const char* kBlanks = " \t";
constexpr const char* kTrimmed = " \t\f\r";

bool is_blank(char character) { return character == ' ' || character == '\t'; }
bool is_assignment(char character) { return character == '=' || character == ':'; }

std::string trim(std::string_view text) {
    const auto first = text.find_first_not_of(kTrimmed);
    if (first == std::string_view::npos) return {};
    return std::string{text.substr(first, text.find_last_not_of(kTrimmed) - first + 1)};
}

// One line, or several that are continued.
struct LogicalLine {
    std::string text;
    std::size_t last_number = 0;  // of the last line of the file that belongs to it, from 1 on
};

class LogicalLineReader {
  public:
    explicit LogicalLineReader(std::string_view text) : rest_(text) {}

    // Nothing at the end of the text. Comments and empty lines are left out.
    std::optional<LogicalLine> next() {
        std::string joined;
        while (!rest_.empty()) {
            std::string line = next_line();
            if (joined.empty() && says_nothing(line)) continue;
            const bool escapes_its_end = ends_in_escape(line);
            if (escapes_its_end) line.pop_back();
            joined += line;
            if (escapes_its_end && !rest_.empty()) continue;
            return LogicalLine{std::move(joined), number_};
        }
        return std::nullopt;
    }

  private:
    std::string next_line() {
        const auto end = rest_.find('\n');
        std::string line = trim(rest_.substr(0, end));
        rest_ = end == std::string_view::npos ? std::string_view{} : rest_.substr(end + 1);
        ++number_;
        return line;
    }
    static bool says_nothing(const std::string& line) {
        return line.empty() || line.front() == '#' || line.front() == '!';
    }
    // An even number of backslashes at the end stands for half as many backslashes.
    static bool ends_in_escape(const std::string& line) {
        const std::size_t backslashes = line.size() - (line.find_last_not_of(kEscape) + 1);
        return backslashes % 2 == 1;
    }

    std::string_view rest_;
    std::size_t number_ = 0;
};

// Splits one logical line into key and value.
class PropertyParser {
  public:
    explicit PropertyParser(const std::string& line) : line_(line) {}

    // Up to the first blank, = or : that is not escaped; what separates it from the value is read too.
    std::string read_key() {
        std::string key;
        while (!at_end()) {
            const Character character = next_character();
            if (!character.escaped && is_assignment(character.value)) return key;
            if (!character.escaped && is_blank(character.value)) {
                skip_assignment();
                return key;
            }
            key += character.value;
        }
        return key;
    }

    // The rest, without the blanks before its first plain character.
    std::string read_value() {
        std::string value;
        bool at_start = true;
        while (!at_end()) {
            const Character character = next_character();
            const bool plain = !character.escaped;
            if (plain && at_start && is_blank(character.value)) continue;
            if (plain) at_start = false;
            value += character.value;
        }
        return value;
    }

  private:
    struct Character {
        char value;
        bool escaped;
    };

    bool at_end() const { return position_ >= line_.size(); }

    Character next_character() {
        const char character = line_[position_++];
        if (character != kEscape || at_end()) return {character, false};
        return {unescaped(line_[position_++]), true};
    }
    static char unescaped(char character) {
        switch (character) {
            case 't':
                return '\t';
            case 'n':
                return '\n';
            case 'r':
                return '\r';
            default:
                return character;
        }
    }
    // Blanks end a key; an = or : may still follow.
    void skip_assignment() {
        const auto next = line_.find_first_not_of(kBlanks, position_);
        if (next != std::string::npos && is_assignment(line_[next])) position_ = next + 1;
    }

    const std::string& line_;
    std::size_t position_ = 0;
};

}  // namespace

Properties parse_properties(std::string_view text) {
    Properties properties;
    LogicalLineReader lines{text};
    while (const std::optional<LogicalLine> line = lines.next()) {
        PropertyParser parser{line->text};
        const std::string key = parser.read_key();
        const std::string value = parser.read_value();
        if (key.empty())
            throw SettingsError("line " + std::to_string(line->last_number), "no key", "key = value");
        if (!properties.emplace(key, value).second) throw SettingsError(key, "two values", "one");
    }
    return properties;
}

}  // namespace hatchwind::controller
