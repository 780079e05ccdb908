/**
 * Validation of callers' HTTP requests.
 */
#include "entry/callerhandler.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "protocol/jsontext.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

const std::string chatPath = "/v1/chat/completions";
const std::string completionPath = "/v1/completions";
constexpr std::uint32_t defaultTokens = 256;
constexpr std::int64_t maxTokens = 1'000'000;
const std::string servicePrefix = "/services/";
const std::array<std::string, 5> serviceMethods {"GET", "POST", "PUT", "PATCH", "DELETE"};

bool isModelPath(const std::string &path)
{
    return path == chatPath || path == completionPath;
}

/** @returns `max_tokens` of the request, or a default estimate if it is missing */
std::uint32_t requestedTokens(const boost::json::object &body)
{
    const boost::json::value *value = body.if_contains("max_tokens");
    if (value == nullptr || !value->is_int64()) {
        return defaultTokens;
    }
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value->get_int64(), 0, maxTokens));
}

Result<void> parseModelRequest(const HttpRequest &request, CallerRequest &result)
{
    if (request.method != "POST") {
        return fail(ErrorKind::InvalidRequest,
                    "method " + request.method + " is not allowed; use POST");
    }
    BOOST_LEAF_AUTO(body, parseObject(request.body));
    BOOST_LEAF_AUTO(model, stringMember(body, "model"));
    const char *content = request.path() == chatPath ? "messages" : "prompt";
    if (!body.contains(content)) {
        return fail(ErrorKind::InvalidRequest, "member '" + std::string(content) + "' is missing");
    }
    const boost::json::value *stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return fail(ErrorKind::InvalidRequest, "member 'stream' is not a boolean");
    }
    result.routeQuery.model = ModelName(model);
    result.isStreamed = stream != nullptr && stream->get_bool();
    result.routeQuery.estimatedTokens = requestedTokens(body);
    result.path = request.path();
    return {};
}

Result<void> parseServiceRequest(const HttpRequest &request, CallerRequest &result)
{
    const bool isAllowed = std::find(serviceMethods.begin(), serviceMethods.end(), request.method)
            != serviceMethods.end();
    if (!isAllowed) {
        return fail(ErrorKind::InvalidRequest,
                    "method " + request.method
                            + " is not allowed; use GET, POST, PUT, PATCH or DELETE");
    }
    const std::string serviceAndPath = request.target.substr(servicePrefix.size());
    const std::size_t slash = serviceAndPath.find('/');
    if (slash == std::string::npos || slash == 0) {
        return fail(ErrorKind::NotFound,
                    "the path has no service name; expected /services/<name>/...");
    }
    result.routeQuery.service = ServiceName(serviceAndPath.substr(0, slash));
    result.path = serviceAndPath.substr(slash);
    result.routeQuery.path = result.path.substr(0, result.path.find('?'));
    return {};
}

} // namespace

CallerHandler::CallerHandler(const asio::any_io_executor &executor, ForwarderChannels channels,
                             Duration timeout, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_channels(std::move(channels)), m_timeout(timeout),
      m_metrics(std::move(metrics)), m_log(std::move(log))
{ }

bool CallerHandler::isCallerPath(const std::string &path)
{
    return isModelPath(path) || path.starts_with(servicePrefix);
}

Awaitable<void> CallerHandler::handle(HttpExchange &exchange) const
{
    const RequestId id(makeUniqueId());
    Outcome<CallerRequest> parsed =
            toOutcome([&] { return parseCallerRequest(exchange.takeRequest(), id); });
    if (const Failure *failure = failureOf(parsed)) {
        HttpResponse response = problemResponse(*failure);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    Forwarder forwarder(m_executor, exchange, std::get<CallerRequest>(std::move(parsed)),
                        m_channels, m_timeout, m_metrics, m_log);
    co_await forwarder.run();
}

namespace {

/**
 * @returns the `Idempotency-Key` without its optional quotes, or an empty string if the header is
 * missing; InvalidRequest if the header is present but empty
 */
Result<std::string> parseIdempotencyKey(const HttpRequest &request)
{
    std::string key = request.header("Idempotency-Key").value_or("-");
    if (key.size() >= 2 && key.front() == '"' && key.back() == '"') {
        key = key.substr(1, key.size() - 2);
    }
    if (key.empty()) {
        return fail(ErrorKind::InvalidRequest, "header 'Idempotency-Key' is empty");
    }
    return request.header("Idempotency-Key") ? key : std::string();
}

} // namespace

Result<CallerRequest> parseCallerRequest(HttpRequest request, const RequestId &id)
{
    const std::optional<std::string> token = request.bearerToken();
    if (!token) {
        return fail(ErrorKind::Unauthenticated, "header 'Authorization: Bearer <key>' is missing");
    }
    CallerRequest result;
    result.id = id;
    result.routeQuery.key = digestOf(*token);
    result.routeQuery.method = request.method;
    result.contentType = request.header("Content-Type").value_or("application/json");
    BOOST_LEAF_ASSIGN(result.idempotencyKey, parseIdempotencyKey(request));
    if (isModelPath(request.path())) {
        BOOST_LEAF_CHECK(parseModelRequest(request, result));
    } else {
        BOOST_LEAF_CHECK(parseServiceRequest(request, result));
    }
    result.body = std::move(request.body);
    return result;
}

} // namespace greengageseam
