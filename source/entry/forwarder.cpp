/**
 * The steps of a request: admission, claim, attempts, relay of the response, and errors.
 */
#include "entry/forwarder.h"

#include "core/common/hashing.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxAttempts = 3;
constexpr std::size_t streamCapacity = 4096;
constexpr std::int64_t streamWindowBytes = 128 * 1024;
constexpr std::int64_t chunkOverheadBytes = 64;
constexpr std::size_t maxBufferedBytes = 8U * 1024 * 1024;
/** Largest response of a claimed request that is stored in the claim log. */
constexpr std::size_t maxStoredResponseBytes = 4096;
/** Largest age of a claim when an attempt starts; far below the retention window of claims. */
constexpr auto maxClaimAge = std::chrono::seconds(30);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Counts server-sent events; engines send one event per token. */
std::uint32_t countEvents(const std::string &bytes)
{
    constexpr std::string_view eventStart = "data: ";
    std::uint32_t events = 0;
    for (std::size_t n = bytes.find(eventStart); n != std::string::npos;
         n = bytes.find(eventStart, n + eventStart.size())) {
        ++events;
    }
    return events;
}

/** @returns what the result of an attempt says about the health of its backend server */
AttemptVerdict verdictOf(const AttemptResult &result)
{
    if (!result.failure) {
        return AttemptVerdict::Answered;
    }
    if (result.isCallerDisconnected || result.failure->kind == ErrorKind::Draining) {
        return AttemptVerdict::Neutral;
    }
    return result.failure->kind == ErrorKind::Overloaded ? AttemptVerdict::Full
                                                         : AttemptVerdict::Failed;
}

AttemptResult failedAttempt(ErrorKind kind, std::string detail, ExecutionStatus ran)
{
    return {Failure {kind, std::move(detail)}, ran, false};
}

AttemptResult callerDisconnected(ExecutionStatus ran)
{
    return {Failure {ErrorKind::AnswerBroken, "the caller has disconnected"}, ran, true};
}

} // namespace

Forwarder::Forwarder(const asio::any_io_executor &executor, HttpExchange &exchange,
                     CallerRequest request, ForwarderChannels channels, Duration timeout,
                     std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_exchange(exchange), m_request(std::move(request)),
      m_channels(std::move(channels)), m_deadline(monotonicNow() + timeout),
      m_metrics(std::move(metrics)), m_log(log.withFields({{"request", m_request.id.text()}})),
      m_startedAt(monotonicNow())
{
    m_request.routeQuery.deadline = m_deadline;
}

Awaitable<void> Forwarder::run()
{
    const Outcome<RouteGrant> admitted = co_await admit();
    if (const Failure *failure = failureOf(admitted)) {
        AttemptResult rejected {*failure, ExecutionStatus::NotExecuted, false};
        co_await respondWithError(rejected);
        co_return;
    }
    RouteGrant grant = std::get<RouteGrant>(admitted);
    const AccountName account = grant.account;
    const ExecutionStatus ran = co_await runAdmitted(std::move(grant));
    const std::uint32_t charged = m_request.routeQuery.estimatedTokens;
    const std::uint32_t used = ran == ExecutionStatus::NotExecuted
            ? 0
            : (m_streamedTokens > 0 ? m_streamedTokens : charged);
    RouterCommand finished = RequestFinished {account, charged, used};
    co_await m_channels.router->send(std::move(finished));
    m_metrics->observeSeconds("request_seconds",
                              "Time from the arrival of a request to the end of its response",
                              toSeconds(monotonicNow() - m_startedAt));
}

/** Claims a non-idempotent request before its first attempt, if it has an idempotency key. */
Awaitable<ExecutionStatus> Forwarder::runAdmitted(RouteGrant grant)
{
    const bool needsClaim = !grant.isIdempotent && !m_request.idempotencyKey.empty();
    if (needsClaim && !co_await claim(grant)) {
        RouterCommand finished =
                AttemptFinished {grant.instance, AttemptVerdict::Neutral, Duration::zero()};
        co_await m_channels.router->send(std::move(finished));
        co_return ExecutionStatus::NotExecuted;
    }
    AttemptResult result = co_await runAttempts(std::move(grant));
    const ExecutionStatus ran = result.ran;
    finishClaim(result);
    co_await completeResponse(std::move(result));
    co_return ran;
}

/** @returns true if the request may run; if false, the response was already sent to the caller */
Awaitable<bool> Forwarder::claim(RouteGrant grant)
{
    ClaimReply reply = co_await requestClaim(grant.account);
    if (const auto *granted = std::get_if<ClaimGrant>(&reply)) {
        m_claim = *granted;
        co_return true;
    }
    if (auto *stored = std::get_if<StoredResponse>(&reply)) {
        StoredResponse recorded = std::move(*stored);
        co_await replayResponse(std::move(recorded));
        co_return false;
    }
    const auto &rejection = std::get<ClaimRejection>(reply);
    AttemptResult rejected {rejection.failure, rejection.ran, false};
    co_await respondWithError(rejected);
    co_return false;
}

Awaitable<ClaimReply> Forwarder::requestClaim(AccountName account)
{
    const std::string &key = m_request.idempotencyKey;
    const auto keyCheck = toOutcome([&]() -> Result<std::monostate> {
        BOOST_LEAF_CHECK(checkIdempotencyKey(key, IdempotencyKeyOptions(), wallNow()));
        return std::monostate();
    });
    if (const Failure *failure = failureOf(keyCheck)) {
        co_return ClaimRejection {*failure, descriptorFor(failure->kind).ran};
    }
    const auto reply = makeMailbox<ClaimReply>(m_executor, 1);
    const std::uint64_t fingerprint = checksumOf(
            m_request.routeQuery.method + "\n" + m_request.path + "\n" + m_request.body, 0);
    const ClaimKey claimKey = makeClaimKey(account, m_request.routeQuery.service, key);
    if (!m_channels.claims->post(ClaimRequest {claimKey, fingerprint, m_deadline, reply})) {
        const Failure failure {ErrorKind::Overloaded, "the entry's claim queue is full"};
        co_return ClaimRejection {failure, ExecutionStatus::NotExecuted};
    }
    co_return *(co_await reply->receive());
}

/** Sends the stored response of an earlier request with the same key. */
Awaitable<void> Forwarder::replayResponse(StoredResponse stored)
{
    m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "replayed"}});
    HttpResponse response {stored.status, stored.contentType, {}, std::move(stored.body)};
    response.headers.push_back({"X-Request-Id", m_request.id.text()});
    response.headers.push_back({"Idempotency-Replayed", "true"});
    co_await m_exchange.respond(std::move(response));
}

/** Records the outcome in the claim log, for a caller that repeats the request. */
void Forwarder::finishClaim(const AttemptResult &result)
{
    if (!m_claim) {
        return;
    }
    if (result.ran == ExecutionStatus::NotExecuted) {
        m_channels.claims->post(ClaimReleased {m_claim->key, m_claim->position});
        return;
    }
    m_channels.claims->post(ClaimFinished {m_claim->key, result.ran, std::move(m_storedResponse)});
}

bool Forwarder::isClaimExpired() const
{
    return m_claim && monotonicNow() - m_claim->claimedAt > maxClaimAge;
}

Awaitable<Outcome<RouteGrant>> Forwarder::admit()
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    if (!m_channels.router->post(AdmitRequest {m_request.routeQuery, reply})) {
        co_return Failure {ErrorKind::Overloaded, "the entry's request queue is full"};
    }
    co_return *(co_await reply->receive());
}

Awaitable<Outcome<RouteGrant>> Forwarder::routeRetry(const RouteGrant &previous)
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    RouterCommand command = RouteRetry {m_request.routeQuery, previous, m_triedAgents, reply};
    co_await m_channels.router->send(std::move(command));
    co_return *(co_await reply->receive());
}

Awaitable<AttemptResult> Forwarder::runAttempts(RouteGrant grant)
{
    AttemptResult result;
    while (true) {
        m_triedAgents.insert(grant.instance);
        const Instant startedAt = monotonicNow();
        result = co_await attempt(grant);
        RouterCommand finished =
                AttemptFinished {grant.instance, verdictOf(result), monotonicNow() - startedAt};
        co_await m_channels.router->send(std::move(finished));
        if (!result.failure || result.isCallerDisconnected || !canRetry(result, grant)) {
            break;
        }
        const Outcome<RouteGrant> next = co_await routeRetry(grant);
        if (failureOf(next) != nullptr) {
            break;
        }
        grant = std::get<RouteGrant>(next);
        m_metrics->count("retries_total", "Attempts after the first attempt of a request");
    }
    if (!result.failure) {
        m_log.debug("request.done",
                    {{"agent", grant.instance.text()},
                     {"manifest", grant.manifest.text()},
                     {"bytes", m_receivedBytes}});
    }
    co_return result;
}

Awaitable<void> Forwarder::completeResponse(AttemptResult result)
{
    if (result.isCallerDisconnected) {
        m_log.debug("request.caller-gone");
        m_exchange.abort();
    } else if (result.failure) {
        co_await respondWithError(result);
    } else {
        m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "answered"}});
    }
}

Awaitable<AttemptResult> Forwarder::attempt(RouteGrant grant)
{
    using namespace asio::experimental::awaitable_operators;
    resetResponse();
    const StreamId stream = grant.link.nextStream();
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    const OpenMessage open = openMessage(grant);
    if (isClaimExpired()) {
        co_return failedAttempt(ErrorKind::PlatformUnavailable,
                                "the claim is too old to start an attempt",
                                ExecutionStatus::NotExecuted);
    }
    const bool isSubscribed = grant.link.subscribe(stream, events);
    if (!isSubscribed || !grant.link.post(stream, open)) {
        grant.link.unsubscribe(stream);
        co_return failedAttempt(ErrorKind::NoBackendServer, "the link to the agent is down",
                                ExecutionStatus::NotExecuted);
    }
    AttemptResult result;
    if (m_claim) {
        // A claimed request continues after its caller disconnects, so that a caller that repeats
        // it receives its outcome.
        result = co_await readResponse(events, grant.link, stream);
    } else {
        auto completed = co_await (readResponse(events, grant.link, stream)
                                   || m_exchange.waitForDisconnect());
        result = completed.index() == 0 ? std::get<0>(std::move(completed))
                                        : callerDisconnected(ExecutionStatus::Unknown);
    }
    if (result.failure && !result.isCallerDisconnected && result.ran == ExecutionStatus::Unknown
        && m_receivedBytes == 0) {
        result = co_await resolveUnknownOutcome(grant, open.attempt, std::move(result));
    }
    if (result.failure) {
        grant.link.post(stream, CancelMessage {open.attempt, grant.agentTimestamp});
        m_log.debug("attempt.failed",
                    {{"attempt", open.attempt.text()},
                     {"agent", grant.instance.text()},
                     {"ran", textOf(result.ran)},
                     {"reason", result.failure->detail}});
    }
    grant.link.unsubscribe(stream);
    co_return result;
}

/** Queries the agent for the execution status, unless the agent itself reported it as unknown. */
Awaitable<AttemptResult> Forwarder::resolveUnknownOutcome(RouteGrant grant, AttemptId attempt,
                                                          AttemptResult result)
{
    if (!m_isResponseLost) {
        co_return result;
    }
    const ExecutionStatus ran =
            co_await m_channels.queryExecutionStatus(std::move(grant), std::move(attempt));
    if (ran == ExecutionStatus::NotExecuted) {
        result.ran = ExecutionStatus::NotExecuted;
        result.failure->kind = ErrorKind::NoBackendServer;
    }
    co_return result;
}

/** Discards the response data of the previous attempt. */
void Forwarder::resetResponse()
{
    m_streamedTokens = 0;
    m_bufferedBody.clear();
    m_head = HeadMessage();
    m_receivedBytes = 0;
    m_checksum = 0;
    m_isResponseLost = false;
}

Awaitable<AttemptResult> Forwarder::readResponse(MailboxPtr<StreamEvent> events,
                                                 PeerLinkHandle link, StreamId stream)
{
    while (true) {
        std::optional<StreamEvent> event = co_await events->receiveWithin(remainingTime());
        if (!event) {
            m_isResponseLost = true;
            co_return failedAttempt(ErrorKind::DeadlineExceeded,
                                    "the response was not complete before the deadline",
                                    ExecutionStatus::Unknown);
        }
        if (const auto *closed = std::get_if<LinkClosed>(&*event)) {
            m_isResponseLost = true;
            co_return failedAttempt(ErrorKind::AnswerBroken, closed->reason,
                                    ExecutionStatus::Unknown);
        }
        auto &message = std::get<Message>(*event);
        if (const auto *failure = std::get_if<FailedMessage>(&message)) {
            co_return AttemptResult {failure->failure, failure->ran, false};
        }
        if (const auto *head = std::get_if<HeadMessage>(&message)) {
            m_head = *head;
        } else if (auto *data = std::get_if<DataMessage>(&message)) {
            const auto n = static_cast<std::int64_t>(data->bytes.size());
            if (!co_await relayData(std::move(*data))) {
                co_return callerDisconnected(ExecutionStatus::Unknown);
            }
            link.post(stream, CreditMessage {n + chunkOverheadBytes});
        } else if (const auto *end = std::get_if<EndMessage>(&message)) {
            co_return co_await finishResponse(*end);
        }
    }
}

/**
 * Sends data to the caller, or buffers it while the response is not streamed. A response that
 * exceeds the buffer is streamed from then on.
 * @returns false if the caller has disconnected
 */
Awaitable<bool> Forwarder::relayData(DataMessage data)
{
    m_receivedBytes += static_cast<std::int64_t>(data.bytes.size());
    m_checksum = checksumOf(data.bytes, m_checksum);
    if (m_request.isStreamed) {
        m_streamedTokens += countEvents(data.bytes);
    }
    if (!m_request.isStreamed && m_bufferedBody.size() + data.bytes.size() <= maxBufferedBytes) {
        m_bufferedBody += data.bytes;
        co_return true;
    }
    if (!m_exchange.hasStarted()) {
        m_metrics->observeSeconds("first_part_seconds",
                                  "Time to the first chunk of a streamed response",
                                  toSeconds(monotonicNow() - m_startedAt));
        HttpResponse head {m_head.status, m_head.contentType, {}, {}};
        head.headers.push_back({"X-Request-Id", m_request.id.text()});
        if (!co_await m_exchange.beginStream(std::move(head))) {
            co_return false;
        }
        m_request.isStreamed = true;
        std::string buffered = std::move(m_bufferedBody);
        m_bufferedBody.clear();
        if (!co_await m_exchange.sendPart(std::move(buffered))) {
            co_return false;
        }
    }
    co_return co_await m_exchange.sendPart(std::move(data.bytes));
}

/** Completes the response only if the received data matches the length and checksum in @p end. */
Awaitable<AttemptResult> Forwarder::finishResponse(EndMessage end)
{
    if (end.length != m_receivedBytes || end.checksum != m_checksum) {
        co_return failedAttempt(ErrorKind::AnswerBroken,
                                "the response does not match its length and checksum",
                                ExecutionStatus::Unknown);
    }
    bool isDelivered = false;
    storeResponse();
    if (m_exchange.hasStarted()) {
        isDelivered = co_await m_exchange.endStream();
    } else {
        HttpResponse response {m_head.status, m_head.contentType, {}, std::move(m_bufferedBody)};
        response.headers.push_back({"X-Request-Id", m_request.id.text()});
        isDelivered = co_await m_exchange.respond(std::move(response));
    }
    if (!isDelivered) {
        co_return callerDisconnected(ExecutionStatus::Executed);
    }
    co_return AttemptResult {std::nullopt, ExecutionStatus::Executed, false};
}

/** Stores a short response of a claimed request for callers that repeat the request. */
void Forwarder::storeResponse()
{
    const bool isStorable = m_claim && !m_exchange.hasStarted()
            && m_bufferedBody.size() <= maxStoredResponseBytes && isRecordText(m_bufferedBody);
    if (isStorable) {
        m_storedResponse = StoredResponse {m_head.status, m_head.contentType, m_bufferedBody};
    }
}

OpenMessage Forwarder::openMessage(const RouteGrant &grant) const
{
    OpenMessage open;
    open.attempt = AttemptId(makeUniqueId());
    open.request = m_request.id;
    open.model = m_request.routeQuery.model;
    open.manifest = grant.manifest;
    open.service = m_request.routeQuery.service;
    open.method = m_request.routeQuery.method;
    open.path = m_request.path;
    open.contentType = m_request.contentType;
    open.body = m_request.body;
    open.remainingTime = remainingTime();
    open.priority = static_cast<std::int32_t>(grant.priority);
    open.window = streamWindowBytes;
    open.incarnation = grant.incarnation;
    open.stamp = grant.agentTimestamp;
    if (m_claim) {
        open.claimOffset = m_claim->position.offset;
        open.claimKey = textOf(m_claim->key);
    }
    return open;
}

Duration Forwarder::remainingTime() const
{
    const Instant now = monotonicNow();
    return now < m_deadline ? m_deadline - now : Duration::zero();
}

bool Forwarder::canRetry(const AttemptResult &result, const RouteGrant &grant) const
{
    if (m_exchange.hasStarted() || m_triedAgents.size() >= maxAttempts) {
        return false;
    }
    if (remainingTime() == Duration::zero()) {
        return false;
    }
    return result.ran == ExecutionStatus::NotExecuted || grant.isIdempotent;
}

Awaitable<void> Forwarder::respondWithError(const AttemptResult &result)
{
    const std::string kind(descriptorFor(result.failure->kind).name);
    m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", kind}});
    m_log.debug("request.failed", {{"kind", kind}, {"reason", result.failure->detail}});
    if (m_exchange.hasStarted()) {
        m_exchange.abort();
        co_return;
    }
    HttpResponse response = problemResponse(*result.failure, result.ran);
    response.headers.push_back({"X-Request-Id", m_request.id.text()});
    co_await m_exchange.respond(std::move(response));
}

} // namespace greengageseam
