/**
 * Main program greengageseamd, which reads its settings from flags and environment variables, runs
 * one role, and shuts it down gracefully on SIGTERM or SIGINT.
 */
#include "agent/agent.h"
#include "daemon/daemonusage.h"
#include "daemon/settings.h"
#include "entry/entry.h"
#include "net/machine.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <unistd.h>

namespace greengageseam {
namespace {

constexpr int exitSettings = 2;
constexpr int exitFailure = 1;

Log makeLog(const DaemonSettings &settings)
{
    boost::json::object fields;
    std::visit(
            [&](const auto &role) {
                fields["instance"] = role.instance.text();
                fields["zone"] = role.zone.text();
            },
            settings.role);
    return {settings.logLevel, fields};
}

/** Waits for a signal to stop, shuts the role down gracefully, and ends the event loop. */
template <typename RolePtr>
Awaitable<void> stopOnSignal(asio::io_context &context, RolePtr role)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    co_await role->shutDown();
    context.stop();
}

template <typename RoleClass, typename Settings>
int runRole(const Settings &settings, const Log &log)
{
    asio::io_context context(1);
    const auto role = std::make_shared<RoleClass>(context.get_executor(), settings, log);
    const VoidOutcome started = toOutcome([&]() -> Result<std::monostate> {
        BOOST_LEAF_CHECK(role->start());
        return std::monostate();
    });
    if (const Failure *failure = failureOf(started)) {
        std::cerr << "greengageseamd: " << failure->detail << "\n";
        return exitSettings;
    }
    asio::co_spawn(context, stopOnSignal(context, role), asio::detached);
    context.run();
    return 0;
}

int run(const std::vector<std::string> &arguments)
{
    const auto hasFlag = [&](const std::string &flag) {
        return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
    };
    if (hasFlag("--help") || hasFlag("-h")) {
        std::cout << daemonUsage;
        return 0;
    }
    if (hasFlag("--version")) {
        std::cout << "greengageseamd " << GGS_VERSION << "\n";
        return 0;
    }
    const Environment environment = readEnvironment(environ);
    const Outcome<DaemonSettings> read =
            toOutcome([&] { return readSettings(arguments, environment, machineLimits()); });
    if (const Failure *failure = failureOf(read)) {
        std::cerr << "greengageseamd: " << failure->detail << "\n";
        return exitSettings;
    }
    const auto &settings = std::get<DaemonSettings>(read);
    if (settings.checkOnly) {
        std::cout << "greengageseamd: the settings are valid\n";
        return 0;
    }
    mapLargeAllocations();
    const Log log = makeLog(settings);
    if (const auto *entry = std::get_if<EntrySettings>(&settings.role)) {
        return runRole<Entry>(*entry, log);
    }
    return runRole<Agent>(std::get<AgentSettings>(settings.role), log);
}

} // namespace
} // namespace greengageseam

int main(int argc, char **argv)
{
    try {
        return greengageseam::run({argv + 1, argv + argc});
    } catch (const std::exception &e) {
        std::cerr << "greengageseamd: " << e.what() << "\n";
        return greengageseam::exitFailure;
    }
}
