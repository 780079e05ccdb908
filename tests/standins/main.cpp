/**
 * greengageseam-standin: stand-ins for the platform, engines and services that the system talks to.
 * For tests and `make run` only.
 */
#include "enginestandin.h"
#include "net/httpserver.h"
#include "platformstandin.h"
#include "servicestandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace greengageseam {
namespace {

const std::string usage = R"(greengageseam-standin: stand-ins for tests.

Usage:
  greengageseam-standin platform --listen=<address> --admin=<address> [--origin-rate=<bytes>]
                                 [--kept-records=<n>]
  greengageseam-standin engine --listen=<address> --admin=<address> [--ignores-fence]
                               [--slots=<n>] [--batch=<n>] [--token-us=<n>] [--load-ms=<n>]
  greengageseam-standin service --listen=<address> --admin=<address>

Options:
  --listen=<address>     Address that the system connects to.
  --admin=<address>      Address to inject faults and to read counters.
  --origin-rate=<bytes>  Bytes per second of the origin, 0 for no limit [default: 0].
  --kept-records=<n>     Records that a stream of the log retains [default: 100000].
  --ignores-fence        The engine accepts orders with an outdated fencing number.
  --slots=<n>            Versions that the engine can load at a time [default: 2].
  --batch=<n>            Requests that the engine can run at a time [default: 64].
  --token-us=<n>         Microseconds between two tokens [default: 2000].
  --load-ms=<n>          Milliseconds for loading a version [default: 50].
)";

using Arguments = std::map<std::string, docopt::value>;

/** The two request handlers of a stand-in. */
struct Handlers
{
    HttpHandler system;
    HttpHandler admin;
};

template <typename Standin>
Handlers handlersOf(const std::shared_ptr<Standin> &standin)
{
    return {[standin](HttpExchange &exchange) { return standin->handle(exchange); },
            [standin](HttpExchange &exchange) { return standin->handleAdmin(exchange); }};
}

std::uint32_t number(const Arguments &arguments, const std::string &name)
{
    return static_cast<std::uint32_t>(arguments.at(name).asLong());
}

Handlers makeHandlers(const Arguments &arguments, const asio::any_io_executor &executor)
{
    if (arguments.at("platform").asBool()) {
        const PlatformOptions options {number(arguments, "--origin-rate"),
                                       number(arguments, "--kept-records")};
        return handlersOf(std::make_shared<PlatformStandin>(options));
    }
    if (arguments.at("engine").asBool()) {
        EngineOptions options;
        options.checksFence = !arguments.at("--ignores-fence").asBool();
        options.slots = number(arguments, "--slots");
        options.batch = number(arguments, "--batch");
        options.tokenTime = std::chrono::microseconds(number(arguments, "--token-us"));
        options.loadTime = std::chrono::milliseconds(number(arguments, "--load-ms"));
        return handlersOf(std::make_shared<EngineStandin>(executor, options));
    }
    return handlersOf(std::make_shared<ServiceStandin>());
}

int run(const std::vector<std::string> &words)
{
    const Arguments arguments = docopt::docopt(usage, words, true);
    asio::io_context context(1);
    const asio::any_io_executor executor = context.get_executor();
    const Handlers handlers = makeHandlers(arguments, executor);
    const Log log(LogLevel::Warning, {});
    const auto options = HttpServerOptions().withMaxBodyBytes(128U * 1024 * 1024);
    std::vector<std::shared_ptr<HttpServer>> servers;
    for (const auto &[flag, handler] :
         {std::pair("--listen", handlers.system), std::pair("--admin", handlers.admin)}) {
        const auto server = std::make_shared<HttpServer>(executor, options,
                                                         makeUnlimitedBudget(log), handler, log);
        const Address address(arguments.at(flag).asString());
        const Outcome<Address> bound = toOutcome([&] { return server->listen(address); });
        if (const Failure *failure = failureOf(bound)) {
            std::cerr << "greengageseam-standin: " << failure->detail << "\n";
            return 2;
        }
        server->start();
        servers.push_back(server);
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace
} // namespace greengageseam

int main(int argc, char **argv)
{
    return greengageseam::run({argv + 1, argv + argc});
}
