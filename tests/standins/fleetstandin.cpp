#include "fleetstandin.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;
constexpr int statusMisdirected = 421;
constexpr int statusFailed = 500;
constexpr std::uint64_t streamEvents = 4;
constexpr auto hangTime = std::chrono::seconds(20);
constexpr auto pollInterval = std::chrono::milliseconds(5);

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t n = bytes; n > 0; --n) {
        text.push_back(static_cast<char>(value >> (8 * (n - 1)) & 0xffU));
    }
    return text;
}

std::string toBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

bool hasPart(const HttpRequest &request, const std::string &part)
{
    const std::string parts = "," + request.header("Prompt-Prefix").value_or(std::string());
    return parts.find("," + part + ":") != std::string::npos;
}

std::shared_ptr<HttpServer> serve(const asio::any_io_executor &executor, HttpHandler handler,
                                  const Log &log, Address &address)
{
    const auto server = std::make_shared<HttpServer>(
            executor, HttpServerOptions(), makeUnlimitedBudget(log), std::move(handler), log);
    const auto bound = toOutcome([&] { return server->listen(Address("127.0.0.1:0")); });
    address = std::get<Address>(bound);
    server->start();
    return server;
}

} // namespace

StoreStandin::StoreStandin(const asio::any_io_executor &executor, const Log &log)
    : m_executor(executor)
{
    m_server = serve(
            executor, [this](HttpExchange &exchange) { return handle(exchange); }, log, m_address);
}

void StoreStandin::put(const std::string &topic, const std::string &key,
                       std::optional<std::string> value)
{
    m_topics[topic].push_back({key, std::move(value)});
}

void StoreStandin::restoreOlderCopy(const std::map<std::string, std::size_t> &lost)
{
    for (const auto &[topic, n] : lost) {
        std::vector<Record> &records = m_topics[topic];
        records.resize(records.size() - std::min(n, records.size()));
    }
    m_era = m_era.value_or(0) + 1;
}

Awaitable<void> StoreStandin::handle(HttpExchange &exchange)
{
    const std::optional<std::uint64_t> era = m_era;
    HttpResponse response;
    if (m_status != statusOk) {
        response.status = m_status;
    } else if (exchange.request().path() == "/-/log-newest") {
        response = readNewest(exchange.request());
    } else {
        response = co_await readTail(exchange.request());
    }
    asio::steady_timer timer(m_executor);
    while (m_hangs) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asTuple);
    }
    if (era != m_era) {
        exchange.abort();
        co_return;
    }
    if (era) {
        response.headers.push_back({"Store-Era", std::to_string(*era)});
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse StoreStandin::readNewest(const HttpRequest &request) const
{
    const std::string topic = request.parameter("topic").value_or(std::string());
    std::map<std::string, std::string> newest;
    json::object page {{"hasMore", false}, {"end", 0}};
    if (const auto it = m_topics.find(topic); it != m_topics.end()) {
        page["end"] = it->second.size();
        for (const Record &record : it->second) {
            newest.erase(record.key);
            if (record.value) {
                newest.emplace(record.key, *record.value);
            }
        }
    }
    json::array items;
    for (const auto &[key, value] : newest) {
        items.push_back(json::object {{"key", key}, {"value", toBase64(value)}, {"offset", 0}});
    }
    page["items"] = std::move(items);
    return {statusOk, "application/json", {}, json::serialize(page)};
}

Awaitable<HttpResponse> StoreStandin::readTail(const HttpRequest &request)
{
    const std::string topic = request.parameter("topic").value_or(std::string());
    const std::uint64_t from = std::stoull(request.parameter("from").value_or("0"));
    const int waitMs = std::stoi(request.parameter("waitMs").value_or("0"));
    asio::steady_timer timer(m_executor);
    for (int waited = 0; waited < waitMs && m_topics[topic].size() <= from; waited += 5) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asTuple);
    }
    const std::vector<Record> &records = m_topics[topic];
    if (from > records.size()) {
        co_return HttpResponse {statusGone, "application/json", {}, R"({"first":0})"};
    }
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < records.size(); ++n) {
        const std::string content = bigEndian(records[n].key.size(), 1) + records[n].key
                + records[n].value.value_or(std::string());
        body += bigEndian(content.size(), 4) + content;
    }
    co_return HttpResponse {statusOk, "application/octet-stream", {}, std::move(body)};
}

ReplicaStandin::ReplicaStandin(const asio::any_io_executor &executor, std::string id,
                               const Log &log)
    : m_executor(executor), m_id(std::move(id))
{
    m_server = serve(
            executor, [this](HttpExchange &exchange) { return handle(exchange); }, log, m_address);
}

std::string ReplicaStandin::listEntry(const std::string &service, const std::string &state) const
{
    return json::serialize(json::object {{"service", service},
                                         {"address", m_address.text()},
                                         {"zone", "a"},
                                         {"slots", 8},
                                         {"state", state},
                                         {"born", 1}});
}

std::string ReplicaStandin::engineListEntry(const std::string &service, const std::string &model,
                                            std::uint64_t version) const
{
    json::object entry = json::parse(this->listEntry(service, "ready")).as_object();
    entry["models"] = json::array {json::object {{"name", model}, {"version", version}}};
    return json::serialize(entry);
}

std::size_t ReplicaStandin::receivedWithPart(const std::string &part) const
{
    return static_cast<std::size_t>(
            std::count_if(m_receivedRequests.begin(), m_receivedRequests.end(),
                          [&](const HttpRequest &request) { return hasPart(request, part); }));
}

Awaitable<void> ReplicaStandin::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    m_receivedRequests.push_back(request);
    if (!m_deadlyPart.empty() && hasPart(request, m_deadlyPart)) {
        exchange.abort();
        co_return;
    }
    const std::string attempt = request.header("Attempt-Id").value_or(std::string());
    HttpResponse response;
    response.headers = {{"Attempt-Id", attempt}, {"Server-Seal", "seal-of-" + m_id}};
    response.body = "answer of " + m_id;
    if (m_behaviour == ReplicaBehaviour::Rejects) {
        response = {statusUnavailable, "text/plain", {{"Not-Executed", "1"}}, {}};
    } else if (m_behaviour == ReplicaBehaviour::IsOtherServer) {
        response = {statusMisdirected, "text/plain", {{"Replica-Id", "i-other"}}, {}};
    } else {
        ++m_runs;
    }
    switch (m_behaviour) {
    case ReplicaBehaviour::Fails:
        response.status = statusFailed;
        break;
    case ReplicaBehaviour::BreaksBeforeAnswer:
        exchange.abort();
        co_return;
    case ReplicaBehaviour::BreaksWithinStream:
    case ReplicaBehaviour::Streams: {
        const std::uint64_t last =
                std::stoull(request.header("Last-Event-Id").value_or(std::string("0")));
        co_await stream(exchange, std::move(response), last);
        co_return;
    }
    case ReplicaBehaviour::Hangs: {
        asio::steady_timer timer(m_executor, hangTime);
        co_await timer.async_wait(asTuple);
        co_return;
    }
    case ReplicaBehaviour::AnswersUnsealed:
        response.headers.pop_back();
        break;
    case ReplicaBehaviour::AnswersOtherRequest:
        response.headers.front().value = "another";
        break;
    default:
        break;
    }
    co_await exchange.respond(std::move(response));
}

Awaitable<void> ReplicaStandin::stream(HttpExchange &exchange, HttpResponse head,
                                       std::uint64_t last)
{
    head.contentType = "text/event-stream";
    head.body.clear();
    const bool breaks = m_behaviour == ReplicaBehaviour::BreaksWithinStream;
    co_await exchange.beginStream(std::move(head));
    for (std::uint64_t n = last + 1; n <= streamEvents; ++n) {
        if (breaks && n == 3) {
            std::string part = "id: 3\ndata: hal";
            co_await exchange.sendPart(std::move(part));
            exchange.abort();
            co_return;
        }
        std::string part = "id: " + std::to_string(n) + "\ndata: " + m_id + "\n\n";
        co_await exchange.sendPart(std::move(part));
    }
    co_await exchange.endStream();
}

} // namespace greengageseam
