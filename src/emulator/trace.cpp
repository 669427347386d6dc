#include "emulator/trace.hpp"

#include <fmt/format.h>

#include <functional>

namespace hatchwind::emulator {

void Trace::mix(std::string_view bytes) {
    // FNV's step over the standard library's hash of the bytes, which has no seed of its own.
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    fingerprint_ = (fingerprint_ ^ std::hash<std::string_view>{}(bytes)) * kPrime;
}

void Trace::line(io::Micros at, std::string_view where, std::string_view what) {
    const std::size_t begin = text_.size();
    fmt::format_to(std::back_inserter(text_), "{:.6f} {} {}\n", static_cast<double>(at.count()) / 1e6, where,
                   what);
    mix(std::string_view{text_}.substr(begin));
}

void Trace::packet(io::Micros at, std::string_view from, std::string_view to, std::string_view kind,
                   std::string_view bytes) {
    mix(bytes);
    fingerprint_ += static_cast<std::uint64_t>(at.count());
    if (!keep_packets_) return;
    line(at, to,
         fmt::format("packet kind={} from={} bytes={} hash={:016x}", kind, from, bytes.size(), fingerprint_));
}

}  // namespace hatchwind::emulator
