#include "tool/commands.h"

#include "net/httpclient.h"
#include "protocol/jsontext.h"
#include "tool/printing.h"

#include <functional>
#include <iostream>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr auto requestTimeout = std::chrono::seconds(15);
constexpr std::size_t maxResponseBytes = 64U * 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusConflict = 409;

ToolExit printFailure(const Failure &failure)
{
    std::cerr << "greengageseam: " << failure.detail << "\n";
    return ToolExit::Failed;
}

/** Prints the problem that a response describes. @returns the exit code for its status */
ToolExit printProblem(const AdminResponse &result)
{
    const std::string detail = textMember(result.body, "detail");
    std::cerr << "greengageseam: " << textMember(result.body, "title") << ": " << detail << "\n";
    return result.status == statusConflict ? ToolExit::Conflict : ToolExit::Failed;
}

using Printer = std::function<void(std::ostream &, const json::object &)>;

/** Calls the administration API, and prints the result. */
Awaitable<ToolExit> printCallResult(asio::any_io_executor executor, ToolSettings settings,
                                    AdminApiCall call, Printer printer)
{
    const Outcome<AdminResponse> outcome = co_await callAdmin(executor, settings, std::move(call));
    if (const Failure *failure = failureOf(outcome)) {
        co_return printFailure(*failure);
    }
    const auto &result = std::get<AdminResponse>(outcome);
    if (result.status != statusOk) {
        co_return printProblem(result);
    }
    if (settings.asJson) {
        std::cout << json::serialize(result.body) << "\n";
    } else {
        printer(std::cout, result.body);
    }
    co_return ToolExit::Done;
}

/** Sends a GET request to the administration API, and prints the result. */
Awaitable<ToolExit> printQueryResult(asio::any_io_executor executor, ToolSettings settings,
                                     std::string target, Printer printer)
{
    AdminApiCall call {"GET", std::move(target), ""};
    co_return co_await printCallResult(executor, settings, std::move(call), printer);
}

Result<json::array> parseEdits(const std::vector<std::string> &edits)
{
    json::array array;
    for (const std::string &edit : edits) {
        const std::size_t n = edit.find('=');
        if (n == std::string::npos || n == 0) {
            return fail(
                    ErrorKind::InvalidRequest,
                    "'" + edit
                            + "' is not an edit; expected path=value, or path= to clear the cell");
        }
        json::object object {{"path", edit.substr(0, n)}, {"value", nullptr}};
        if (n + 1 < edit.size()) {
            object["value"] = edit.substr(n + 1);
        }
        array.push_back(std::move(object));
    }
    return array;
}

} // namespace

Awaitable<Outcome<AdminResponse>> callAdmin(const asio::any_io_executor &executor,
                                            const ToolSettings &settings, AdminApiCall call)
{
    HttpRequest request {call.method, call.target, {}, call.body};
    request.headers.push_back({"Authorization", "Bearer " + settings.token});
    const Outcome<HttpResponse> result =
            co_await callHttp(executor, settings.entry, request, requestTimeout, maxResponseBytes);
    if (const Failure *failure = failureOf(result)) {
        co_return *failure;
    }
    const auto &response = std::get<HttpResponse>(result);
    Outcome<json::object> body = toOutcome([&] { return parseObject(response.body); });
    if (const Failure *failure = failureOf(body)) {
        co_return *failure;
    }
    co_return AdminResponse {response.status, std::get<json::object>(std::move(body))};
}

Awaitable<ToolExit> showTable(asio::any_io_executor executor, ToolSettings settings)
{
    co_return co_await printQueryResult(executor, settings, "/admin/v1/table", printTable);
}

Awaitable<ToolExit> showReport(asio::any_io_executor executor, ToolSettings settings)
{
    co_return co_await printQueryResult(executor, settings, "/admin/v1/report", printReport);
}

Awaitable<ToolExit> showHistory(asio::any_io_executor executor, ToolSettings settings,
                                std::string cell)
{
    co_return co_await printQueryResult(executor, settings, "/admin/v1/history?cell=" + cell,
                                        printHistory);
}

Awaitable<ToolExit> showAudit(asio::any_io_executor executor, ToolSettings settings,
                              std::string cell, std::string author)
{
    const std::string target = "/admin/v1/audit?cell=" + cell + "&author=" + author;
    co_return co_await printQueryResult(executor, settings, target, printHistory);
}

Awaitable<ToolExit> showChange(asio::any_io_executor executor, ToolSettings settings,
                               std::string id)
{
    co_return co_await printQueryResult(executor, settings, "/admin/v1/changes/" + id,
                                        printVerdict);
}

Awaitable<ToolExit> sendChange(asio::any_io_executor executor, ToolSettings settings,
                               ChangeRequest change)
{
    const Outcome<json::array> parsed = toOutcome([&] { return parseEdits(change.edits); });
    if (const Failure *failure = failureOf(parsed)) {
        printFailure(*failure);
        co_return ToolExit::Usage;
    }
    json::object body {{"edits", std::get<json::array>(parsed)}, {"note", change.note}};
    if (!change.id.empty()) {
        body["id"] = change.id;
    }
    if (change.base) {
        body["base"] = *change.base;
    }
    const std::string target =
            std::string("/admin/v1/changes") + (change.isDryRun ? "?dry-run=true" : "");
    AdminApiCall call {"POST", target, json::serialize(body)};
    const Outcome<AdminResponse> outcome = co_await callAdmin(executor, settings, std::move(call));
    if (const Failure *failure = failureOf(outcome)) {
        co_return printFailure(*failure);
    }
    const auto &result = std::get<AdminResponse>(outcome);
    if (!result.body.contains("verdict")) {
        co_return printProblem(result);
    }
    if (settings.asJson) {
        std::cout << json::serialize(result.body) << "\n";
    } else {
        printVerdict(std::cout, result.body);
    }
    if (result.status == statusAccepted) {
        co_return ToolExit::Unknown;
    }
    if (result.status == statusConflict) {
        co_return ToolExit::Conflict;
    }
    co_return result.status == statusOk ? ToolExit::Done : ToolExit::Failed;
}

Awaitable<ToolExit> drainInstance(asio::any_io_executor executor, ToolSettings settings,
                                  std::string instance)
{
    AdminApiCall call {"POST", "/admin/v1/instances/" + instance + "/drain", "{}"};
    const Printer printer = [&](std::ostream &out, const json::object &) {
        out << instance << " is draining and admits no new requests\n";
    };
    co_return co_await printCallResult(executor, settings, std::move(call), printer);
}

} // namespace greengageseam
