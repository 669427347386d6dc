// The form of CBOR bodies that are read: what is refused before a value is built from it, and what is not.
#include "wire/cbor.hpp"

#include <array>
#include <boost/locale/utf.hpp>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "support.hpp"

namespace hatchwind {
namespace {

using wire::Json;

constexpr std::size_t kLargestBodyBytes = 64UL * 1024;
constexpr char kIndefiniteBytes = '\x5f';  // also the underscore
constexpr char kIndefiniteText = '\x7f';
constexpr char kBreak = '\xff';

std::string repeated(const std::string& part, std::size_t times) {
    std::string all;
    for (std::size_t time = 0; time < times; ++time) all += part;
    return all;
}

// Strings of indefinite length inside one another ended each controller that read them: the decoder recursed
// once for each (stack overflow, docs/incidents/nested-strings.md).
TEST(CborForm, StringsInsideOneAnotherAreRefusedAtAnyDepth) {
    for (const char head : {kIndefiniteBytes, kIndefiniteText}) {
        for (const std::size_t depth : {std::size_t{2}, std::size_t{30'000}, kLargestBodyBytes}) {
            const std::string open(depth, head);
            const std::string closed = open + std::string(depth, kBreak);
            EXPECT_FALSE(wire::decode(open).has_value()) << depth;
            EXPECT_FALSE(wire::decode(closed).has_value()) << depth;
            EXPECT_FALSE(wire::decode("\x81" + closed).has_value()) << "in a list, " << depth;
            EXPECT_FALSE(wire::decode("\xa1" + closed + "\x01").has_value()) << "as a key, " << depth;
            EXPECT_FALSE(wire::decode("\xa1\x61\x61" + closed).has_value()) << "in a map, " << depth;
        }
    }
    // A chunk of definite length before each nested one.
    const std::string with_chunks = repeated("\x7f\x61\x61", kLargestBodyBytes / 3);
    EXPECT_FALSE(wire::decode(with_chunks).has_value());
}

TEST(CborForm, TextInChunksIsReadAsAWhole) {
    const std::string body =
        "\x7f\x62"
        "ab"
        "\x60"
        "\x61"
        "c"
        "\xff";
    const auto text = wire::decode(body);
    ASSERT_TRUE(text.has_value());
    EXPECT_EQ(*text, "abc");
    const std::string as_key = "\xbf" + body + "\x9f\x01\xff\xff";
    const auto map = wire::decode(as_key);
    ASSERT_TRUE(map.has_value());
    EXPECT_EQ(*map, (Json{{"abc", {1}}}));
    EXPECT_FALSE(wire::decode("\x7f\x41\x61\xff").has_value()) << "a chunk of bytes in a text";
    EXPECT_FALSE(wire::decode("\x7f\x61\x61").has_value()) << "no end";
}

TEST(CborForm, ListsAndMapsMayBeSixteenDeepInEachForm) {
    constexpr std::size_t kMaxDepth = 16;
    const std::vector<std::pair<std::string, std::string>> forms = {
        {"\x81", ""}, {"\x9f", "\xff"}, {"\xa1\x61\x61", ""}, {"\xbf\x61\x61", "\xff"}};
    for (const auto& form : forms) {
        const auto nested = [&](std::size_t depth) {
            return repeated(form.first, depth) + "\x01" + repeated(form.second, depth);
        };
        EXPECT_TRUE(wire::decode(nested(kMaxDepth)).has_value());
        EXPECT_FALSE(wire::decode(nested(kMaxDepth + 1)).has_value());
        const std::size_t times = kLargestBodyBytes / form.first.size();
        EXPECT_FALSE(wire::decode(repeated(form.first, times)).has_value());
    }
}

TEST(CborForm, OnlyTheKindsOfTheProtocolsAreRead) {
    const std::vector<std::string> refused = {
        "Aa",                                    // bytes
        "\xc1\x01",                              // a tag
        "\xf7",                                  // undefined
        "\xf8\x20",                              // another simple value
        "\xff",                                  // a break without a beginning
        "\x1c",                                  // a reserved length
        "\xa1\x01\x01",                          // a key that is no text
        "\xbf\x61\x61\xff",                      // a key without a value
        "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",  // more elements than bytes
        "\xbb\x80" + std::string(7, '\0'),       // more pairs than can be counted
        "\x7b\xff\xff\xff\xff\xff\xff\xff\xff",  // a longer text than the body
        std::string("\x01\x01"),                 // something behind the value
    };
    for (const auto& body : refused) EXPECT_FALSE(wire::decode(body).has_value()) << Json(body.size());
}

// What is no text in UTF-8: Latin-1, a lone continuation, an overlong form, a surrogate, beyond U+10FFFF,
// cut.
const std::vector<std::string> kNotUtf8 = {
    "\xe9t\xe9", "\x80", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "a long text \xe2\x82"};

// Bytes that are no text were taken for one, stored, and ended the controllers that made JSON of them
// (docs/incidents/text-not-utf8.md).
TEST(CborForm, TextIsUtf8WhereverItStands) {
    for (const auto& bytes : kNotUtf8) {
        for (const Json& value : {Json(bytes), Json{bytes}, Json{{"a", bytes}}, Json{{bytes, 1}},
                                  Json{{"a", {{"b", {1, bytes}}}}}}) {
            const std::string body = wire::encode(value);
            EXPECT_FALSE(wire::decode(body).has_value());
            const auto stored = wire::decode_stored(body);
            ASSERT_TRUE(stored.has_value()) << "written by an earlier version";
            EXPECT_EQ(*stored, value);
            EXPECT_GE(wire::json_bytes(*stored), bytes.size());
        }
    }
    // One character in two chunks: each chunk has to be a text (RFC 8949, 3.2.3).
    EXPECT_FALSE(wire::decode("\x7f\x61\xc3\x61\xa9\xff").has_value());
    for (const std::string text :
         {"carte-\xc3\xa9t\xc3\xa9", "\xe2\x82\xac", "\xf4\x8f\xbf\xbf", "\xef\xbf\xbe"})
        EXPECT_EQ(wire::decode(wire::encode(Json(text))), Json(text));
}

TEST(CborForm, EachCodePointIsReadWhereverItBegins) {
    test::check_property("a character behind some others", [] {
        const std::string before(*rc::gen::inRange<std::size_t>(0, 20), 'x');
        const auto code_point = *rc::gen::inRange<std::uint32_t>(0x80, 0x110000);
        constexpr std::uint32_t kFirstSurrogate = 0xd800;
        constexpr std::uint32_t kLastSurrogate = 0xdfff;
        const bool surrogate = code_point >= kFirstSurrogate && code_point <= kLastSurrogate;
        std::string text = before;
        boost::locale::utf::utf_traits<char>::encode(code_point, std::back_inserter(text));
        RC_ASSERT(wire::decode(wire::encode(Json(text))).has_value() == !surrogate);
    });
}

Json generated_value(int depth) {
    const int kind = *rc::gen::inRange(0, depth > 0 ? 8 : 6);
    if (kind == 0) return nullptr;
    if (kind == 1) return *rc::gen::arbitrary<bool>();
    if (kind == 2) return *rc::gen::arbitrary<std::uint64_t>();
    if (kind == 3) return *rc::gen::arbitrary<std::int64_t>();
    if (kind == 4) return *rc::gen::arbitrary<std::int32_t>() / 16.0;
    if (kind == 5) return *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
    Json value = kind == 6 ? Json::array() : Json::object();
    for (int left = *rc::gen::inRange(0, 4); left > 0; --left) {
        if (kind == 6) {
            value.push_back(generated_value(depth - 1));
        } else {
            value[*rc::gen::container<std::string>(rc::gen::inRange(' ', '~'))] = generated_value(depth - 1);
        }
    }
    return value;
}

TEST(CborForm, WhatIsEncodedComesBack) {
    test::check_property("round trip", [] {
        const Json value = generated_value(5);
        const std::string body = wire::encode(value);
        const auto decoded = wire::decode(body);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == value);
        const auto cut_off = static_cast<std::size_t>(*rc::gen::inRange<std::size_t>(0, body.size()));
        RC_ASSERT(!wire::decode(body.substr(0, cut_off)).has_value());
    });
}

}  // namespace
}  // namespace hatchwind
