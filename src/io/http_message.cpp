#include "io/http_message.hpp"

namespace hatchwind::io {

namespace {

/// More than the head of any message of ours takes, its target not counted.
constexpr std::size_t kReservedHeadBytes = 160;

constexpr std::string_view kContentHeaders = "\r\nContent-Type: application/cbor\r\nContent-Length: ";
constexpr std::string_view kEndOfHead = "\r\n\r\n";

const char* reason_phrase(int status) {
    switch (status) {
        case http_status::kOk:
            return "OK";
        case http_status::kCreated:
            return "Created";
        case http_status::kBadRequest:
            return "Bad Request";
        case http_status::kNotFound:
            return "Not Found";
        case http_status::kMethodNotAllowed:
            return "Method Not Allowed";
        case http_status::kConflict:
            return "Conflict";
        case http_status::kMisdirectedRequest:
            return "Misdirected Request";
        case http_status::kUnprocessableContent:
            return "Unprocessable Entity";
        case http_status::kTooManyRequests:
            return "Too Many Requests";
        case http_status::kServiceUnavailable:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

}  // namespace

std::string render_request(std::string_view method, std::string_view target, std::string_view body) {
    std::string rendered;
    rendered.reserve(kReservedHeadBytes + target.size() + body.size());
    rendered += method;
    rendered += ' ';
    rendered += target;
    rendered += " HTTP/1.1\r\nHost: hatchwind";
    rendered += kContentHeaders;
    rendered += std::to_string(body.size());
    rendered += kEndOfHead;
    rendered += body;
    return rendered;
}

std::string render_response(const HttpResponse& response, bool keep_alive) {
    std::string rendered;
    rendered.reserve(kReservedHeadBytes + response.body.size());
    rendered += "HTTP/1.1 ";
    rendered += std::to_string(response.status);
    rendered += ' ';
    rendered += reason_phrase(response.status);
    rendered += kContentHeaders;
    rendered += std::to_string(response.body.size());
    if (response.retry_after_s > 0) {
        rendered += "\r\nRetry-After: ";
        rendered += std::to_string(response.retry_after_s);
    }
    if (!keep_alive) rendered += "\r\nConnection: close";
    rendered += kEndOfHead;
    rendered += response.body;
    return rendered;
}

}  // namespace hatchwind::io
