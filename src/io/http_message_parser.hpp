/// Reads HTTP/1.1 messages piece by piece as they arrive, on the library http-parser.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace hatchwind::io {

/// Parses one message at a time. Of the headers it keeps `Retry-After` alone. Stays where it is made: the
/// library holds a pointer to it.
class HttpMessageParser {
  public:
    enum class MessageKind : std::uint8_t { request, response };

    /// A body beyond `max_body_bytes` is read to its end but not kept, so that its sender still gets an
    /// answer.
    HttpMessageParser(MessageKind kind, std::size_t max_body_bytes);
    HttpMessageParser(const HttpMessageParser&) = delete;
    HttpMessageParser& operator=(const HttpMessageParser&) = delete;

    /// Forgets the message, for the next one on the same connection.
    void reset();
    /// Parses `data`, no further than to the end of the message, and returns how many bytes that took. Empty
    /// data stands for the end of the stream, which ends a response without a length.
    std::size_t parse(std::string_view data);

    /// The whole message has been parsed.
    bool is_complete() const { return complete_; }
    /// What came is no message; nothing more can be parsed.
    bool is_malformed() const { return malformed_; }
    /// The body is larger than allowed, and is not kept.
    bool is_body_too_large() const { return body_too_large_; }
    /// Some of the body has arrived.
    bool has_body() const { return body_too_large_ || !body_.empty(); }

    /// Of a complete message: whether the connection can carry another one.
    bool keeps_connection() const { return keeps_connection_; }
    /// Of a complete request.
    std::string method() const;
    /// Of a complete response.
    int status() const { return static_cast<int>(parser_.status_code); }
    /// Of a complete response; 0: there was no such header, or none that can be read.
    int retry_after_s() const { return retry_after_s_; }
    /// Moves the target of a request out.
    std::string take_target() { return std::move(target_); }
    /// Moves the body out.
    std::string take_body() { return std::move(body_); }

  private:
    static const http_parser_settings& callbacks();
    static HttpMessageParser& parser_of(http_parser* parser) {
        return *static_cast<HttpMessageParser*>(parser->data);
    }
    void append_header_name(std::string_view part);
    void append_body(std::string_view part);
    void finish_header();
    void finish_message();

    http_parser parser_{};
    MessageKind kind_;
    std::size_t max_body_bytes_;
    std::string target_;
    std::string body_;
    std::string header_name_;   // of the header that is being parsed
    std::string header_value_;  // likewise
    int retry_after_s_ = 0;
    bool complete_ = false;
    bool malformed_ = false;
    bool body_too_large_ = false;
    bool keeps_connection_ = false;
};

}  // namespace hatchwind::io
