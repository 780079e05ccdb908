/**
 * The part of RequestProxy that logs and counts.
 */
#include "edge/requestproxy.h"
#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

void RequestProxy::recordEvents(const EventsReceived &message)
{
    const Instant now = monotonicNow();
    m_longestGap = m_lastEventAt ? std::max(m_longestGap, now - *m_lastEventAt) : m_longestGap;
    m_lastEventAt = now;
    m_firstEventAt = m_firstEventAt.value_or(now);
    m_lastEventId = message.lastEventId;
    m_relayedEvents += message.events.count;
}

void RequestProxy::recordFailedAttempt(const AttemptEnded &ended) const
{
    boost::json::object fields {{"request", m_call.attemptId},
                                {"replica", ended.replica.text()},
                                {"end", outcomeInfo(ended.outcome).name},
                                {"ran", textOf(m_ran)},
                                {"left_ms", remainingTime().count() / 1000},
                                {"events", ended.events},
                                {"silent_ms", ended.silence.count() / 1000}};
    if (m_startTimeLeft) {
        fields["start_left_ms"] = m_startTimeLeft->count() / 1000;
    }
    m_context.log.info("request.send-failed", fields);
}

/** Adds how far the stream came, and why no other backend server went on with it. */
void RequestProxy::addStreamFields(boost::json::object &fields) const
{
    if (m_firstEventAt) {
        fields["first_ms"] = (*m_firstEventAt - m_arrivedAt).count() / 1000;
        fields["gap_ms"] = m_longestGap.count() / 1000;
        fields["events"] = m_relayedEvents;
    }
    if (m_unavailableFor && m_sends > 0) {
        fields["unavailable"] = descriptorFor(*m_unavailableFor).name;
    }
}

/** Adds the backend server of the last attempt, and what its choice was based on. */
void RequestProxy::addReplicaFields(boost::json::object &fields) const
{
    if (m_replica.id.isEmpty()) {
        return;
    }
    fields["replica"] = m_replica.id.text();
    if (m_weightsBasis.believed == 0 && m_weightsBasis.required == 0) {
        return;
    }
    fields["weights"] = m_weightsBasis.believed;
    fields["required"] = m_weightsBasis.required;
    if (m_weightsBasis.reportAge) {
        fields["report_ms"] = m_weightsBasis.reportAge->count() / 1000;
    }
    if (m_startTimeLeft) {
        fields["start_left_ms"] = m_startTimeLeft->count() / 1000;
    }
}

void RequestProxy::finish(std::string_view outcome, int status, std::string_view cause)
{
    m_isDone = true;
    const Instant now = monotonicNow();
    const Route *route = m_admission.routed.route;
    boost::json::object fields {{"request", m_call.attemptId},
                                {"outcome", outcome},
                                {"status", status},
                                {"ms", (now - m_arrivedAt).count() / 1000},
                                {"sends", m_sends},
                                {"ran", textOf(m_ran)}};
    if (!cause.empty()) {
        fields["cause"] = cause;
    }
    if (route != nullptr) {
        fields["asked_ms"] = (now - m_admission.firstAttemptAt).count() / 1000;
        fields["route"] = route->name.text();
        fields["priority"] = m_admission.priority.effective;
        fields["config"] = m_admission.table->config().version;
    }
    if (m_lateHedge.wasSent) {
        fields["hedge"] = m_lateHedge.hasWon ? "won" : "lost";
        m_context.metrics->count("hedges_total", "Hedges beside late attempts, by how they ended",
                                 {{"end", m_lateHedge.hasWon ? "won" : "lost"}});
    }
    addReplicaFields(fields);
    addStreamFields(fields);
    m_context.log.info("request.done", fields);
    m_context.metrics->count("requests_total", "Requests from callers, by outcome",
                             {{"outcome", std::string(outcome)}});
    m_context.metrics->observeSeconds("request_seconds",
                                      "Time from arrival to the end of the response",
                                      std::chrono::duration<double>(now - m_arrivedAt).count(),
                                      {{"outcome", std::string(outcome)}});
}

} // namespace greengageseam
