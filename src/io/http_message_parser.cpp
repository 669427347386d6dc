#include "io/http_message_parser.hpp"

#include <algorithm>
#include <charconv>

namespace hatchwind::io {

namespace {

constexpr std::string_view kRetryAfter = "retry-after";
constexpr int kGoOn = 0;  // what callbacks of the library return

/// Compares with a name in lower case. Header names are ASCII, where one bit tells the cases apart.
bool is_header(std::string_view name, std::string_view lower_case_name) {
    constexpr int kLowerCaseBit = 0x20;
    return std::equal(name.begin(), name.end(), lower_case_name.begin(), lower_case_name.end(),
                      [](char left, char right) { return (left | kLowerCaseBit) == right; });
}

}  // namespace

HttpMessageParser::HttpMessageParser(MessageKind kind, std::size_t max_body_bytes)
    : kind_(kind), max_body_bytes_(max_body_bytes) {
    parser_.data = this;
    reset();
}

void HttpMessageParser::reset() {
    http_parser_init(&parser_, kind_ == MessageKind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    target_.clear();
    body_.clear();
    header_name_.clear();
    header_value_.clear();
    retry_after_s_ = 0;
    complete_ = false;
    malformed_ = false;
    body_too_large_ = false;
    keeps_connection_ = false;
}

const http_parser_settings& HttpMessageParser::callbacks() {
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = [](http_parser* parser, const char* data, std::size_t size) {
            parser_of(parser).target_.append(data, size);
            return kGoOn;
        };
        made.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
            parser_of(parser).append_header_name({data, size});
            return kGoOn;
        };
        made.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
            parser_of(parser).header_value_.append(data, size);
            return kGoOn;
        };
        made.on_headers_complete = [](http_parser* parser) {
            parser_of(parser).finish_header();
            return kGoOn;
        };
        made.on_body = [](http_parser* parser, const char* data, std::size_t size) {
            parser_of(parser).append_body({data, size});
            return kGoOn;
        };
        made.on_message_complete = [](http_parser* parser) {
            parser_of(parser).finish_message();
            return kGoOn;
        };
        return made;
    }();
    return settings;
}

std::size_t HttpMessageParser::parse(std::string_view data) {
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks(), data.data(), data.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED) {
        http_parser_pause(&parser_, 0);
    } else if (error != HPE_OK) {
        malformed_ = true;
    }
    return parsed;
}

std::string HttpMessageParser::method() const {
    return http_method_str(static_cast<http_method>(parser_.method));
}

void HttpMessageParser::append_header_name(std::string_view part) {
    // Both names and values come in parts: a name after a value belongs to the next header.
    if (!header_value_.empty()) finish_header();
    header_name_.append(part);
}

void HttpMessageParser::append_body(std::string_view part) {
    if (body_.size() + part.size() > max_body_bytes_) {
        body_too_large_ = true;
        body_.clear();
    }
    if (!body_too_large_) body_.append(part);
}

void HttpMessageParser::finish_header() {
    if (is_header(header_name_, kRetryAfter))
        std::from_chars(header_value_.data(), header_value_.data() + header_value_.size(), retry_after_s_);
    header_name_.clear();
    header_value_.clear();
}

void HttpMessageParser::finish_message() {
    complete_ = true;
    keeps_connection_ = http_should_keep_alive(&parser_) != 0;
    // What follows belongs to the next message.
    http_parser_pause(&parser_, 1);
}

}  // namespace hatchwind::io
