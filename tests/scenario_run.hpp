/// Runs emulator scenarios from tests/scenarios.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "emulator/play.hpp"
#include "emulator/toml_reader.hpp"

namespace hatchwind::test {

/// Reads the scenario file with this name.
inline emulator::Scenario scenario(const std::string& name) {
    return emulator::read_scenario(std::string{HATCHWIND_SCENARIOS} + "/" + name + ".toml");
}

/// Runs the scenario with the given seed to its end and returns the finished run.
inline std::unique_ptr<emulator::Play> play_scenario(const std::string& name, std::uint64_t seed,
                                                     const emulator::PlayOptions& options = {}) {
    emulator::Scenario seeded = scenario(name);
    seeded.seed = seed;
    auto play = std::make_unique<emulator::Play>(std::move(seeded), options);
    play->run();
    return play;
}

}  // namespace hatchwind::test
