// hatchwind-emulator: plays a scenario in simulated time and says whether a rule broke.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>

#include "emulator/play.hpp"
#include "emulator/toml_reader.hpp"

namespace {

using hatchwind::emulator::Play;
using hatchwind::emulator::PlayOptions;
using hatchwind::emulator::Scenario;

constexpr int kBrokenRule = 1;
constexpr int kBadScenario = 2;

struct Arguments {
    std::string scenario;
    std::optional<std::uint64_t> seed;
    std::uint64_t first_seed = 1;
    std::uint64_t count = 16;
    std::string trace;
    bool packets = false;
    bool quiet = false;
    int log_level = 2;
};

double seconds_since(std::chrono::steady_clock::time_point begun) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
}

PlayOptions options_of(const Arguments& arguments) {
    PlayOptions options;
    options.trace_packets = arguments.packets;
    options.log_level = arguments.log_level;
    if (!arguments.quiet) {
        options.progress = [](std::chrono::microseconds now) {
            std::fprintf(stderr, "\r%lld s simulated", static_cast<long long>(now.count() / 1'000'000));
        };
    }
    return options;
}

void write_trace(const std::string& path, const std::string& text) {
    if (path.empty()) return;
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (!file) throw std::runtime_error(path + ": can't be written");
}

int run(const Arguments& arguments) {
    Scenario scenario = hatchwind::emulator::read_scenario(arguments.scenario);
    if (arguments.seed) scenario.seed = *arguments.seed;
    const std::string name = scenario.name;
    const auto seed = static_cast<unsigned long long>(scenario.seed);
    const auto begun = std::chrono::steady_clock::now();
    Play play(std::move(scenario), options_of(arguments));
    play.run();
    const double took = seconds_since(begun);
    if (!arguments.quiet) std::fprintf(stderr, "\n");
    write_trace(arguments.trace, play.world().trace().text());
    std::printf("%s%s", play.figures().c_str(), play.verdict().c_str());
    std::printf("scenario %s, seed %llu: played in %.2f s, %llu events, %llu packets, fingerprint %016llx\n",
                name.c_str(), seed, took, static_cast<unsigned long long>(play.world().events()),
                static_cast<unsigned long long>(play.world().network().packets()),
                static_cast<unsigned long long>(play.world().trace().fingerprint()));
    return play.right() ? 0 : kBrokenRule;
}

int hunt(const Arguments& arguments) {
    const Scenario scenario = hatchwind::emulator::read_scenario(arguments.scenario);
    std::uint64_t broken = 0;
    for (std::uint64_t i = 0; i < arguments.count; ++i) {
        Scenario chosen = scenario;
        chosen.seed = arguments.first_seed + i;
        PlayOptions options;
        options.log_level = arguments.log_level;
        Play play(chosen, options);
        play.run();
        if (!play.right()) ++broken;
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(chosen.seed),
                    play.right() ? "right" : "NOT RIGHT");
        if (!play.right()) std::printf("%s", play.verdict().c_str());
        std::fflush(stdout);
    }
    std::printf("%llu of %llu runs not right\n", static_cast<unsigned long long>(broken),
                static_cast<unsigned long long>(arguments.count));
    return broken == 0 ? 0 : kBrokenRule;
}

}  // namespace

// The command line's set-up throws on a mistake in this file only.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int count, char** values) {
    CLI::App app{
        "Plays hatchwind's controllers against simulated workers, cloud, users, state service and network"};
    app.require_subcommand(1);
    Arguments arguments;
    CLI::App* run_command = app.add_subcommand("run", "Play a scenario once");
    run_command->add_option("scenario", arguments.scenario, "TOML file")->required();
    run_command->add_option("--seed", arguments.seed, "Instead of the scenario's own");
    run_command->add_option("--trace", arguments.trace, "Write the trace to this file");
    run_command->add_flag("--packets", arguments.packets, "The trace has a line for every packet");
    run_command->add_flag("--quiet", arguments.quiet, "No progress");
    run_command->add_option("--log-level", arguments.log_level, "0 trace, 1 debug, 2 info, 3 warn, 6 off");
    CLI::App* hunt_command = app.add_subcommand("hunt", "Play a scenario with many seeds");
    hunt_command->add_option("scenario", arguments.scenario, "TOML file")->required();
    hunt_command->add_option("--first-seed", arguments.first_seed, "The first seed");
    hunt_command->add_option("--count", arguments.count, "How many seeds");
    hunt_command->add_option("--log-level", arguments.log_level, "0 trace, 1 debug, 2 info, 3 warn, 6 off");
    CLI11_PARSE(app, count, values);
    try {
        return run_command->parsed() ? run(arguments) : hunt(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "hatchwind-emulator: %s\n", error.what());
        return kBadScenario;
    }
}
