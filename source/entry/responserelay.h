/**
 * Relays the response of an agent to the caller, and verifies that it is complete.
 */
#pragma once

#include "core/once/once.h"
#include "entry/attemptresult.h"
#include "net/httpserver.h"
#include "net/metrics.h"
#include "protocol/messages.h"

#include <memory>
#include <optional>
#include <string>

namespace greengageseam {

/**
 * The response of the current attempt of one request. A response that is not streamed is buffered
 * until it is complete, so that a failed attempt leaves nothing with the caller and can be retried.
 */
class ResponseRelay
{
public:
    /**
     * @param exchange must outlive the relay
     * @param isStreamed whether the caller requested a streamed response
     * @param requestStartedAt start of the time to the first chunk
     */
    ResponseRelay(HttpExchange &exchange, RequestId request, bool isStreamed,
                  Instant requestStartedAt, std::shared_ptr<Metrics> metrics);

    /** Discards the response data of the previous attempt. */
    void reset();
    /** Sets the status and content type of the response. */
    void setHead(HeadMessage head);
    /**
     * Sends data to the caller, or buffers it while the response is not streamed. A response that
     * exceeds the buffer, or for which the process has no room, is streamed from then on.
     * @param data must outlive the call, which may move the bytes out of it
     * @returns false if the caller has disconnected
     */
    Awaitable<bool> relay(DataMessage &data);
    /**
     * Completes the response only if the received data matches its length and checksum.
     * @param end must outlive the call
     */
    Awaitable<AttemptResult> finish(const EndMessage &end);

    /** Keeps a copy of the response when it is complete, if it is short enough to be stored. */
    void keepCopy() { m_keepsCopy = true; }
    /** @returns the copy of the complete response, unless none was kept */
    std::optional<StoredResponse> takeCopy() { return std::move(m_copy); }

    /** @returns the number of bytes of the body that the attempt has received */
    std::int64_t receivedBytes() const { return m_receivedBytes; }
    /** @returns the number of tokens of a streamed response that were relayed */
    std::uint32_t streamedTokens() const { return m_streamedTokens; }

private:
    bool canBuffer(std::size_t bytes);
    Awaitable<bool> beginStream();
    void storeCopy();

    HttpExchange &m_exchange;
    RequestId m_request;
    /** True if data is sent to the caller as it arrives. */
    bool m_isStreamed;
    Instant m_requestStartedAt;
    std::shared_ptr<Metrics> m_metrics;
    HeadMessage m_head;
    /** The response body received so far, unless the response is streamed. */
    std::string m_bufferedBody;
    std::int64_t m_receivedBytes = 0;
    std::uint64_t m_checksum = 0;
    std::uint32_t m_streamedTokens = 0;
    bool m_keepsCopy = false;
    std::optional<StoredResponse> m_copy;
};

} // namespace greengageseam
