#include "enginestandin.h"

#include "core/weights/weights.h"
#include "net/httpclient.h"
#include "protocol/jsontext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr std::uint64_t defaultTokens = 16;
constexpr std::uint64_t maxTokens = 100'000;
constexpr std::size_t maxBytes = 64U * 1024 * 1024;
constexpr auto readTimeout = std::chrono::seconds(30);
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

json::array digestsToJson(const std::set<Digest> &digests)
{
    json::array array;
    for (const Digest &digest : digests) {
        array.push_back(json::string(digest.text()));
    }
    return array;
}

std::uint64_t requestedTokens(const json::object &body)
{
    const json::value *value = body.if_contains("max_tokens");
    if (value == nullptr || !value->is_number()) {
        return defaultTokens;
    }
    return std::min<std::uint64_t>(value->to_number<std::uint64_t>(), maxTokens);
}

bool wantsStream(const json::object &body)
{
    const json::value *value = body.if_contains("stream");
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace

EngineStandin::EngineStandin(const asio::any_io_executor &executor, EngineOptions options)
    : m_executor(executor), m_options(options)
{ }

Awaitable<void> EngineStandin::handle(HttpExchange &exchange)
{
    if (exchange.request().path().starts_with("/v1/")) {
        co_await generate(exchange);
        co_return;
    }
    co_await respondUnderFaults(exchange, m_faults, [this](const HttpRequest &request) {
        return answerControl(request);
    });
}

Awaitable<void> EngineStandin::handleAdmin(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    HttpResponse response = jsonResponse({{"set", true}});
    if (request.path() == "/faults") {
        const json::object object = json::parse(request.body).as_object();
        m_faults = m_faults.with(object);
        if (object.contains("restart")) {
            ++m_generation;
            m_serving.clear();
            m_loading.clear();
            m_fence = 0;
        }
    } else {
        json::object runs;
        for (const auto &[attempt, n] : m_runs) {
            runs[attempt] = n;
        }
        json::array fences;
        for (const std::uint64_t fence : m_acceptedFences) {
            fences.push_back(fence);
        }
        response = jsonResponse({{"runs", std::move(runs)},
                                 {"fencesTaken", std::move(fences)},
                                 {"ordersRefused", m_ordersRefused},
                                 {"loadsFailed", m_loadsFailed},
                                 {"running", m_running}});
    }
    co_await exchange.respond(std::move(response));
}

Awaitable<HttpResponse> EngineStandin::answerControl(const HttpRequest &request)
{
    if (request.path() == "/state") {
        co_return state();
    }
    if (request.path() == "/orders" && request.method == "POST") {
        co_return applyOrder(request);
    }
    co_return problemResponse({ErrorKind::NotFound, request.path() + " does not exist"});
}

HttpResponse EngineStandin::state() const
{
    return jsonResponse({{"serving", digestsToJson(m_serving)},
                         {"loading", digestsToJson(m_loading)},
                         {"slots", m_options.slots},
                         {"running", m_running},
                         {"queued", 0}});
}

HttpResponse EngineStandin::applyOrder(const HttpRequest &request)
{
    const json::object order = json::parse(request.body).as_object();
    const auto fence = order.at("fence").to_number<std::uint64_t>();
    if (m_options.checksFence && fence < m_fence) {
        ++m_ordersRefused;
        return jsonResponse({{"refused", "outdated fencing number"}}, statusConflict);
    }
    m_fence = std::max(m_fence, fence);
    m_acceptedFences.push_back(fence);
    const Digest manifest(std::string(order.at("manifest").as_string()));
    if (order.at("order").as_string() == "unload") {
        m_serving.erase(manifest);
        return jsonResponse({{"taken", true}});
    }
    const bool isKnown = m_serving.contains(manifest) || m_loading.contains(manifest);
    if (isKnown) {
        return jsonResponse({{"taken", true}});
    }
    if (m_serving.size() + m_loading.size() >= m_options.slots) {
        return jsonResponse({{"refused", "no slot is free"}}, statusConflict);
    }
    m_loading.insert(manifest);
    const Address source(std::string(order.at("source").as_string()));
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), manifest, source] { return self->load(manifest, source); },
            asio::detached);
    return jsonResponse({{"taken", true}});
}

Awaitable<void> EngineStandin::load(Digest manifest, Address source)
{
    const std::uint64_t generation = m_generation;
    const bool isComplete = co_await readWeights(manifest, source);
    asio::steady_timer timer(m_executor, m_options.loadTime);
    co_await timer.async_wait(asTuple);
    if (generation != m_generation) {
        co_return;
    }
    m_loading.erase(manifest);
    if (isComplete) {
        m_serving.insert(manifest);
    } else {
        ++m_loadsFailed;
    }
}

/** Downloads all chunks from the agent. @returns whether all of them match the manifest */
Awaitable<bool> EngineStandin::readWeights(Digest manifest, Address source)
{
    const HttpRequest request {"GET", "/weights/manifests/" + manifest.text(), {}, {}};
    const Outcome<HttpResponse> answer =
            co_await callHttp(m_executor, source, request, readTimeout, maxBytes);
    if (failureOf(answer) != nullptr) {
        co_return false;
    }
    const std::string text = std::get<HttpResponse>(answer).body;
    const Outcome<Manifest> parsed = toOutcome([&] { return parseManifest(text, manifest); });
    if (failureOf(parsed) != nullptr) {
        co_return false;
    }
    for (const Chunk &chunk : std::get<Manifest>(parsed).chunks()) {
        const HttpRequest chunkRequest {"GET", "/weights/chunks/" + chunk.digest.text(), {}, {}};
        const Outcome<HttpResponse> bytes =
                co_await callHttp(m_executor, source, chunkRequest, readTimeout, maxBytes);
        const auto *response = std::get_if<HttpResponse>(&bytes);
        if (response == nullptr || digestOf(response->body) != chunk.digest) {
            co_return false;
        }
    }
    co_return true;
}

Awaitable<void> EngineStandin::generate(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (m_faults.outage) {
        exchange.abort();
        co_return;
    }
    const std::string manifest = request.header("X-Manifest").value_or("");
    HttpResponse refusal;
    if (!m_serving.contains(Digest(manifest))) {
        refusal = jsonResponse({{"refused", "version not served"}}, statusConflict);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (m_running >= m_options.batch) {
        refusal = jsonResponse({{"refused", "full"}}, statusUnavailable);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const json::object body = json::parse(request.body).as_object();
    ++m_runs[request.header("X-Attempt-Id").value_or("")];
    ++m_running;
    const std::uint64_t tokens = requestedTokens(body);
    const std::string echo = digestOf(request.body).text();
    if (wantsStream(body)) {
        co_await streamTokens(exchange, manifest, echo, tokens);
    } else {
        const std::uint64_t generation = m_generation;
        asio::steady_timer timer(m_executor, m_options.tokenTime * static_cast<int>(tokens));
        co_await timer.async_wait(asTuple);
        co_await waitWhileFrozen(m_faults);
        if (generation != m_generation) {
            exchange.abort();
        } else {
            HttpResponse response =
                    jsonResponse({{"manifest", manifest}, {"echo", echo}, {"tokens", tokens}});
            co_await exchange.respond(std::move(response));
        }
    }
    --m_running;
}

Awaitable<void> EngineStandin::streamTokens(HttpExchange &exchange, const std::string &digest,
                                            const std::string &echo, std::uint64_t tokens)
{
    const std::uint64_t generation = m_generation;
    HttpResponse head {200, "text/event-stream", {}, {}};
    bool isConnected = co_await exchange.beginStream(std::move(head));
    asio::steady_timer timer(m_executor);
    for (std::uint64_t n = 0; n < tokens && isConnected; ++n) {
        timer.expires_after(m_options.tokenTime);
        co_await timer.async_wait(asTuple);
        co_await waitWhileFrozen(m_faults);
        if (generation != m_generation) {
            exchange.abort();
            co_return;
        }
        const json::object token {{"manifest", digest}, {"echo", echo}, {"index", n}};
        std::string part = "data: " + json::serialize(token) + "\n\n";
        isConnected = co_await exchange.sendPart(std::move(part));
    }
    if (isConnected) {
        co_await exchange.sendPart("data: [DONE]\n\n");
        co_await exchange.endStream();
    }
}

} // namespace greengageseam
