// The record of a run: one line an event, in order. Two runs of the same seed must give the same bytes.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/loop.hpp"

namespace hatchwind::emulator {

class Trace {
  public:
    // `keep_packets`: every packet gets a line; otherwise packets only enter the fingerprint.
    explicit Trace(bool keep_packets) : keep_packets_(keep_packets) {}

    // One line: the time in seconds since the start, where it happened, and what did.
    void line(io::Micros at, std::string_view where, std::string_view what);
    // A packet that arrived. Its bytes enter the fingerprint, its line is kept only if asked for.
    void packet(io::Micros at, std::string_view from, std::string_view to, std::string_view kind,
                std::string_view bytes);

    const std::string& text() const { return text_; }
    // Depends on every line and on every byte that arrived anywhere.
    std::uint64_t fingerprint() const { return fingerprint_; }

  private:
    void mix(std::string_view bytes);

    bool keep_packets_;
    std::string text_;
    std::uint64_t fingerprint_ = 14695981039346656037ULL;
};

}  // namespace hatchwind::emulator
