/**
 * The part of Dispatcher that grants hedges beside attempts that are late, but not silent.
 */
#include "edge/dispatcher.h"
#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

namespace {

/**
 * Share of the retry budget that hedges leave untouched, so that requests whose backend servers
 * fail can still be sent again.
 */
constexpr double retryShareOfHedges = 0.5;

} // namespace

/** Grants or denies a hedge at once: one that has to wait would come too late. */
void Dispatcher::grantHedge(AcquireReplica command, Instant now)
{
    const std::set<ReplicaId> silent = m_hedges.silentReplicas(now);
    command.requirements.tried.insert(silent.begin(), silent.end());
    const std::uint64_t random = randomNumber();
    const std::optional<HedgeDenial> denial = denialOf(command, now, random);
    if (denial || !tryAcquire(command, now, random)) {
        const HedgeDenial cause = denial.value_or(HedgeDenial::NoServer);
        m_metrics->count("hedges_denied_total", "Hedges beside late attempts that were denied",
                         {{"cause", std::string(nameOf(cause))}});
        command.reply->post(ReplicaUnavailable {ErrorKind::Overloaded, Duration::zero()});
    }
}

/** @returns why the hedge is denied; empty if it is granted */
std::optional<HedgeDenial> Dispatcher::denialOf(const AcquireReplica &command, Instant now,
                                                std::uint64_t random)
{
    const ServiceName &service = command.requirements.service;
    const std::optional<Duration> forecast =
            m_loads.forecast(currentRequirements(command, now), now, random);
    std::optional<HedgeConditions> conditions =
            m_hedges.conditions(command.lateLease, forecast, now);
    if (!conditions) {
        // The first attempt has just begun to respond, or has ended.
        return HedgeDenial::NoGain;
    }
    conditions->isSaturated = m_saturated.contains(service);
    conditions->hasPendingRequests =
            std::any_of(m_pending.begin(), m_pending.end(), [&](const auto &it) {
                return it.second.requirements.service == service && it.second.reply->isOpen();
            });
    conditions->hasRetryBudget =
            retryBudget(service).allowsWithin(retryShareOfHedges, now, m_entryCount);
    return hedgeDenial(*conditions);
}

/** Records an attempt that a lease is given for, and the hedge that it is. */
void Dispatcher::trackAttempt(ReplicaLease &lease, const AcquireReplica &command,
                              std::optional<Duration> forecast, Instant now)
{
    if (command.lateLease != 0) {
        lease.hedge = m_hedges.grant(command.lateLease, now);
    }
    AwaitedAttempt attempt;
    attempt.lease = lease.id;
    attempt.service = command.requirements.service;
    attempt.replica = lease.replica.id;
    attempt.promptTokens = command.requirements.promptTokens;
    attempt.sentAt = now;
    lease.hedgeDelay = m_hedges.started(std::move(attempt), forecast);
}

/** Records the end of an attempt, and the response of one that was not a stream. */
void Dispatcher::trackRelease(const LeaseReleased &command, Instant now)
{
    if (command.verdict == ReplicaVerdict::Answered) {
        m_hedges.responseStarted(command.lease, now);
    }
    m_hedges.released(command.lease, now);
}

} // namespace greengageseam
