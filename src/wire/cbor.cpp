#include "wire/cbor.hpp"

#include <cmath>

namespace hatchwind::wire {

namespace {

// Refuses deep nesting while parsing: the library's CBOR reader recurses, and 64 KiB of list heads would
// exhaust the stack.
class BoundedSax : public nlohmann::detail::json_sax_dom_parser<Json> {
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  public:
    explicit BoundedSax(Json& into) : Base(into, false) {}
    bool start_object(std::size_t n) { return ++depth_ <= kDepth && n_ok(n) && Base::start_object(n); }
    bool start_array(std::size_t n) { return ++depth_ <= kDepth && n_ok(n) && Base::start_array(n); }
    bool end_object() {
        --depth_;
        return Base::end_object();
    }
    bool end_array() {
        --depth_;
        return Base::end_array();
    }
    bool binary(Json::binary_t& /*unused*/) { return false; }

  private:
    // A length that no body of ours can hold; unknown lengths are allowed.
    static bool n_ok(std::size_t n) { return n == static_cast<std::size_t>(-1) || n < (1U << 24U); }
    static constexpr int kDepth = 16;
    int depth_ = 0;
};

const Json* field(const Json& map, const char* key) {
    if (!map.is_object()) return nullptr;
    const auto it = map.find(key);
    return it == map.end() || it->is_null() ? nullptr : &*it;
}

}  // namespace

std::optional<Json> decode(std::string_view body) {
    Json out;
    BoundedSax sax{out};
    if (!Json::sax_parse(body.begin(), body.end(), &sax, Json::input_format_t::cbor, true))
        return std::nullopt;
    return out;
}

std::string encode(const Json& v) {
    std::string out;
    Json::to_cbor(v, out);
    return out;
}

std::optional<std::string> text(const Json& map, const char* key) {
    const Json* f = field(map, key);
    if (f == nullptr || !f->is_string()) return std::nullopt;
    return f->get_ref<const std::string&>();
}

std::optional<std::uint64_t> whole(const Json& map, const char* key) {
    const Json* f = field(map, key);
    if (f == nullptr) return std::nullopt;
    if (f->is_number_unsigned()) return f->get<std::uint64_t>();
    if (f->is_number_integer() && f->get<std::int64_t>() >= 0)
        return static_cast<std::uint64_t>(f->get<std::int64_t>());
    return std::nullopt;
}

std::optional<double> number(const Json& map, const char* key) {
    const Json* f = field(map, key);
    if (f == nullptr || !f->is_number()) return std::nullopt;
    const double v = f->get<double>();
    if (!std::isfinite(v)) return std::nullopt;
    return v;
}

std::optional<bool> flag(const Json& map, const char* key) {
    const Json* f = field(map, key);
    if (f == nullptr || !f->is_boolean()) return std::nullopt;
    return f->get<bool>();
}

const Json* list(const Json& map, const char* key) {
    const Json* f = field(map, key);
    return f != nullptr && f->is_array() ? f : nullptr;
}

bool present(const Json& map, const char* key) { return field(map, key) != nullptr; }

}  // namespace hatchwind::wire
