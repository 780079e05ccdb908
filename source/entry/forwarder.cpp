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

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Engines send an event for each token. */
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

/** What an attempt's end says of its backend server. */
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

} // namespace

Forwarder::Forwarder(const asio::any_io_executor &executor, HttpExchange &exchange,
                     CallerRequest request, MailboxPtr<RouterCommand> router, Duration limit,
                     std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_exchange(exchange), m_request(std::move(request)),
      m_router(std::move(router)), m_deadline(monotonicNow() + limit),
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
    const Ran ran = co_await runAttempts(std::move(grant));
    const std::uint32_t charged = m_request.question.estimatedTokens;
    const std::uint32_t used = ran == Ran::No ? 0 : (m_tokens > 0 ? m_tokens : charged);
    RouterCommand finished = RequestFinished {account, charged, used};
    co_await m_router->send(std::move(finished));
    m_metrics->observeSeconds("request_seconds", "Time of a request from its admission to its end",
                              secondsOf(monotonicNow() - m_startedAt));
}

Awaitable<Outcome<RouteGrant>> Forwarder::admit()
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    if (!m_router->post(AdmitRequest {m_request.question, reply})) {
        co_return Failure {ErrorKind::Overloaded, "the entry's queue is full"};
    }
    co_return *(co_await reply->receive());
}

Awaitable<Outcome<RouteGrant>> Forwarder::routeAgain(const RouteGrant &before)
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    RouterCommand command = RouteAgain {m_request.question, before, m_tried, reply};
    co_await m_router->send(std::move(command));
    co_return *(co_await reply->receive());
}

Awaitable<Ran> Forwarder::runAttempts(RouteGrant grant)
{
    AttemptResult result;
    while (true) {
        m_tried.insert(grant.instance);
        const Instant startedAt = monotonicNow();
        result = co_await attempt(grant);
        RouterCommand finished =
                AttemptFinished {grant.instance, verdictOf(result), monotonicNow() - startedAt};
        co_await m_router->send(std::move(finished));
        if (!result.failure || result.callerGone || !mayTryAgain(result, grant)) {
            break;
        }
        const Outcome<RouteGrant> next = co_await routeAgain(grant);
        if (failureOf(next) != nullptr) {
            break;
        }
        grant = std::get<RouteGrant>(next);
        m_metrics->count("retries_total", "Attempts after the first of a request");
    }
    if (result.callerGone) {
        m_log.debug("request.caller-gone");
        m_exchange.breakOff();
    } else if (result.failure) {
        co_await answerFailure(result);
    } else {
        m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "answered"}});
        m_log.debug("request.done",
                    {{"agent", grant.instance.text()},
                     {"manifest", grant.manifest.text()},
                     {"bytes", m_length}});
    }
    co_return result.ran;
}

Awaitable<AttemptResult> Forwarder::attempt(RouteGrant grant)
{
    using namespace asio::experimental::awaitable_operators;
    const StreamId stream = grant.link.nextStream();
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    const OpenMessage open = openMessage(grant);
    const bool isListening = grant.link.listen(stream, events);
    if (!isListening || !grant.link.post(stream, open)) {
        grant.link.forget(stream);
        co_return failed(ErrorKind::NoBackendServer, "the link to the agent is down", Ran::No);
    }
    auto first = co_await (readAnswer(events, grant.link, stream) || m_exchange.waitUntilGone());
    AttemptResult result;
    if (first.index() == 0) {
        result = std::get<0>(std::move(first));
    } else {
        result = {Failure {ErrorKind::AnswerBroken, "the caller has gone"}, Ran::Unknown, true};
    }
    if (result.failure) {
        grant.link.post(stream, CancelMessage {open.attempt});
        m_log.debug("attempt.failed",
                    {{"attempt", open.attempt.text()},
                     {"agent", grant.instance.text()},
                     {"reason", result.failure->detail}});
    }
    grant.link.forget(stream);
    co_return result;
}

Awaitable<AttemptResult> Forwarder::readAnswer(MailboxPtr<StreamEvent> events, PeerLinkHandle link,
                                               StreamId stream)
{
    while (true) {
        std::optional<StreamEvent> event = co_await events->receiveWithin(timeLeft());
        if (!event) {
            co_return failed(ErrorKind::DeadlineExceeded, "the answer took too long", Ran::Unknown);
        }
        if (const auto *closed = std::get_if<LinkClosed>(&*event)) {
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
                co_return AttemptResult {Failure {ErrorKind::AnswerBroken, "the caller has gone"},
                                         Ran::Unknown, true};
            }
            link.post(stream, CreditMessage {n + partOverheadBytes});
        } else if (const auto *end = std::get_if<EndMessage>(&message)) {
            co_return co_await finish(*end);
        }
    }
}

/** Hands a part to the caller, or collects it. @returns false if the caller has gone */
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
        m_metrics->observeSeconds("first_part_seconds", "Time to the first part of an answer",
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

/** Checks the end mark, and ends the answer as whole only if it matches what was passed on. */
Awaitable<AttemptResult> Forwarder::finish(EndMessage end)
{
    if (end.length != m_length || end.checksum != m_checksum) {
        co_return failed(ErrorKind::AnswerBroken, "the answer does not match its end mark",
                         Ran::Unknown);
    }
    bool isTaken = false;
    if (m_exchange.hasBegun()) {
        isTaken = co_await m_exchange.endStream();
    } else {
        HttpResponse response {m_head.status, m_head.contentType, {}, std::move(m_collected)};
        response.headers.push_back({"X-Request-Id", m_request.id.text()});
        isTaken = co_await m_exchange.respond(std::move(response));
    }
    if (!isTaken) {
        co_return AttemptResult {Failure {ErrorKind::AnswerBroken, "the caller has gone"}, Ran::Yes,
                                 true};
    }
    co_return AttemptResult {std::nullopt, Ran::Yes, false};
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
    return open;
}

Duration Forwarder::timeLeft() const
{
    const Instant now = monotonicNow();
    return now < m_deadline ? m_deadline - now : Duration::zero();
}

bool Forwarder::mayTryAgain(const AttemptResult &result, const RouteGrant &grant) const
{
    if (m_exchange.hasBegun() || m_length > 0 || m_tried.size() >= maxAttempts) {
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
