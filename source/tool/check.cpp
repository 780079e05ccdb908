#include "tool/check.h"

#include "core/fleet/configcheck.h"
#include "platform/configformat.h"
#include "platform/storedconfig.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr auto storeTimeout = std::chrono::seconds(5);

/** What there is to tell of one file. */
struct CheckReport
{
    std::vector<ConfigFinding> findings;
    std::vector<ConfigDifference> differences;
};

Result<FleetConfig> readConfig(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(ErrorKind::InvalidRequest, "the file cannot be opened");
    }
    const std::string bytes((std::istreambuf_iterator<char>(file)),
                            std::istreambuf_iterator<char>());
    return decodeConfig(bytes);
}

/** Reads a file, or adds a finding if that fails. */
std::optional<FleetConfig> readInto(CheckReport &report, const std::string &path)
{
    Outcome<FleetConfig> read = toOutcome([&] { return readConfig(path); });
    if (const Failure *failure = failureOf(read)) {
        report.findings.push_back({FindingSeverity::Error, path, failure->detail});
        return std::nullopt;
    }
    return std::get<FleetConfig>(std::move(read));
}

/** Reads the configuration in force, or adds a finding if that fails. */
std::optional<FleetConfig> readInForce(CheckReport &report, const Address &store)
{
    using Read = Outcome<std::optional<FleetConfig>>;
    asio::io_context context(1);
    Read read = Failure {ErrorKind::PlatformUnavailable, "the store was not read"};
    asio::co_spawn(context, readStoredConfig(context.get_executor(), store, storeTimeout),
                   [&](const std::exception_ptr &error, Read result) {
                       if (!error) {
                           read = std::move(result);
                       }
                       context.stop();
                   });
    context.run();
    if (const Failure *failure = failureOf(read)) {
        report.findings.push_back(
                {FindingSeverity::Error, "store " + store.text(), failure->detail});
        return std::nullopt;
    }
    return std::get<std::optional<FleetConfig>>(std::move(read)).value_or(FleetConfig());
}

CheckReport check(const CheckRequest &request)
{
    CheckReport report;
    const std::optional<FleetConfig> config = readInto(report, request.file);
    if (config) {
        report.findings = checkConfig(*config);
    }
    if (!request.against && !request.store) {
        return report;
    }
    const std::optional<FleetConfig> before = request.store ? readInForce(report, *request.store)
                                                            : readInto(report, *request.against);
    if (!config || !before) {
        return report;
    }
    report.differences = compareConfigs(*before, *config);
    if (config->version <= before->version) {
        report.findings.push_back({FindingSeverity::Warning, "version",
                                   "is not above " + std::to_string(before->version)
                                           + ", so entries ignore this configuration"});
    }
    return report;
}

std::string_view nameOf(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

void printText(const CheckReport &report)
{
    for (const ConfigFinding &finding : report.findings) {
        std::cout << nameOf(finding.severity) << ": " << finding.place << ": " << finding.text
                  << "\n";
    }
    for (const ConfigDifference &difference : report.differences) {
        std::cout << "change: " << difference.place << ": " << difference.text << "\n";
    }
}

void printJson(const CheckReport &report)
{
    json::array findings;
    for (const ConfigFinding &finding : report.findings) {
        findings.push_back(json::object {{"severity", nameOf(finding.severity)},
                                         {"place", finding.place},
                                         {"text", finding.text}});
    }
    json::array changes;
    for (const ConfigDifference &difference : report.differences) {
        changes.push_back(json::object {{"place", difference.place}, {"text", difference.text}});
    }
    const json::object all {{"findings", std::move(findings)}, {"changes", std::move(changes)}};
    std::cout << json::serialize(all) << "\n";
}

CheckExit exitCodeOf(const CheckReport &report)
{
    CheckExit code = CheckExit::Clean;
    for (const ConfigFinding &finding : report.findings) {
        const bool isError = finding.severity == FindingSeverity::Error;
        code = std::max(code, isError ? CheckExit::Errors : CheckExit::Warnings);
    }
    return code;
}

} // namespace

CheckExit checkFile(const CheckRequest &request)
{
    const CheckReport report = check(request);
    if (request.asJson) {
        printJson(report);
    } else {
        printText(report);
    }
    return exitCodeOf(report);
}

} // namespace greengageseam
