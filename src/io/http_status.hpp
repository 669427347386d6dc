/// The HTTP status codes that hatchwind sends or understands (RFC 9110, and RFC 6585 for 429).
#pragma once

namespace hatchwind::io::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessableContent = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kInternalServerError = 500;
inline constexpr int kServiceUnavailable = 503;

}  // namespace hatchwind::io::http_status
