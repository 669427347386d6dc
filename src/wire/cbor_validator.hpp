/// Checks the form of a CBOR body before the library's decoder builds values from it.
///
/// The decoder recurses for lists, maps and strings of indefinite length inside one another, and reports
/// strings only at their end. So its depth can't be bounded from outside: what it is given has to be bounded.
/// Without the check 40,000 bytes exhaust the stack, and one request ends every controller that reads it
/// (CborForm.StringsInsideOneAnotherAreRefusedAtAnyDepth). All bodies pass here, by way of `wire::decode` and
/// `wire::decode_stored`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hatchwind::wire {

/// The most lists and maps inside one another in a message.
inline constexpr std::size_t kMaxNestingDepth = 16;

/// What the bytes of texts have to be.
enum class TextEncoding : std::uint8_t {
    utf8,  ///< as RFC 8949 asks for; JSON can't be made of other bytes (CborForm.TextIsUtf8WhereverItStands)
    any,   ///< for records that earlier versions have stored without checking their texts
};

/// True when the bytes are one well-formed data item of the kinds that the protocols use: maps with text
/// keys, lists, text, numbers, booleans and null (RFC 8949, section 3 and appendix C). Byte strings, tags
/// and other simple values are refused, and so are strings whose chunks are of indefinite length themselves.
///
/// Reads each byte at most twice, without recursion and without allocating.
bool is_valid_cbor(std::string_view body, TextEncoding encoding = TextEncoding::utf8);

}  // namespace hatchwind::wire
