#include "agent/agenthttp.h"

namespace greengageseam {

namespace {

const std::string manifestPrefix = "/weights/manifests/";
const std::string chunkPrefix = "/weights/chunks/";
const std::string binaryType = "application/octet-stream";
const std::string plainTextType = "text/plain; charset=utf-8";

/** Serves requests. It owns no state, only the mailboxes of the tasks that do. */
class AgentHandler
{
public:
    AgentHandler(const asio::any_io_executor &executor, MailboxPtr<WeightCommand> weights,
                 MailboxPtr<PlacerCommand> placer, std::function<std::string()> metricsText)
        : m_executor(executor), m_weights(std::move(weights)), m_placer(std::move(placer)),
          m_metricsText(std::move(metricsText))
    { }

    Awaitable<void> handle(HttpExchange &exchange) const
    {
        HttpResponse response = co_await makeResponse(exchange.request());
        co_await exchange.respond(std::move(response));
    }

private:
    Awaitable<HttpResponse> makeResponse(const HttpRequest &request) const
    {
        const std::string path = request.path();
        if (path == "/healthz") {
            co_return HttpResponse {200, plainTextType, {}, "ok\n"};
        }
        if (path == "/readyz") {
            co_return co_await readReadiness();
        }
        if (path == "/metrics") {
            co_return HttpResponse {200, "text/plain; version=0.0.4", {}, m_metricsText()};
        }
        if (path.starts_with(manifestPrefix)) {
            co_return co_await readManifest(Digest(path.substr(manifestPrefix.size())));
        }
        if (path.starts_with(chunkPrefix)) {
            co_return co_await readChunk(Digest(path.substr(chunkPrefix.size())));
        }
        const Failure failure {ErrorKind::NotFound, path + " is not served here"};
        co_return problemResponse(failure);
    }

    Awaitable<HttpResponse> readReadiness() const
    {
        const auto reply = makeMailbox<bool>(m_executor, 1);
        PlacerCommand query = AgentReadinessQuery {reply};
        co_await m_placer->send(std::move(query));
        const bool isReady = (co_await reply->receive()).value_or(false);
        co_return HttpResponse {
                isReady ? 200 : 503, plainTextType, {}, isReady ? "ready\n" : "not ready\n"};
    }

    Awaitable<HttpResponse> readManifest(Digest digest) const
    {
        const auto reply = makeMailbox<Outcome<std::string>>(m_executor, 1);
        WeightCommand query = ManifestQuery {std::move(digest), reply};
        co_await m_weights->send(std::move(query));
        const std::optional<Outcome<std::string>> text = co_await reply->receive();
        if (const Failure *failure = failureOf(*text)) {
            co_return problemResponse(*failure);
        }
        co_return HttpResponse {200, plainTextType, {}, std::get<std::string>(*text)};
    }

    Awaitable<HttpResponse> readChunk(Digest digest) const
    {
        const auto reply = makeMailbox<Outcome<ChunkBytes>>(m_executor, 1);
        WeightCommand query = ChunkQuery {std::move(digest), reply};
        co_await m_weights->send(std::move(query));
        const std::optional<Outcome<ChunkBytes>> bytes = co_await reply->receive();
        if (const Failure *failure = failureOf(*bytes)) {
            co_return problemResponse(*failure);
        }
        co_return HttpResponse {200, binaryType, {}, *std::get<ChunkBytes>(*bytes)};
    }

    asio::any_io_executor m_executor;
    MailboxPtr<WeightCommand> m_weights;
    MailboxPtr<PlacerCommand> m_placer;
    std::function<std::string()> m_metricsText;
};

} // namespace

HttpHandler makeAgentHandler(const asio::any_io_executor &executor,
                             MailboxPtr<WeightCommand> weights, MailboxPtr<PlacerCommand> placer,
                             std::function<std::string()> metricsText)
{
    const auto handler = std::make_shared<const AgentHandler>(
            executor, std::move(weights), std::move(placer), std::move(metricsText));
    return [handler](HttpExchange &exchange) { return handler->handle(exchange); };
}

} // namespace greengageseam
