/**
 * The part of RequestProxy that logs and counts, and reports how attempts went to the task that
 * looks for prompts that crash backend servers.
 */
#include "edge/requestproxy.h"
#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** A backend server that crashes as it begins to respond may have sent one event. */
constexpr std::uint32_t minEventsOfBegun = 2;
/** Number of prompt parts in a log line. */
constexpr std::size_t maxLoggedParts = 8;

/** @returns whether the backend server, or its connection, was lost during the attempt */
bool isConnectionLoss(UpstreamOutcome end)
{
    return end == UpstreamOutcome::BrokenWhileSending || end == UpstreamOutcome::BrokenBeforeAnswer
            || end == UpstreamOutcome::BrokenAnswer;
}

} // namespace

void RequestProxy::recordEvents(std::uint32_t count)
{
    const bool wasBegun = m_attemptEvents >= minEventsOfBegun;
    m_attemptEvents += count;
    m_relayedEvents += count;
    if (!wasBegun && m_attemptEvents >= minEventsOfBegun) {
        reportPartsAnswered();
    }
}

void RequestProxy::reportPartsAnswered()
{
    if (!m_promptParts.empty()) {
        m_context.quarantine->post(PartsAnswered {m_promptParts});
    }
}

void RequestProxy::recordLostAttempt(const ReplicaLease &lease, const AttemptResult &result)
{
    const bool isBegun = m_attemptEvents >= minEventsOfBegun;
    if (!isConnectionLoss(result.end) || isBegun || m_writer.isDisconnected()) {
        return;
    }
    m_wasLost = true;
    boost::json::array parts;
    for (const PromptPartId &part : m_promptParts) {
        if (parts.size() < maxLoggedParts) {
            parts.emplace_back(part.text());
        }
    }
    m_context.log.info("request.attempt-lost",
                       {{"request", m_call.attemptId},
                        {"replica", lease.replica.id.text()},
                        {"born", lease.replica.startedAtMs},
                        {"events", m_attemptEvents},
                        {"parts", std::move(parts)}});
    m_context.metrics->count("attempts_lost_total",
                             "Upstream attempts whose connection was lost before the response");
    if (!m_promptParts.empty()) {
        m_context.quarantine->post(
                AttemptLost {{lease.replica.id, lease.replica.startedAtMs}, m_promptParts});
    }
}

Duration RequestProxy::silentTime() const
{
    const Instant heardAt =
            m_lastEventAt ? std::max(*m_lastEventAt, m_attemptStartedAt) : m_attemptStartedAt;
    return monotonicNow() - heardAt;
}

void RequestProxy::recordFailedAttempt(const ReplicaLease &lease, UpstreamOutcome end) const
{
    boost::json::object fields {{"request", m_call.attemptId},
                                {"replica", lease.replica.id.text()},
                                {"end", outcomeInfo(end).name},
                                {"ran", textOf(m_ran)},
                                {"left_ms", remainingTime().count() / 1000},
                                {"events", m_attemptEvents},
                                {"silent_ms", silentTime().count() / 1000}};
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
    if (m_unavailableFor && m_attempts > 0) {
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

void RequestProxy::recordOutcome(std::string_view outcome, int status, std::string_view cause)
{
    const Instant now = monotonicNow();
    const Route *route = m_admission.routed.route;
    boost::json::object fields {{"request", m_call.attemptId},
                                {"outcome", outcome},
                                {"status", status},
                                {"ms", (now - m_arrivedAt).count() / 1000},
                                {"sends", m_attempts},
                                {"ran", textOf(m_ran)}};
    if (!cause.empty()) {
        fields["cause"] = cause;
    }
    if (route != nullptr) {
        fields["asked_ms"] = (now - m_admission.firstAttemptAt).count() / 1000;
        fields["route"] = route->name.text();
        fields["config"] = m_admission.table->config().version;
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
