// Arguments, settings, logging.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "config/properties.hpp"
#include "config/settings.hpp"
#include "config/settings_error.hpp"
#include "config/tunables.hpp"
#include "controller/controller.hpp"

namespace {

constexpr const char* kVersion = "0.1.0";
constexpr int kBadSettings = 2;

void set_up_log() {
    auto log =
        std::make_shared<spdlog::logger>("hatchwind", std::make_shared<spdlog::sinks::stderr_sink_st>());
    log->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    const char* level = std::getenv("LOG_LEVEL");
    const std::string wanted = level == nullptr ? "info" : level;
    log->set_level(wanted == "error"   ? spdlog::level::err
                   : wanted == "debug" ? spdlog::level::debug
                                       : spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
}

}  // namespace

// What escapes from here is a defect, and ends the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    using namespace hatchwind;
    CLI::App app{"hatchwind: a cluster scheduler"};
    std::string config;
    std::string properties;
    bool check = false;
    bool version = false;
    app.add_option("--config", config, "The platform's settings file (JSON)");
    app.add_option("--properties", properties, "Operators' own settings (Java-style properties)");
    app.add_flag("--check-config", check, "Check both files and end");
    app.add_flag("--version", version, "Print the version and end");
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& e) {
        return app.exit(e);
    } catch (const CLI::ParseError& e) {
        app.exit(e);
        return kBadSettings;
    }
    if (version) {
        std::printf("hatchwind %s\n", kVersion);
        return 0;
    }
    set_up_log();
    try {
        if (config.empty())
            throw controller::SettingsError("--config", "nothing", "the path of a settings file");
        const auto settings = controller::parse_settings(controller::read_file(config));
        const auto props = properties.empty()
                               ? controller::Properties{}
                               : controller::parse_properties(controller::read_file(properties));
        const auto tunables = controller::parse_tunables(props, settings);
        if (check) {
            std::printf("settings are valid\n");
            return 0;
        }
        ::signal(SIGPIPE, SIG_IGN);
        io::Loop loop;
        controller::Controller service{loop, settings, tunables};
        spdlog::info("event=started label={} zone={} version={}", settings.label, settings.zone, kVersion);
        service.start();
        loop.run();
        return 0;
    } catch (const controller::SettingsError& e) {
        std::fprintf(stderr, "hatchwind: %s\n", e.what());
        return kBadSettings;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "hatchwind: %s\n", e.what());
        return 1;
    }
}
