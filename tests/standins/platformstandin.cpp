#include "platformstandin.h"

#include "net/clock.h"
#include "protocol/jsontext.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <charconv>

namespace greengageseam {

namespace json = boost::json;

namespace {

const std::string logPrefix = "/log/";
const std::string storePrefix = "/store/";
const std::string chunkPrefix = "/store/chunks/";
const std::string faultPrefix = "/faults/";
constexpr auto readPollInterval = std::chrono::milliseconds(5);
constexpr double burstSeconds = 0.25;

std::uint64_t numberParameter(const HttpRequest &request, std::string_view name,
                              std::uint64_t fallback)
{
    const std::string text = request.parameter(name).value_or("");
    std::uint64_t n = fallback;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

HttpResponse notFound(const std::string &path)
{
    return problemResponse({ErrorKind::NotFound, path + " does not exist"});
}

} // namespace

PlatformStandin::PlatformStandin(PlatformOptions options)
    : m_options(options), m_logId(makeUniqueId()),
      m_originBucket(static_cast<double>(options.originBytesPerSecond),
                     static_cast<double>(options.originBytesPerSecond) * burstSeconds,
                     monotonicNow())
{ }

Awaitable<void> PlatformStandin::handle(HttpExchange &exchange)
{
    const std::string path = exchange.request().path();
    if (path.starts_with(logPrefix)) {
        co_await respondUnderFaults(exchange, m_faults["log"], [this](const HttpRequest &request) {
            return answerLog(request);
        });
    } else if (path.starts_with(storePrefix)) {
        co_await respondUnderFaults(
                exchange, m_faults["store"],
                [this](const HttpRequest &request) { return answerStore(request); });
    } else {
        co_await respondUnderFaults(exchange, m_faults["list"],
                                    [this](const HttpRequest &request) -> Awaitable<HttpResponse> {
                                        co_return answerList(request);
                                    });
    }
}

Awaitable<void> PlatformStandin::handleAdmin(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path = request.path();
    HttpResponse response = notFound(path);
    if (path == "/counts") {
        response = jsonResponse(counts());
    } else if (path.starts_with(faultPrefix)) {
        Faults &faults = m_faults[path.substr(faultPrefix.size())];
        faults = faults.with(json::parse(request.body).as_object());
        response = jsonResponse({{"set", true}});
    } else if (path == "/begin-anew") {
        m_streams.clear();
        m_logId = makeUniqueId();
        response = jsonResponse({{"id", m_logId}});
    } else if (path == "/forget") {
        Stream &stream = m_streams[request.parameter("stream").value_or("config")];
        const std::uint64_t before = numberParameter(request, "before", 0);
        while (stream.first < before && !stream.records.empty()) {
            stream.records.pop_front();
            ++stream.first;
        }
        response = jsonResponse({{"first", stream.first}});
    }
    co_await exchange.respond(std::move(response));
}

Awaitable<HttpResponse> PlatformStandin::answerLog(const HttpRequest &request)
{
    const std::string name = request.path().substr(logPrefix.size());
    if (request.method == "POST") {
        co_return append(name, request.body);
    }
    co_return co_await readLog(request, name);
}

HttpResponse PlatformStandin::append(const std::string &name, const std::string &text)
{
    Stream &stream = m_streams[name];
    stream.records.push_back(text);
    ++m_appends;
    const std::uint64_t offset = stream.first + stream.records.size() - 1;
    if (stream.records.size() > m_options.retainedRecords) {
        stream.records.pop_front();
        ++stream.first;
    }
    return jsonResponse({{"offset", offset}});
}

Awaitable<HttpResponse> PlatformStandin::readLog(const HttpRequest &request, std::string name)
{
    const std::uint64_t from = numberParameter(request, "from", 1);
    const std::uint64_t maxRecords = numberParameter(request, "max", 100);
    const Instant deadline =
            monotonicNow() + std::chrono::milliseconds(numberParameter(request, "wait", 0));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto next = [&] { return m_streams[name].first + m_streams[name].records.size(); };
    while (next() <= from && monotonicNow() < deadline && !m_faults["log"].outage) {
        timer.expires_after(readPollInterval);
        co_await timer.async_wait(asTuple);
    }
    const Stream &stream = m_streams[name];
    json::array records;
    for (std::uint64_t n = std::max(from, stream.first); n < next() && records.size() < maxRecords;
         ++n) {
        records.push_back(json::object {
                {"offset", n},
                {"data", stream.records[static_cast<std::size_t>(n - stream.first)]}});
    }
    co_return jsonResponse({{"id", m_logId},
                            {"first", stream.first},
                            {"next", next()},
                            {"records", std::move(records)}});
}

Awaitable<HttpResponse> PlatformStandin::answerStore(const HttpRequest &request)
{
    const std::string path = request.path();
    if (request.method == "PUT") {
        m_store.insert_or_assign(path, request.body);
        co_return jsonResponse({{"stored", request.body.size()}});
    }
    if (request.parameter("probe")) {
        co_return m_store.contains(path) ? jsonResponse({{"there", true}}) : notFound(path);
    }
    co_return co_await readStored(path);
}

Awaitable<HttpResponse> PlatformStandin::readStored(const std::string &path)
{
    const auto it = m_store.find(path);
    if (it == m_store.end()) {
        co_return notFound(path);
    }
    std::string bytes = it->second;
    if (path.starts_with(chunkPrefix)) {
        m_originBytes += bytes.size();
        Faults &faults = m_faults["store"];
        if (faults.chunksToCorrupt > 0) {
            --faults.chunksToCorrupt;
            bytes.front() = static_cast<char>(~bytes.front());
        }
    }
    if (m_options.originBytesPerSecond > 0) {
        const auto amount = static_cast<double>(bytes.size());
        m_originBucket = m_originBucket.at(monotonicNow()).taken(amount);
        asio::steady_timer timer(co_await asio::this_coro::executor, m_originBucket.waitFor(0));
        co_await timer.async_wait(asTuple);
    }
    co_return HttpResponse {200, "application/octet-stream", {}, std::move(bytes)};
}

HttpResponse PlatformStandin::answerList(const HttpRequest &request)
{
    if (request.method == "PUT") {
        m_list = request.body;
    }
    return {200, "application/json", {}, m_list};
}

json::object PlatformStandin::counts() const
{
    return {{"originBytes", m_originBytes}, {"appends", m_appends}};
}

} // namespace greengageseam
