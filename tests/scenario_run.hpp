/// Plays a scenario of tests/scenarios.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "emulator/play.hpp"
#include "emulator/toml_reader.hpp"

namespace hatchwind::test {

/// The scenario of that name as its file has it.
inline emulator::Scenario scenario(const std::string& name) {
    return emulator::read_scenario(std::string{HATCHWIND_SCENARIOS} + "/" + name + ".toml");
}

/// A run of the scenario with that seed, played to its end.
inline std::unique_ptr<emulator::Play> play_scenario(const std::string& name, std::uint64_t seed,
                                                     const emulator::PlayOptions& options = {}) {
    emulator::Scenario seeded = scenario(name);
    seeded.seed = seed;
    auto play = std::make_unique<emulator::Play>(std::move(seeded), options);
    play->run();
    return play;
}

}  // namespace hatchwind::test
