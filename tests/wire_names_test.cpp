// Names on the wire stand in src/wire/field_names.hpp alone: all other code uses the field's terms.
#include <gtest/gtest.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace hatchwind {
namespace {

namespace fs = std::filesystem;

const fs::path kSources = HATCHWIND_SOURCES_DIR;
constexpr const char* kHeader = "wire/field_names.hpp";

std::string read(const fs::path& path) {
    std::ifstream in(path);
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

struct NamedConstant {
    std::string constant;  // such as kZone
    std::string literal;
};

// All constants of the header.
std::vector<NamedConstant> named_constants() {
    static const std::string kDeclaration = "inline constexpr const char* ";
    std::vector<NamedConstant> found;
    std::istringstream lines(read(kSources / kHeader));
    std::string line;
    std::string declaration;
    while (std::getline(lines, line)) {
        if (line.starts_with(kDeclaration)) {
            declaration = line;
        } else if (!declaration.empty()) {
            declaration += line;
        }
        const auto open = declaration.find('"');
        if (open == std::string::npos) continue;
        const auto name_end = declaration.find(' ', kDeclaration.size());
        const auto close = declaration.find('"', open + 1);
        found.push_back({declaration.substr(kDeclaration.size(), name_end - kDeclaration.size()),
                         declaration.substr(open + 1, close - open - 1)});
        declaration.clear();
    }
    return found;
}

// "kNoRoom" and "no_room" are the same word, as are "kOneZone" and "oneZone".
std::string letters(const std::string& name) {
    std::string only;
    for (const char c : name) {
        if (c != '_') only += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return only;
}

// The wire's own word: neither the constant's name nor, for values of a field, its end. One or two letters
// are no word.
bool themed(const NamedConstant& name) {
    constexpr std::size_t kLeastLetters = 3;
    return name.literal.size() < kLeastLetters ||
           !letters(name.constant.substr(1)).ends_with(letters(name.literal));
}

std::set<std::string> themed_literals() {
    std::set<std::string> literals;
    for (const auto& name : named_constants()) {
        if (themed(name)) literals.insert(name.literal);
    }
    return literals;
}

// File -> the words that stand there in quotes, of all sources that must not have any.
std::map<std::string, std::set<std::string>> words_found(const std::set<std::string>& words) {
    std::map<std::string, std::set<std::string>> found;
    for (const auto& entry : fs::recursive_directory_iterator(kSources)) {
        const std::string file = fs::relative(entry.path(), kSources).generic_string();
        const std::string extension = entry.path().extension().string();
        const bool source = extension == ".cpp" || extension == ".hpp";
        // The simulator has its own model of the protocol.
        if (!source || file.starts_with("wire/") || file.starts_with("emulator/")) continue;
        const std::string content = read(entry.path());
        for (const auto& word : words) {
            if (content.find('"' + word + '"') != std::string::npos) found[file].insert(word);
        }
    }
    return found;
}

TEST(WireNames, AreKnownToThisTest) {
    const auto words = themed_literals();
    for (const char* word :
         {"baton", "tenure", "ledger", "stamp", "home", "dueS", "perches", "roost", "v", "lifeMs"})
        EXPECT_TRUE(words.contains(word)) << word;
    for (const char* word : {"team", "status", "running", "start", "best_effort", "class"})
        EXPECT_FALSE(words.contains(word)) << word;
}

TEST(WireNames, StandOnceInTheHeader) {
    std::set<std::string> seen;
    for (const auto& name : named_constants()) {
        if (themed(name)) {
            EXPECT_TRUE(seen.insert(name.literal).second) << name.constant << " " << name.literal;
        }
    }
}

TEST(WireNames, OfOurOwnStandNowhereElseInTheWireCode) {
    const auto words = themed_literals();
    for (const auto& entry : fs::directory_iterator(kSources / "wire")) {
        if (entry.path().filename() == fs::path(kHeader).filename()) continue;
        const std::string content = read(entry.path());
        for (const auto& word : words)
            EXPECT_EQ(content.find('"' + word + '"'), std::string::npos) << entry.path() << " " << word;
    }
}

TEST(WireNames, StandInNoOtherPartOfTheProgram) {
    const auto found = words_found(themed_literals());
    for (const auto& [file, words] : found) {
        for (const auto& word : words) {
            ADD_FAILURE() << file << " names \"" << word << "\": see wire/field_names.hpp";
        }
    }
}

}  // namespace
}  // namespace hatchwind
