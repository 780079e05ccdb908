/**
 * Requests to the log service, and parsing of its JSON responses.
 */
#include "logservice/logclient.h"

#include "net/httpclient.h"
#include "protocol/jsontext.h"

namespace greengageseam {

const std::string configStream = "config";
const std::string incarnationStream = "incarnations";

namespace {

constexpr std::size_t maxResponseBytes = 64U * 1024 * 1024;
constexpr int statusOk = 200;

Failure unavailable(const std::string &detail)
{
    return {ErrorKind::PlatformUnavailable, "the log: " + detail};
}

Result<LogRecord> parseRecord(const boost::json::value &value)
{
    if (!value.is_object()) {
        return fail(ErrorKind::CorruptData, "a record of the log is not an object");
    }
    BOOST_LEAF_AUTO(offset, numberMember(value.get_object(), "offset"));
    BOOST_LEAF_AUTO(text, stringMember(value.get_object(), "data"));
    return LogRecord {Offset {offset}, text};
}

Result<LogBatch> parseBatch(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(id, stringMember(object, "id"));
    BOOST_LEAF_AUTO(first, numberMember(object, "first"));
    BOOST_LEAF_AUTO(next, numberMember(object, "next"));
    BOOST_LEAF_AUTO(array, arrayMember(object, "records"));
    LogBatch batch {id, Offset {first}, Offset {next}, {}};
    for (const boost::json::value &value : array) {
        BOOST_LEAF_AUTO(record, parseRecord(value));
        batch.records.push_back(record);
    }
    return batch;
}

Result<Offset> parseAppended(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(offset, numberMember(object, "offset"));
    return Offset {offset};
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

LogClient::LogClient(const asio::any_io_executor &executor, Address address, Duration timeout)
    : m_executor(executor), m_address(std::move(address)), m_timeout(timeout)
{ }

Awaitable<Outcome<Offset>> LogClient::append(std::string stream, std::string text) const
{
    const HttpRequest request {"POST", "/log/" + stream, {}, std::move(text)};
    const Outcome<HttpResponse> outcome =
            co_await callHttp(m_executor, m_address, request, m_timeout, maxResponseBytes);
    if (const Failure *failure = failureOf(outcome)) {
        const bool isUnsent = failure->kind == ErrorKind::NoBackendServer;
        co_return Failure {isUnsent ? ErrorKind::PlatformUnavailable : ErrorKind::OutcomeUnknown,
                           "the log: " + failure->detail};
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk) {
        co_return unavailable("an append was rejected with status "
                              + std::to_string(response.status));
    }
    co_return toOutcome([&] { return parseAppended(response.body); });
}

Awaitable<Outcome<LogBatch>> LogClient::read(LogQuery query) const
{
    const std::string target = "/log/" + query.stream + "?from="
            + std::to_string(query.fromOffset.value) + "&max=" + std::to_string(query.maxRecords)
            + "&wait=" + std::to_string(toMilliseconds(query.pollTimeout));
    const HttpRequest request {"GET", target, {}, {}};
    const Outcome<HttpResponse> outcome = co_await callHttp(
            m_executor, m_address, request, m_timeout + query.pollTimeout, maxResponseBytes);
    if (const Failure *failure = failureOf(outcome)) {
        co_return unavailable(failure->detail);
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk) {
        co_return unavailable("a read was rejected with status " + std::to_string(response.status));
    }
    const Outcome<LogBatch> batch = toOutcome([&] { return parseBatch(response.body); });
    if (const Failure *failure = failureOf(batch)) {
        co_return unavailable(failure->detail);
    }
    co_return batch;
}

AppendToLog LogClient::appender() const
{
    return [client = *this](std::string stream, std::string text) {
        return client.append(std::move(stream), std::move(text));
    };
}

ReadLog LogClient::reader() const
{
    return [client = *this](LogQuery query) { return client.read(std::move(query)); };
}

} // namespace greengageseam
