/**
 * Requests to the weight store, and mapping of HTTP statuses to error kinds.
 */
#include "logservice/storeclient.h"

#include "net/httpclient.h"

#include <charconv>

namespace greengageseam {

namespace {

constexpr std::size_t maxManifestBytes = 128U * 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;

Failure failureFor(const HttpResponse &response, const std::string &target)
{
    const std::string detail = "the weight store responded with status "
            + std::to_string(response.status) + " to " + target;
    if (response.status == statusNotFound) {
        return {ErrorKind::NotFound, detail};
    }
    if (response.status == statusTooManyRequests) {
        return {ErrorKind::Overloaded, detail};
    }
    return {ErrorKind::PlatformUnavailable, detail};
}

Duration retryAfterOf(const HttpResponse &response)
{
    for (const HttpHeader &field : response.headers) {
        std::uint32_t seconds = 0;
        const char *end = field.value.data() + field.value.size();
        if (field.name == "Retry-After"
            && std::from_chars(field.value.data(), end, seconds).ec == std::errc()) {
            return std::chrono::seconds(seconds);
        }
    }
    return Duration::zero();
}

} // namespace

StoreClient::StoreClient(const asio::any_io_executor &executor, Address address, Duration timeout)
    : m_executor(executor), m_address(std::move(address)), m_timeout(timeout)
{ }

Awaitable<Outcome<Manifest>> StoreClient::readManifest(Digest digest) const
{
    std::string target = "/store/manifests/" + digest.text();
    const OriginResponse outcome = co_await get(std::move(target), maxManifestBytes);
    if (const Failure *failure = failureOf(outcome.bytes)) {
        co_return *failure;
    }
    co_return toOutcome(
            [&] { return parseManifest(std::get<std::string>(outcome.bytes), digest); });
}

Awaitable<OriginResponse> StoreClient::readChunk(Chunk chunk) const
{
    std::string target = "/store/chunks/" + chunk.digest.text();
    OriginResponse outcome = co_await get(std::move(target), maxChunkBytes);
    const auto *bytes = std::get_if<std::string>(&outcome.bytes);
    if (bytes != nullptr && digestOf(*bytes) != chunk.digest) {
        outcome.bytes = Failure {ErrorKind::CorruptData,
                                 "chunk " + chunk.digest.text() + " from the origin is corrupt"};
    }
    co_return outcome;
}

Awaitable<Outcome<bool>> StoreClient::hasChunk(Digest digest) const
{
    std::string target = "/store/chunks/" + digest.text() + "?probe=1";
    const OriginResponse outcome = co_await get(std::move(target), maxChunkBytes);
    const Failure *failure = failureOf(outcome.bytes);
    if (failure != nullptr && failure->kind != ErrorKind::NotFound) {
        co_return *failure;
    }
    co_return failure == nullptr;
}

Awaitable<VoidOutcome> StoreClient::writeChunk(Digest digest, std::string bytes) const
{
    co_return co_await put("/store/chunks/" + digest.text(), std::move(bytes));
}

Awaitable<VoidOutcome> StoreClient::writeManifest(Manifest manifest) const
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

Awaitable<OriginResponse> StoreClient::get(std::string target, std::size_t maxBytes) const
{
    const HttpRequest request {"GET", target, {}, {}};
    Outcome<HttpResponse> outcome =
            co_await callHttp(m_executor, m_address, request, m_timeout, maxBytes);
    if (const Failure *failure = failureOf(outcome)) {
        co_return OriginResponse {
                Failure {ErrorKind::PlatformUnavailable, "the weight store: " + failure->detail}};
    }
    auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk) {
        co_return OriginResponse {failureFor(response, target), retryAfterOf(response)};
    }
    co_return OriginResponse {std::move(response.body)};
}

Awaitable<VoidOutcome> StoreClient::put(std::string target, std::string body) const
{
    const HttpRequest request {"PUT", target, {}, std::move(body)};
    const Outcome<HttpResponse> outcome =
            co_await callHttp(m_executor, m_address, request, m_timeout, maxManifestBytes);
    if (const Failure *failure = failureOf(outcome)) {
        co_return Failure {ErrorKind::PlatformUnavailable, "the weight store: " + failure->detail};
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk) {
        co_return failureFor(response, target);
    }
    co_return std::monostate();
}

} // namespace greengageseam
