/**
 * The part of RequestProxy that searches for backend servers, starts attempts and gives them up.
 */
#include "edge/requestproxy.h"
#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

/** Time before callers abandon a stream at which its servers are looked at. */
constexpr auto patienceMargin = std::chrono::milliseconds(200);
/** A timer that is handled later than this shows that the process was not running. */
constexpr auto maxTimerDelay = std::chrono::milliseconds(100);

/** Passes the end of a search on to the proxy that has started it. */
Awaitable<void> forwardSearch(std::uint64_t search, double promptTokens, SearchReply reply,
                              MailboxPtr<DispatchCommand> dispatcher,
                              MailboxPtr<ProxyMessage> inbox)
{
    SearchEnded ended = co_await awaitSearch(search, promptTokens, reply, dispatcher);
    ProxyMessage message = std::move(ended);
    co_await inbox->send(std::move(message));
}

} // namespace

AttemptProgress RequestProxy::progress() const
{
    AttemptProgress progress;
    progress.sent = m_sends + static_cast<std::uint32_t>(m_unsent.size());
    progress.inProgress = static_cast<std::uint32_t>(m_attempts.size());
    progress.hasStarted = m_isStreaming;
    progress.hasEventId = m_lastEventId.has_value();
    progress.remaining = remainingTime();
    return progress;
}

std::vector<RequestProxy::AttemptPtr>::iterator RequestProxy::find(std::uint64_t lease)
{
    return std::find_if(m_attempts.begin(), m_attempts.end(),
                        [lease](const AttemptPtr &it) { return it->lease() == lease; });
}

void RequestProxy::abortAll(AttemptAbort reason)
{
    if (m_searchReply) {
        m_searchReply->close();
    }
    for (const AttemptPtr &it : m_attempts) {
        it->abort(reason);
    }
}

void RequestProxy::startSearch()
{
    ++m_search;
    m_searchReply =
            makeMailbox<std::variant<ReplicaLease, ReplicaUnavailable>>(m_context.executor, 1);
    m_nextStart = std::make_shared<AttemptStart>();
    if (m_isExpired || !m_context.dispatcher->post(searchQuery())) {
        m_searchReply->close();
    }
    asio::co_spawn(m_context.executor,
                   forwardSearch(m_search, static_cast<double>(m_call.promptTokens), m_searchReply,
                                 m_context.dispatcher, m_inbox),
                   asio::detached);
}

AcquireReplica RequestProxy::searchQuery() const
{
    const Route &route = *m_admission.routed.route;
    AcquireReplica query;
    query.attemptId = m_call.attemptId;
    query.table = m_admission.table;
    query.routed = m_admission.routed;
    query.requirements.service = m_admission.service;
    query.requirements.tried = m_triedReplicas;
    query.requirements.latencyObjective = route.latencyObjective;
    query.requirements.promptTokens = static_cast<double>(m_call.promptTokens);
    query.priority = m_admission.priority;
    query.isRetry = m_sends > 0;
    query.isHedge = !m_attempts.empty();
    query.lateLease = m_lateHedge.isSearched ? m_attempts.front()->lease() : 0;
    // Without an attempt id, a late response to an earlier request could not be told apart.
    query.allowsPooledConnection = canRetry() && !m_call.attemptId.empty();
    const bool isLikelyRetry = m_arrivedAt - m_admission.firstAttemptAt > route.latencyObjective;
    WaitingRequest waiting;
    waiting.latencyObjective = route.latencyObjective;
    waiting.remaining = remainingTime();
    waiting.mayReturn = !isLikelyRetry && m_ran == ExecutionStatus::NotExecuted && !query.isHedge;
    query.wait = queueWait(waiting);
    query.waitsSince = monotonicNow();
    query.deadline = m_deadline;
    query.promptParts = m_promptParts;
    query.wasLost = m_wasLost;
    query.lateAfter = m_admission.firstAttemptAt + route.latencyObjective;
    query.onStartExpired = makeStartExpiry(m_nextStart);
    query.reply = m_searchReply;
    return query;
}

void RequestProxy::endSearch()
{
    if (m_searchReply) {
        m_searchReply->close();
        m_searchReply.reset();
    }
    m_lateHedge.isSearched = false;
}

void RequestProxy::startAttempt(ReplicaLease lease)
{
    m_unavailableFor.reset();
    m_replica = processOf(lease.replica);
    m_weightsBasis = lease.weightsBasis;
    m_startTimeLeft.reset();
    m_triedReplicas.insert(lease.replica.id);
    m_lateHedge.delay = lease.hedgeDelay;
    if (lease.hedge) {
        recordLateHedge(lease);
    }
    AttemptOptions options;
    options.lease = std::move(lease);
    options.attemptId = m_call.attemptId;
    options.promptTokens = static_cast<double>(m_call.promptTokens);
    options.promptParts = m_promptParts;
    if (m_admission.routed.account != nullptr) {
        options.account = m_admission.routed.account->name;
    }
    options.deadline = m_deadline;
    options.lastEventId = m_lastEventId;
    options.isFirst = m_sends == 0;
    options.isIdempotent = canRetry();
    options.isResumption = m_isStreaming;
    options.start = m_nextStart;
    options.mayHold = [this](std::size_t bytes) { return m_writer.mayHold(bytes); };
    m_attempts.push_back(
            std::make_shared<UpstreamAttempt>(m_context, m_request, std::move(options), m_inbox));
    ++m_unreported;
    m_unsent.insert(m_attempts.back()->lease());
    m_attempts.back()->start();
}

void RequestProxy::apply(const AttemptSent &message)
{
    ++m_sends;
    m_unsent.erase(message.lease);
    m_startTimeLeft = message.startTimeLeft;
    m_lateHedge.wasSent = m_lateHedge.wasSent || message.lease == m_lateHedge.lease;
    watchForSilence();
    if (m_patienceWait == 0) {
        watchForPatience();
    }
}

/** Starts to wait for the next part of a response, if the request may be hedged without one. */
void RequestProxy::watchForSilence()
{
    m_silenceTimer.cancel();
    ++m_silenceWait;
    const Route &route = *m_admission.routed.route;
    if (m_isDone || m_isExpired || m_searchReply || !allowsHedge(route, progress())) {
        return;
    }
    const Instant now = monotonicNow();
    const Duration silence = silenceTimeout(route.kind, remainingTime());
    m_silentAt = now + silence;
    startSilenceTimer(now + std::min(silence, lateHedgeDelay().value_or(silence)));
}

void RequestProxy::startSilenceTimer(Instant dueAt)
{
    m_silenceTimer.expires_at(dueAt);
    m_silenceTimer.async_wait(
            [inbox = m_inbox, wait = m_silenceWait,
             dueAt = m_silenceTimer.expiry()](const boost::system::error_code &ec) {
                if (!ec) {
                    inbox->post(SilenceElapsed {wait, dueAt});
                }
            });
}

void RequestProxy::apply(const SilenceElapsed &message)
{
    const Route &route = *m_admission.routed.route;
    const bool isCurrent = message.wait == m_silenceWait && !m_isDone && !m_isExpired;
    if (!isCurrent || m_searchReply || m_writer.isDisconnected()
        || !allowsHedge(route, progress())) {
        return;
    }
    if (monotonicNow() - message.dueAt > maxTimerDelay) {
        // This process was not running, so parts of the response may wait to be read.
        watchForSilence();
        return;
    }
    if (message.dueAt < m_silentAt) {
        startLateHedgeSearch();
        return;
    }
    reportSilence();
    startSearch();
}

/** Tells the dispatcher once that the backend server of the attempt in progress is silent. */
void RequestProxy::reportSilence()
{
    const std::uint64_t lease = m_attempts.front()->lease();
    if (lease != m_silentLease) {
        m_silentLease = lease;
        m_context.dispatcher->post(ReplicaSilent {m_attempts.front()->replica()});
    }
}

void RequestProxy::watchForPatience()
{
    m_patienceTimer.cancel();
    ++m_patienceWait;
    const Route &route = *m_admission.routed.route;
    if (m_isDone || route.kind != RouteKind::Streaming || !canRetry()) {
        return;
    }
    const Instant waitsSince = m_lastEventAt.value_or(m_arrivedAt);
    const Instant dueAt = waitsSince + callerPatience(route) - patienceMargin;
    m_patienceTimer.expires_at(std::max(dueAt, monotonicNow() + maxTimerDelay));
    m_patienceTimer.async_wait(
            [inbox = m_inbox, wait = m_patienceWait,
             due = m_patienceTimer.expiry()](const boost::system::error_code &ec) {
                if (!ec) {
                    inbox->post(PatienceElapsed {wait, due});
                }
            });
}

/** Asks which of the attempts in progress have lost their backend servers. */
void RequestProxy::apply(const PatienceElapsed &message)
{
    if (message.wait != m_patienceWait || m_isDone) {
        return;
    }
    if (monotonicNow() - message.dueAt > maxTimerDelay) {
        // This process was not running, so parts of the response may wait to be read.
        watchForPatience();
        return;
    }
    for (const AttemptPtr &it : m_attempts) {
        const ReplicaMayBeLost lost {message.wait, it->lease()};
        m_context.dispatcher->post(
                LossQuery {it->replica(), [inbox = m_inbox, lost] { inbox->post(lost); }});
    }
}

/** Answers the caller while it still waits, and no longer holds on to a server that stands still.
 */
void RequestProxy::apply(const ReplicaMayBeLost &message)
{
    const auto it = find(message.lease);
    if (message.wait == m_patienceWait && it != m_attempts.end()) {
        (*it)->abort(AttemptAbort::Lost);
    }
}

void RequestProxy::keepOnly(std::uint64_t lease)
{
    endSearch();
    if (!m_isStreaming) {
        m_lateHedge.hasWon = lease == m_lateHedge.lease;
    }
    for (const AttemptPtr &it : m_attempts) {
        if (it->lease() != lease) {
            it->abort(it->lease() < lease ? AttemptAbort::Superseded : AttemptAbort::Withdrawn);
        }
    }
    std::erase_if(m_attempts, [lease](const AttemptPtr &it) { return it->lease() != lease; });
}

} // namespace greengageseam
