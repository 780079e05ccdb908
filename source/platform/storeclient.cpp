#include "platform/storeclient.h"

#include "net/httpclient.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxManifestBytes = 128U * 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;

Failure failureFor(const HttpResponse &response, const std::string &target)
{
    const std::string detail =
            "the weight store answered " + std::to_string(response.status) + " to " + target;
    if (response.status == statusNotFound) {
        return {ErrorKind::NotFound, detail};
    }
    if (response.status == statusTooManyRequests) {
        return {ErrorKind::Overloaded, detail};
    }
    return {ErrorKind::PlatformUnavailable, detail};
}

} // namespace

StoreClient::StoreClient(const asio::any_io_executor &executor, Address address, Duration limit)
    : m_executor(executor), m_address(std::move(address)), m_limit(limit)
{ }

Awaitable<Outcome<Manifest>> StoreClient::readManifest(Digest digest) const
{
    const Outcome<std::string> text =
            co_await get("/store/manifests/" + digest.text(), maxManifestBytes);
    if (const Failure *failure = failureOf(text)) {
        co_return *failure;
    }
    co_return settle([&] { return parseManifest(std::get<std::string>(text), digest); });
}

Awaitable<Outcome<std::string>> StoreClient::readChunk(Chunk chunk) const
{
    Outcome<std::string> bytes =
            co_await get("/store/chunks/" + chunk.digest.text(), maxChunkBytes);
    if (failureOf(bytes) != nullptr) {
        co_return bytes;
    }
    if (digestOf(std::get<std::string>(bytes)) != chunk.digest) {
        co_return Failure {ErrorKind::CorruptData,
                           "the origin gave chunk " + chunk.digest.text() + " corrupted"};
    }
    co_return bytes;
}

Awaitable<Outcome<bool>> StoreClient::hasChunk(Digest digest) const
{
    const Outcome<std::string> answer =
            co_await get("/store/chunks/" + digest.text() + "?probe=1", maxChunkBytes);
    const Failure *failure = failureOf(answer);
    if (failure != nullptr && failure->kind != ErrorKind::NotFound) {
        co_return *failure;
    }
    co_return failure == nullptr;
}

Awaitable<Settled> StoreClient::writeChunk(Digest digest, std::string bytes) const
{
    co_return co_await put("/store/chunks/" + digest.text(), std::move(bytes));
}

Awaitable<Settled> StoreClient::writeManifest(Manifest manifest) const
{
    co_return co_await put("/store/manifests/" + manifest.digest().text(), manifest.text());
}

ReadOriginChunk StoreClient::chunkReader() const
{
    return [client = *this](Chunk chunk) { return client.readChunk(std::move(chunk)); };
}

ReadOriginManifest StoreClient::manifestReader() const
{
    return [client = *this](Digest digest) { return client.readManifest(std::move(digest)); };
}

Awaitable<Outcome<std::string>> StoreClient::get(std::string target, std::size_t maxBytes) const
{
    const HttpRequest request {"GET", target, {}, {}};
    Outcome<HttpResponse> answer =
            co_await callHttp(m_executor, m_address, request, m_limit, maxBytes);
    if (const Failure *failure = failureOf(answer)) {
        co_return Failure {ErrorKind::PlatformUnavailable, "the weight store: " + failure->detail};
    }
    auto &response = std::get<HttpResponse>(answer);
    if (response.status != statusOk) {
        co_return failureFor(response, target);
    }
    co_return std::move(response.body);
}

Awaitable<Settled> StoreClient::put(std::string target, std::string body) const
{
    const HttpRequest request {"PUT", target, {}, std::move(body)};
    const Outcome<HttpResponse> answer =
            co_await callHttp(m_executor, m_address, request, m_limit, maxManifestBytes);
    if (const Failure *failure = failureOf(answer)) {
        co_return Failure {ErrorKind::PlatformUnavailable, "the weight store: " + failure->detail};
    }
    const auto &response = std::get<HttpResponse>(answer);
    if (response.status != statusOk) {
        co_return failureFor(response, target);
    }
    co_return std::monostate();
}

} // namespace greengageseam
