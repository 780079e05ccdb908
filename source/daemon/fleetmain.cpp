/**
 * Main program greengageseam-fleetd, which runs one role on the platform. It reads its settings
 * from the platform's settings file, reloads that file on SIGHUP, and shuts down gracefully on
 * SIGTERM or SIGINT.
 */
#include "core/fleet/hedgepolicy.h"
#include "edge/edge.h"
#include "net/machine.h"
#include "platform/platform.h"
#include "sidecar/sidecar.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace greengageseam {
namespace {

constexpr int exitSettings = 2;
constexpr int exitFailure = 1;
constexpr std::string_view secretVariable = "GREENGAGESEAM_SECRET";

constexpr std::string_view usage =
        R"(greengageseam-fleetd: runs one role of greengageseam on the platform.

Usage:
  greengageseam-fleetd (entry | agent) [--check-settings]
  greengageseam-fleetd (-h | --help | --version)

All other settings are read from the file named by GREENGAGESEAM_CONFIG. GREENGAGESEAM_SECRET is
a secret shared by all processes of a deployment. GREENGAGESEAM_LOG_LEVEL is error, warning, info
or debug; the default is info. GREENGAGESEAM_HEDGE_RATIO is the share of the requests, 0 to 0.2,
that an entry may send to a second backend server when the first is later than usual; the default
is 0.
)";

std::string environmentVariable(std::string_view name)
{
    const char *value = std::getenv(std::string(name).c_str());
    return value == nullptr ? std::string() : std::string(value);
}

/** Reads the settings that are variables of the environment into @p settings. */
Result<NodeSettings> withEnvironment(NodeSettings settings)
{
    const std::string name = "GREENGAGESEAM_HEDGE_RATIO";
    const std::string text = environmentVariable(name);
    const std::optional<double> ratio = text.empty() ? std::optional(0.0) : parseHedgeRatio(text);
    if (!ratio) {
        return fail(ErrorKind::InvalidRequest,
                    name + ": '" + text + "' is invalid; expected a number from 0 to 0.2");
    }
    settings.hedgeRatio = *ratio;
    return settings;
}

Result<NodeSettings> readSettingsFile()
{
    const std::string path = environmentVariable(settingsPathVariable);
    if (path.empty()) {
        return fail(ErrorKind::InvalidRequest, std::string(settingsPathVariable) + " is not set");
    }
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return fail(ErrorKind::InvalidRequest, path + ": the settings file cannot be read");
    }
    BOOST_LEAF_AUTO(settings, decodeSettings(text.str()));
    return withEnvironment(std::move(settings));
}

/** Reloads the settings on SIGHUP; on SIGTERM or SIGINT, shuts the role down and ends the loop. */
template <typename Role>
Awaitable<void> handleSignals(asio::io_context &context, Role &role, Log log)
{
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        auto [ec, signal] = co_await signals.async_wait(asTuple);
        if (ec || signal != SIGHUP) {
            break;
        }
        const Outcome<NodeSettings> read = toOutcome([] { return readSettingsFile(); });
        if (const Failure *failure = failureOf(read)) {
            log.error("settings.refused", {{"reason", failure->detail}});
        } else {
            role.reload(std::get<NodeSettings>(read));
        }
    }
    co_await role.shutDown();
    context.stop();
}

template <typename Role>
int runRole(asio::io_context &context, Role &role, const Log &log)
{
    const VoidOutcome started = toOutcome([&]() -> Result<std::monostate> {
        BOOST_LEAF_CHECK(role.start());
        return std::monostate();
    });
    if (const Failure *failure = failureOf(started)) {
        std::cerr << "greengageseam-fleetd: " << failure->detail << "\n";
        return exitSettings;
    }
    asio::co_spawn(context, handleSignals(context, role, log), asio::detached);
    context.run();
    return 0;
}

int run(const std::vector<std::string> &arguments)
{
    const std::string role = arguments.empty() ? std::string() : arguments.front();
    if (role == "-h" || role == "--help") {
        std::cout << usage;
        return 0;
    }
    if (role == "--version") {
        std::cout << "greengageseam-fleetd " << GGS_VERSION << "\n";
        return 0;
    }
    if (role != "entry" && role != "agent") {
        std::cerr << usage;
        return exitSettings;
    }
    const Outcome<NodeSettings> read = toOutcome([] { return readSettingsFile(); });
    const std::string levelName = environmentVariable("GREENGAGESEAM_LOG_LEVEL");
    const auto level = levelName.empty() ? LogLevel::Info : parseLogLevel(levelName);
    if (const Failure *failure = failureOf(read); failure != nullptr || !level) {
        std::cerr << "greengageseam-fleetd: "
                  << (failure != nullptr ? failure->detail
                                         : "GREENGAGESEAM_LOG_LEVEL: '" + levelName
                                      + "' is invalid; expected error, warning, "
                                        "info or debug")
                  << "\n";
        return exitSettings;
    }
    const auto &settings = std::get<NodeSettings>(read);
    if (arguments.size() > 1 && arguments[1] == "--check-settings") {
        std::cout << "greengageseam-fleetd: the settings are valid\n";
        return 0;
    }
    mapLargeAllocations();
    std::signal(SIGPIPE, SIG_IGN);
    const Log log(*level, {{"instance", settings.instance.text()}});
    asio::io_context context(1);
    const PlatformAdapter adapter = makePlatformAdapter(context.get_executor(), settings);
    if (role == "entry") {
        Edge edge(context.get_executor(), settings, adapter, environmentVariable(secretVariable),
                  log);
        return runRole(context, edge, log);
    }
    Sidecar sidecar(context.get_executor(), settings, adapter, environmentVariable(secretVariable),
                    log);
    return runRole(context, sidecar, log);
}

} // namespace
} // namespace greengageseam

int main(int argc, char **argv)
{
    try {
        return greengageseam::run({argv + 1, argv + argc});
    } catch (const std::exception &e) {
        std::cerr << "greengageseam-fleetd: " << e.what() << "\n";
        return greengageseam::exitFailure;
    }
}
