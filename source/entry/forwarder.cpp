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
constexpr std::int64_t windowBytes = 128 * 1024;
constexpr std::int64_t partOverheadBytes = 64;
constexpr std::size_t maxCollectedBytes = 8U * 1024 * 1024;
/** Largest response of a claimed request that is stored in the claim log. */
constexpr std::size_t maxRecordedBytes = 4096;
/** Largest age of a claim when an attempt starts; far below the retention window of claims. */
constexpr auto claimHandOffLimit = std::chrono::seconds(30);

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Counts server-sent events; engines send one event per token. */
std::uint32_t eventsIn(const std::string &bytes)
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
    if (result.callerGone || result.failure->kind == ErrorKind::Draining) {
        return AttemptVerdict::Neutral;
    }
    return result.failure->kind == ErrorKind::Overloaded ? AttemptVerdict::Full
                                                         : AttemptVerdict::Failed;
}

AttemptResult failed(ErrorKind kind, std::string detail, Ran ran)
{
    return {Failure {kind, std::move(detail)}, ran, false};
}

AttemptResult goneCaller(Ran ran)
{
    return {Failure {ErrorKind::AnswerBroken, "the caller has disconnected"}, ran, true};
}

} // namespace

Forwarder::Forwarder(const asio::any_io_executor &executor, HttpExchange &exchange,
                     CallerRequest request, ForwarderChannels channels, Duration limit,
                     std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_exchange(exchange), m_request(std::move(request)),
      m_channels(std::move(channels)), m_deadline(monotonicNow() + limit),
      m_metrics(std::move(metrics)), m_log(log.with({{"request", m_request.id.text()}})),
      m_startedAt(monotonicNow())
{
    m_request.question.deadline = m_deadline;
}

Awaitable<void> Forwarder::run()
{
    const Outcome<RouteGrant> admitted = co_await admit();
    if (const Failure *failure = failureOf(admitted)) {
        AttemptResult refused {*failure, Ran::No, false};
        co_await answerFailure(refused);
        co_return;
    }
    RouteGrant grant = std::get<RouteGrant>(admitted);
    const AccountName account = grant.account;
    const Ran ran = co_await runGranted(std::move(grant));
    const std::uint32_t charged = m_request.question.estimatedTokens;
    const std::uint32_t used = ran == Ran::No ? 0 : (m_tokens > 0 ? m_tokens : charged);
    RouterCommand finished = RequestFinished {account, charged, used};
    co_await m_channels.router->send(std::move(finished));
    m_metrics->observeSeconds("request_seconds",
                              "Time from the arrival of a request to the end of its response",
                              secondsOf(monotonicNow() - m_startedAt));
}

/** Claims a non-idempotent request before its first attempt, if it has an idempotency key. */
Awaitable<Ran> Forwarder::runGranted(RouteGrant grant)
{
    const bool wantsClaim = !grant.isRepeatable && !m_request.idempotencyKey.empty();
    if (wantsClaim && !co_await claim(grant)) {
        RouterCommand finished =
                AttemptFinished {grant.instance, AttemptVerdict::Neutral, Duration::zero()};
        co_await m_channels.router->send(std::move(finished));
        co_return Ran::No;
    }
    AttemptResult result = co_await runAttempts(std::move(grant));
    const Ran ran = result.ran;
    settleClaim(result);
    co_await tellCaller(std::move(result));
    co_return ran;
}

/** @returns true if the request may run; if false, the response was already sent to the caller */
Awaitable<bool> Forwarder::claim(RouteGrant grant)
{
    ClaimReply reply = co_await askForClaim(grant.account);
    if (const auto *granted = std::get_if<ClaimGrant>(&reply)) {
        m_claim = *granted;
        co_return true;
    }
    if (auto *answer = std::get_if<ClaimAnswer>(&reply)) {
        ClaimAnswer recorded = std::move(*answer);
        co_await replay(std::move(recorded));
        co_return false;
    }
    const auto &refusal = std::get<ClaimRefusal>(reply);
    AttemptResult refused {refusal.failure, refusal.ran, false};
    co_await answerFailure(refused);
    co_return false;
}

Awaitable<ClaimReply> Forwarder::askForClaim(AccountName account)
{
    const std::string &key = m_request.idempotencyKey;
    const auto isGood = settle([&]() -> Result<std::monostate> {
        BOOST_LEAF_CHECK(checkCallerKey(key, KeyOptions(), wallNow()));
        return std::monostate();
    });
    if (const Failure *failure = failureOf(isGood)) {
        co_return ClaimRefusal {*failure, answerFor(failure->kind).ran};
    }
    const auto reply = makeMailbox<ClaimReply>(m_executor, 1);
    const std::uint64_t fingerprint = checksumOf(
            m_request.question.method + "\n" + m_request.path + "\n" + m_request.body, 0);
    const ClaimKey claimKey = claimKeyOf(account, m_request.question.service, key);
    if (!m_channels.claims->post(ClaimCall {claimKey, fingerprint, m_deadline, reply})) {
        const Failure failure {ErrorKind::Overloaded, "the entry's claim queue is full"};
        co_return ClaimRefusal {failure, Ran::No};
    }
    co_return *(co_await reply->receive());
}

/** Sends the stored response of an earlier request with the same key. */
Awaitable<void> Forwarder::replay(ClaimAnswer answer)
{
    m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "replayed"}});
    HttpResponse response {answer.status, answer.contentType, {}, std::move(answer.body)};
    response.headers.push_back({"X-Request-Id", m_request.id.text()});
    response.headers.push_back({"Idempotency-Replayed", "true"});
    co_await m_exchange.respond(std::move(response));
}

/** Records the outcome in the claim log, for a caller that repeats the request. */
void Forwarder::settleClaim(const AttemptResult &result)
{
    if (!m_claim) {
        return;
    }
    if (result.ran == Ran::No) {
        m_channels.claims->post(ClaimReleased {m_claim->key, m_claim->position});
        return;
    }
    m_channels.claims->post(ClaimEnded {m_claim->key, result.ran, std::move(m_answer)});
}

bool Forwarder::isClaimTooOld() const
{
    return m_claim && monotonicNow() - m_claim->claimedAt > claimHandOffLimit;
}

Awaitable<Outcome<RouteGrant>> Forwarder::admit()
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    if (!m_channels.router->post(AdmitRequest {m_request.question, reply})) {
        co_return Failure {ErrorKind::Overloaded, "the entry's request queue is full"};
    }
    co_return *(co_await reply->receive());
}

Awaitable<Outcome<RouteGrant>> Forwarder::routeAgain(const RouteGrant &before)
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    RouterCommand command = RouteAgain {m_request.question, before, m_tried, reply};
    co_await m_channels.router->send(std::move(command));
    co_return *(co_await reply->receive());
}

Awaitable<AttemptResult> Forwarder::runAttempts(RouteGrant grant)
{
    AttemptResult result;
    while (true) {
        m_tried.insert(grant.instance);
        const Instant startedAt = monotonicNow();
        result = co_await attempt(grant);
        RouterCommand finished =
                AttemptFinished {grant.instance, verdictOf(result), monotonicNow() - startedAt};
        co_await m_channels.router->send(std::move(finished));
        if (!result.failure || result.callerGone || !mayTryAgain(result, grant)) {
            break;
        }
        const Outcome<RouteGrant> next = co_await routeAgain(grant);
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
                     {"bytes", m_length}});
    }
    co_return result;
}

Awaitable<void> Forwarder::tellCaller(AttemptResult result)
{
    if (result.callerGone) {
        m_log.debug("request.caller-gone");
        m_exchange.breakOff();
    } else if (result.failure) {
        co_await answerFailure(result);
    } else {
        m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "answered"}});
    }
}

Awaitable<AttemptResult> Forwarder::attempt(RouteGrant grant)
{
    using namespace asio::experimental::awaitable_operators;
    resetAnswer();
    const StreamId stream = grant.link.nextStream();
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    const OpenMessage open = openMessage(grant);
    if (isClaimTooOld()) {
        co_return failed(ErrorKind::PlatformUnavailable, "the claim is too old to start an attempt",
                         Ran::No);
    }
    const bool isListening = grant.link.listen(stream, events);
    if (!isListening || !grant.link.post(stream, open)) {
        grant.link.forget(stream);
        co_return failed(ErrorKind::NoBackendServer, "the link to the agent is down", Ran::No);
    }
    AttemptResult result;
    if (m_claim) {
        // A claimed request continues after its caller disconnects, so that a caller that repeats
        // it receives its outcome.
        result = co_await readAnswer(events, grant.link, stream);
    } else {
        auto first =
                co_await (readAnswer(events, grant.link, stream) || m_exchange.waitUntilGone());
        result = first.index() == 0 ? std::get<0>(std::move(first)) : goneCaller(Ran::Unknown);
    }
    if (result.failure && !result.callerGone && result.ran == Ran::Unknown && m_length == 0) {
        result = co_await settleUnknown(grant, open.attempt, std::move(result));
    }
    if (result.failure) {
        grant.link.post(stream, CancelMessage {open.attempt, grant.stamp});
        m_log.debug("attempt.failed",
                    {{"attempt", open.attempt.text()},
                     {"agent", grant.instance.text()},
                     {"ran", textOf(result.ran)},
                     {"reason", result.failure->detail}});
    }
    grant.link.forget(stream);
    co_return result;
}

/** Queries the agent for the execution status, unless the agent itself reported it as unknown. */
Awaitable<AttemptResult> Forwarder::settleUnknown(RouteGrant grant, AttemptId attempt,
                                                  AttemptResult result)
{
    if (!m_isAnswerLost) {
        co_return result;
    }
    const Ran ran = co_await m_channels.askIfRan(std::move(grant), std::move(attempt));
    if (ran == Ran::No) {
        result.ran = Ran::No;
        result.failure->kind = ErrorKind::NoBackendServer;
    }
    co_return result;
}

/** Discards the response data of the previous attempt. */
void Forwarder::resetAnswer()
{
    m_tokens = 0;
    m_collected.clear();
    m_head = HeadMessage();
    m_length = 0;
    m_checksum = 0;
    m_isAnswerLost = false;
}

Awaitable<AttemptResult> Forwarder::readAnswer(MailboxPtr<StreamEvent> events, PeerLinkHandle link,
                                               StreamId stream)
{
    while (true) {
        std::optional<StreamEvent> event = co_await events->receiveWithin(timeLeft());
        if (!event) {
            m_isAnswerLost = true;
            co_return failed(ErrorKind::DeadlineExceeded,
                             "the response was not complete before the deadline", Ran::Unknown);
        }
        if (const auto *closed = std::get_if<LinkClosed>(&*event)) {
            m_isAnswerLost = true;
            co_return failed(ErrorKind::AnswerBroken, closed->reason, Ran::Unknown);
        }
        auto &message = std::get<Message>(*event);
        if (const auto *failure = std::get_if<FailedMessage>(&message)) {
            co_return AttemptResult {failure->failure, failure->ran, false};
        }
        if (const auto *head = std::get_if<HeadMessage>(&message)) {
            m_head = *head;
        } else if (auto *data = std::get_if<DataMessage>(&message)) {
            const auto n = static_cast<std::int64_t>(data->bytes.size());
            if (!co_await pass(std::move(*data))) {
                co_return goneCaller(Ran::Unknown);
            }
            link.post(stream, CreditMessage {n + partOverheadBytes});
        } else if (const auto *end = std::get_if<EndMessage>(&message)) {
            co_return co_await finish(*end);
        }
    }
}

/**
 * Sends data to the caller, or buffers it while the response is not streamed. A response that
 * exceeds the buffer is streamed from then on.
 * @returns false if the caller has disconnected
 */
Awaitable<bool> Forwarder::pass(DataMessage data)
{
    m_length += static_cast<std::int64_t>(data.bytes.size());
    m_checksum = checksumOf(data.bytes, m_checksum);
    if (m_request.isStreamed) {
        m_tokens += eventsIn(data.bytes);
    }
    if (!m_request.isStreamed && m_collected.size() + data.bytes.size() <= maxCollectedBytes) {
        m_collected += data.bytes;
        co_return true;
    }
    if (!m_exchange.hasBegun()) {
        m_metrics->observeSeconds("first_part_seconds",
                                  "Time to the first chunk of a streamed response",
                                  secondsOf(monotonicNow() - m_startedAt));
        HttpResponse head {m_head.status, m_head.contentType, {}, {}};
        head.headers.push_back({"X-Request-Id", m_request.id.text()});
        if (!co_await m_exchange.beginStream(std::move(head))) {
            co_return false;
        }
        m_request.isStreamed = true;
        std::string collected = std::move(m_collected);
        m_collected.clear();
        if (!co_await m_exchange.sendPart(std::move(collected))) {
            co_return false;
        }
    }
    co_return co_await m_exchange.sendPart(std::move(data.bytes));
}

/** Completes the response only if the received data matches the length and checksum in @p end. */
Awaitable<AttemptResult> Forwarder::finish(EndMessage end)
{
    if (end.length != m_length || end.checksum != m_checksum) {
        co_return failed(ErrorKind::AnswerBroken,
                         "the response does not match its length and checksum", Ran::Unknown);
    }
    bool isTaken = false;
    recordAnswer();
    if (m_exchange.hasBegun()) {
        isTaken = co_await m_exchange.endStream();
    } else {
        HttpResponse response {m_head.status, m_head.contentType, {}, std::move(m_collected)};
        response.headers.push_back({"X-Request-Id", m_request.id.text()});
        isTaken = co_await m_exchange.respond(std::move(response));
    }
    if (!isTaken) {
        co_return goneCaller(Ran::Yes);
    }
    co_return AttemptResult {std::nullopt, Ran::Yes, false};
}

/** Stores a short response of a claimed request for callers that repeat the request. */
void Forwarder::recordAnswer()
{
    const bool isKept = m_claim && !m_exchange.hasBegun() && m_collected.size() <= maxRecordedBytes
            && isRecordText(m_collected);
    if (isKept) {
        m_answer = ClaimAnswer {m_head.status, m_head.contentType, m_collected};
    }
}

OpenMessage Forwarder::openMessage(const RouteGrant &grant) const
{
    OpenMessage open;
    open.attempt = AttemptId(makeUniqueId());
    open.request = m_request.id;
    open.model = m_request.question.model;
    open.manifest = grant.manifest;
    open.service = m_request.question.service;
    open.method = m_request.question.method;
    open.path = m_request.path;
    open.contentType = m_request.contentType;
    open.body = m_request.body;
    open.timeLeft = timeLeft();
    open.priority = static_cast<std::int32_t>(grant.priority);
    open.window = windowBytes;
    open.incarnation = grant.incarnation;
    open.stamp = grant.stamp;
    if (m_claim) {
        open.claim = m_claim->position.offset;
        open.claimKey = textOf(m_claim->key);
    }
    return open;
}

Duration Forwarder::timeLeft() const
{
    const Instant now = monotonicNow();
    return now < m_deadline ? m_deadline - now : Duration::zero();
}

bool Forwarder::mayTryAgain(const AttemptResult &result, const RouteGrant &grant) const
{
    if (m_exchange.hasBegun() || m_tried.size() >= maxAttempts) {
        return false;
    }
    if (timeLeft() == Duration::zero()) {
        return false;
    }
    return result.ran == Ran::No || grant.isRepeatable;
}

Awaitable<void> Forwarder::answerFailure(const AttemptResult &result)
{
    const std::string kind(answerFor(result.failure->kind).name);
    m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", kind}});
    m_log.debug("request.failed", {{"kind", kind}, {"reason", result.failure->detail}});
    if (m_exchange.hasBegun()) {
        m_exchange.breakOff();
        co_return;
    }
    HttpResponse response = problemResponse(*result.failure, result.ran);
    response.headers.push_back({"X-Request-Id", m_request.id.text()});
    co_await m_exchange.respond(std::move(response));
}

} // namespace greengageseam
