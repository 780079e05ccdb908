/**
 * greengageseam: the operators' command-line tool. This file reads the command line and the
 * environment, and runs the selected command.
 */
#include "net/endpoint.h"
#include "tool/check.h"
#include "tool/commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace greengageseam {
namespace {

const std::string toolUsage = R"(greengageseam: shows and changes the configuration of a deployment.

Usage:
  greengageseam [options] table show
  greengageseam [options] change propose <edit>...
  greengageseam [options] change accept <edit>...
  greengageseam [options] change show <id>
  greengageseam [options] history
  greengageseam [options] audit
  greengageseam [options] report
  greengageseam [options] publish <file>
  greengageseam [options] instance drain <instance>
  greengageseam [options] check <config>
  greengageseam (-h | --help)
  greengageseam --version

An edit is path=value, or path= to clear a cell. A proposal changes nothing: it reports
the verdict that the change would get. 'change accept' returns when the change has been
read back from the log. If it exits with 4, repeat it with the same --id and --base: a
change takes effect only once.

Options:
  --entry=<address>     HTTP address of an entry, or GREENGAGESEAM_ENTRY.
  --token=<token>       The operator's token, or GREENGAGESEAM_TOKEN.
  --store=<address>     The weight store, or GREENGAGESEAM_STORE (publish).
  --chunk-bytes=<n>     Size of a chunk, 1024 to 67108864 [default: 1048576].
  --note=<text>         Reason for the change [default: ].
  --id=<id>             Identifier of the change, for a retry [default: ].
  --base=<offset>       Offset of the table that the change was made against; a cell
                        changed since then is a conflict. Unset: the newest.
  --cell=<path>         Only changes of this cell [default: ].
  --author=<name>       Only changes by this operator [default: ].
  --against=<file>      The configuration that is to be replaced: a file, or 'store' for the
                        one in force (check).
  --platform-store=<address>  The platform's store, or GREENGAGESEAM_PLATFORM_STORE
                        (check --against=store).
  --json                Print JSON.
  -h --help             Show this text.
  --version             Show the version.

'history' shows the newest 512 changes, 'audit' all that the log still contains.

'check' reads a configuration of the users' platform from a file and needs no entry. It
reports errors, entries that can never match, limits that contradict each other, and with
--against what changes for callers. Its exit codes: 0 nothing found, 1 warnings, 2 errors.

Exit codes: 0 done, 1 failed or rejected, 2 wrong usage, 3 conflict with another change,
4 outcome not known yet (query it with 'change show').
)";

/** Parsed command line. */
using Arguments = std::map<std::string, docopt::value>;

/** Value of --against that stands for the configuration in force. */
constexpr std::string_view storeWord = "store";
constexpr std::uint64_t minChunkBytes = 1024;
constexpr std::uint64_t maxOffset = 1ULL << 62U;
constexpr std::uint64_t maxToolChunkBytes = 64ULL * 1024 * 1024;

std::string optionOrEnvironment(const Arguments &options, const std::string &flag,
                                const char *environmentVariable)
{
    const auto it = options.find(flag);
    if (it != options.end() && it->second.isString()) {
        return it->second.asString();
    }
    const char *value = std::getenv(environmentVariable);
    return value == nullptr ? "" : value;
}

/**
 * Reads an address from a flag, or from an environment variable if the flag is not set.
 * @returns InvalidRequest if it is missing or invalid
 */
Result<Address> requiredAddress(const Arguments &options, const std::string &flag,
                                const char *environmentVariable)
{
    const Address address(optionOrEnvironment(options, flag, environmentVariable));
    const auto endpoint = toOutcome([&] { return parseEndpoint(address); });
    if (const Failure *failure = failureOf(endpoint)) {
        return fail(ErrorKind::InvalidRequest, flag + ": " + failure->detail);
    }
    return address;
}

/** Parses a decimal number. @returns InvalidRequest if it is invalid or out of range */
Result<std::uint64_t> parseNumber(const std::string &flag, const std::string &text,
                                  std::uint64_t minimum, std::uint64_t maximum)
{
    std::uint64_t n = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || parsedEnd != end || n < minimum || n > maximum) {
        return fail(ErrorKind::InvalidRequest,
                    flag + ": '" + text + "' is invalid; expected an integer from "
                            + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return n;
}

Result<std::uint64_t> chunkBytes(const Arguments &options)
{
    return parseNumber("--chunk-bytes", options.at("--chunk-bytes").asString(), minChunkBytes,
                       maxToolChunkBytes);
}

Result<std::optional<std::uint64_t>> baseOffset(const Arguments &options)
{
    const docopt::value &text = options.at("--base");
    if (!text.isString()) {
        return std::optional<std::uint64_t>();
    }
    BOOST_LEAF_AUTO(n, parseNumber("--base", text.asString(), 0, maxOffset));
    return std::optional(n);
}

/** Runs the command that the command line selects. */
Awaitable<ToolExit> runCommand(asio::any_io_executor executor, Arguments options,
                               ToolSettings settings, std::uint64_t chunkSize,
                               std::optional<std::uint64_t> base)
{
    const auto hasWord = [&](const char *word) { return options.at(word).asBool(); };
    const auto text = [&](const char *name) { return options.at(name).asString(); };
    if (hasWord("table")) {
        co_return co_await showTable(executor, settings);
    }
    if (hasWord("report")) {
        co_return co_await showReport(executor, settings);
    }
    if (hasWord("history")) {
        std::string cell = text("--cell");
        co_return co_await showHistory(executor, settings, std::move(cell));
    }
    if (hasWord("audit")) {
        std::string cell = text("--cell");
        std::string author = text("--author");
        co_return co_await showAudit(executor, settings, std::move(cell), std::move(author));
    }
    if (hasWord("publish")) {
        co_return co_await publishFile(executor, settings, text("<file>"), chunkSize);
    }
    if (hasWord("instance")) {
        co_return co_await drainInstance(executor, settings, text("<instance>"));
    }
    if (hasWord("show")) {
        co_return co_await showChange(executor, settings, text("<id>"));
    }
    ChangeRequest change {options.at("<edit>").asStringList(), text("--note"), text("--id"), base,
                          hasWord("propose")};
    co_return co_await sendChange(executor, settings, std::move(change));
}

Result<ToolSettings> readToolSettings(const Arguments &options)
{
    ToolSettings settings;
    settings.token = optionOrEnvironment(options, "--token", "GREENGAGESEAM_TOKEN");
    settings.asJson = options.at("--json").asBool();
    if (options.at("publish").asBool()) {
        BOOST_LEAF_ASSIGN(settings.store,
                          requiredAddress(options, "--store", "GREENGAGESEAM_STORE"));
    } else {
        BOOST_LEAF_ASSIGN(settings.entry,
                          requiredAddress(options, "--entry", "GREENGAGESEAM_ENTRY"));
    }
    return settings;
}

Result<CheckRequest> readCheckRequest(const Arguments &options)
{
    CheckRequest request;
    request.file = options.at("<config>").asString();
    const docopt::value &against = options.at("--against");
    if (against.isString() && against.asString() == storeWord) {
        BOOST_LEAF_ASSIGN(
                request.store,
                requiredAddress(options, "--platform-store", "GREENGAGESEAM_PLATFORM_STORE"));
    } else if (against.isString()) {
        request.against = against.asString();
    }
    request.asJson = options.at("--json").asBool();
    return request;
}

Result<Arguments> parseArguments(const std::vector<std::string> &arguments)
{
    try {
        return docopt::docopt_parse(toolUsage, arguments, false, false);
    } catch (const std::exception &e) {
        return fail(ErrorKind::InvalidRequest, std::string("invalid command line: ") + e.what());
    }
}

int run(const std::vector<std::string> &arguments)
{
    const Outcome<Arguments> parsed = toOutcome([&] { return parseArguments(arguments); });
    if (const Failure *failure = failureOf(parsed)) {
        std::cerr << "greengageseam: " << failure->detail << "\n" << toolUsage;
        return static_cast<int>(ToolExit::Usage);
    }
    const auto &options = std::get<Arguments>(parsed);
    if (options.at("--help").asBool()) {
        std::cout << toolUsage;
        return static_cast<int>(ToolExit::Done);
    }
    if (options.at("--version").asBool()) {
        std::cout << "greengageseam " << GGS_VERSION << "\n";
        return static_cast<int>(ToolExit::Done);
    }
    if (options.at("check").asBool()) {
        const Outcome<CheckRequest> request = toOutcome([&] { return readCheckRequest(options); });
        if (const Failure *failure = failureOf(request)) {
            std::cerr << "greengageseam: " << failure->detail << "\n";
            return static_cast<int>(ToolExit::Usage);
        }
        return static_cast<int>(checkFile(std::get<CheckRequest>(request)));
    }
    const Outcome<ToolSettings> settings = toOutcome([&] { return readToolSettings(options); });
    const Outcome<std::uint64_t> size = toOutcome([&] { return chunkBytes(options); });
    const auto base = toOutcome([&] { return baseOffset(options); });
    for (const Failure *failure : {failureOf(settings), failureOf(size), failureOf(base)}) {
        if (failure != nullptr) {
            std::cerr << "greengageseam: " << failure->detail << "\n";
            return static_cast<int>(ToolExit::Usage);
        }
    }
    asio::io_context context(1);
    ToolExit result = ToolExit::Failed;
    asio::co_spawn(context,
                   runCommand(context.get_executor(), options, std::get<ToolSettings>(settings),
                              std::get<std::uint64_t>(size),
                              std::get<std::optional<std::uint64_t>>(base)),
                   [&](const std::exception_ptr &error, ToolExit code) {
                       result = error ? ToolExit::Failed : code;
                   });
    context.run();
    return static_cast<int>(result);
}

} // namespace
} // namespace greengageseam

int main(int argc, char **argv)
{
    try {
        return greengageseam::run({argv + 1, argv + argc});
    } catch (const std::exception &e) {
        std::cerr << "greengageseam: " << e.what() << "\n";
        return static_cast<int>(greengageseam::ToolExit::Failed);
    }
}
