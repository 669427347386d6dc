#include "wire/cbor_validator.hpp"

#include <array>
#include <boost/locale/utf.hpp>
#include <cstdint>
#include <cstring>
#include <optional>

namespace hatchwind::wire {

namespace {

// The upper bits of an item's first byte.
enum class MajorType : std::uint8_t {
    unsigned_number = 0,
    negative_number = 1,
    bytes = 2,
    text = 3,
    list = 4,
    map = 5,
    tag = 6,
    simple_or_float = 7,
};

// The lower bits of an item's first byte: the argument itself, or what follows.
constexpr std::uint8_t kLargestDirectArgument = 23;
constexpr std::uint8_t kArgumentOfOneByte = 24;
constexpr std::uint8_t kArgumentOfEightBytes = 27;
constexpr std::uint8_t kIndefiniteLength = 31;

// Lower bits of simple values and floats.
constexpr std::uint8_t kFalse = 20;
constexpr std::uint8_t kNull = 22;
constexpr std::uint8_t kHalfFloat = 25;
constexpr std::uint8_t kDoubleFloat = 27;

constexpr unsigned kInfoBits = 5;
constexpr std::uint8_t kInfoMask = 0x1f;
constexpr unsigned kBitsOfByte = 8;
constexpr std::uint8_t kBreak = 0xff;  // ends what has no definite length

struct Head {
    MajorType type;
    std::uint8_t info;
};

// A list or map that was begun and not ended.
struct Container {
    bool is_map = false;
    bool indefinite = false;
    std::uint64_t remaining_items = 0;  // of a definite length; a pair of a map counts as two
    bool expects_value = false;         // in a map: the key was read
};

bool is_ascii(std::string_view text) {
    constexpr std::uint64_t kHighBits = 0x8080'8080'8080'8080;
    std::uint64_t word = 0;
    while (text.size() >= sizeof(word)) {
        std::memcpy(&word, text.data(), sizeof(word));
        if ((word & kHighBits) != 0) return false;
        text.remove_prefix(sizeof(word));
    }
    word = 0;
    std::memcpy(&word, text.data(), text.size());
    return (word & kHighBits) == 0;
}

bool is_utf8(std::string_view text) {
    namespace utf = boost::locale::utf;
    if (is_ascii(text)) return true;
    const char* next = text.data();
    const char* const end = next + text.size();
    while (next != end) {
        const utf::code_point decoded = utf::utf_traits<char>::decode(next, end);
        if (decoded == utf::illegal || decoded == utf::incomplete) return false;
    }
    return true;
}

class Validator {
  public:
    Validator(std::string_view body, TextEncoding encoding) : body_(body), encoding_(encoding) {}

    bool run() {
        if (!read_item()) return false;
        while (depth_ > 0) {
            if (ends_container()) {
                --depth_;
            } else if (!read_next_of(open_containers_[depth_ - 1])) {
                return false;
            }
        }
        return position_ == body_.size();
    }

  private:
    std::size_t remaining_bytes() const { return body_.size() - position_; }

    bool take_break() {
        if (remaining_bytes() == 0 || static_cast<std::uint8_t>(body_[position_]) != kBreak) return false;
        ++position_;
        return true;
    }

    std::optional<Head> read_head() {
        if (remaining_bytes() == 0) return std::nullopt;
        const auto first = static_cast<std::uint8_t>(body_[position_++]);
        return Head{static_cast<MajorType>(first >> kInfoBits), static_cast<std::uint8_t>(first & kInfoMask)};
    }

    std::optional<std::uint64_t> read_argument(std::uint8_t info) {
        if (info <= kLargestDirectArgument) return info;
        if (info > kArgumentOfEightBytes) return std::nullopt;
        const std::size_t size = std::size_t{1} << static_cast<unsigned>(info - kArgumentOfOneByte);
        if (size > remaining_bytes()) return std::nullopt;
        std::uint64_t argument = 0;
        for (const char byte : body_.substr(position_, size))
            argument = (argument << kBitsOfByte) | static_cast<std::uint8_t>(byte);
        position_ += size;
        return argument;
    }

    bool ends_container() {
        const Container& container = open_containers_[depth_ - 1];
        if (!container.indefinite) return container.remaining_items == 0;
        return !container.expects_value && take_break();
    }

    bool read_next_of(Container& container) {
        if (!container.indefinite) --container.remaining_items;
        if (!container.is_map) return read_item();
        container.expects_value = !container.expects_value;
        return container.expects_value ? read_key() : read_item();
    }

    bool read_key() {
        const auto head = read_head();
        return head && head->type == MajorType::text && read_text(head->info);
    }

    bool read_item() {
        const auto head = read_head();
        if (!head) return false;
        switch (head->type) {
            case MajorType::unsigned_number:
            case MajorType::negative_number:
                return read_argument(head->info).has_value();
            case MajorType::text:
                return read_text(head->info);
            case MajorType::list:
            case MajorType::map:
                return begin_container(*head);
            case MajorType::simple_or_float:
                return read_simple_or_float(head->info);
            case MajorType::bytes:
            case MajorType::tag:
                return false;
        }
        return false;
    }

    bool read_text(std::uint8_t info) {
        if (info != kIndefiniteLength) return read_text_of_definite_length(info);
        while (!take_break()) {
            const auto chunk = read_head();
            if (!chunk || chunk->type != MajorType::text) return false;
            if (!read_text_of_definite_length(chunk->info)) return false;
        }
        return true;
    }

    bool read_text_of_definite_length(std::uint8_t info) {
        const auto length = read_argument(info);
        if (!length || *length > remaining_bytes()) return false;
        const std::string_view text = body_.substr(position_, *length);
        position_ += text.size();
        return encoding_ == TextEncoding::any || is_utf8(text);
    }

    bool begin_container(Head head) {
        if (depth_ == kMaxNestingDepth) return false;
        Container container;
        container.is_map = head.type == MajorType::map;
        container.indefinite = head.info == kIndefiniteLength;
        if (!container.indefinite) {
            const auto length = read_argument(head.info);
            // Each item takes at least one byte.
            const std::uint64_t items_of_entry = container.is_map ? 2 : 1;
            if (!length || *length > remaining_bytes() / items_of_entry) return false;
            container.remaining_items = *length * items_of_entry;
        }
        open_containers_[depth_] = container;
        ++depth_;
        return true;
    }

    bool read_simple_or_float(std::uint8_t info) {
        if (info >= kFalse && info <= kNull) return true;
        if (info < kHalfFloat || info > kDoubleFloat) return false;
        return read_argument(info).has_value();
    }

    std::string_view body_;
    TextEncoding encoding_;
    std::size_t position_ = 0;
    std::array<Container, kMaxNestingDepth> open_containers_;
    std::size_t depth_ = 0;
};

}  // namespace

bool is_valid_cbor(std::string_view body, TextEncoding encoding) { return Validator{body, encoding}.run(); }

}  // namespace hatchwind::wire
