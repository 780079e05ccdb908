/**
 * The part of Dispatcher that decides which weights requests may use, and cuts off attempts that
 * would begin too late on the weights of their backend server.
 */
#include "edge/dispatcher.h"
#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

void Dispatcher::apply(const TargetVersionChanged &command)
{
    const TargetVersion &target = command.targetVersion;
    const std::optional<Instant> known = m_weights.announcedAt(target.model, target.version);
    if (known && *known <= command.announcedAt) {
        return;
    }
    m_weights = m_weights.withAnnouncement(target.model, target.version, command.announcedAt);
    const Duration remaining = m_weights.requiredFrom(command.announcedAt) - monotonicNow();
    m_log.info("weights.deadline-set",
               {{"model", target.model.text()},
                {"version", target.version},
                {"required_in_ms", remaining.count() / 1000}});
    expireLateStarts(monotonicNow());
}

/** Remembers an attempt until its response starts, since newer weights may be announced meanwhile.
 */
void Dispatcher::awaitStart(const ReplicaLease &lease, const AcquireReplica &command)
{
    const std::optional<ModelName> model = modelOf(lease.replica.service);
    if (model && command.onStartExpired) {
        m_awaitedStarts.emplace(
                lease.id,
                AwaitedStart {*model, lease.weightsBasis.believed, command.onStartExpired});
    }
}

void Dispatcher::expireLateStarts(Instant now)
{
    std::erase_if(m_awaitedStarts, [&](const auto &it) {
        const AwaitedStart &start = it.second;
        const auto deadline = m_weights.startDeadline(start.model, start.weightsVersion);
        const bool isLate = deadline && now >= *deadline;
        if (isLate) {
            start.onExpired();
        }
        return isLate;
    });
}

/**
 * @returns the model that the engines of a service run; empty for a service without engines. The
 *          configuration tells which one it is: the list does not while a backend server loads it.
 */
std::optional<ModelName> Dispatcher::modelOf(const ServiceName &service) const
{
    const Service *known = m_table == nullptr ? nullptr : m_table->service(service);
    const bool hasEngine = known != nullptr && known->engine;
    return hasEngine ? std::optional(known->engine->model) : std::nullopt;
}

/**
 * @returns the newest target version if the backend server is believed to run it. Otherwise the
 *          result is empty, because the backend server may switch to a newer version at any time.
 */
std::optional<std::uint64_t> Dispatcher::expectedWeightsVersion(const ReplicaEntry &replica,
                                                                Instant now) const
{
    const std::optional<ModelName> model = modelOf(replica.service);
    const std::uint64_t newest = model ? m_weights.newest(*model) : 0;
    const bool runsNewest = newest != 0 && m_loads.weightsVersion(replica.id, now) == newest;
    return runsNewest ? std::optional(newest) : std::nullopt;
}

/**
 * @returns the time by which a response must start on the weights that the backend server runs now,
 *          so that a request queued there does not start on outdated weights; empty if no newer
 *          version was announced
 */
std::optional<Instant> Dispatcher::startDeadline(const ReplicaEntry &replica, Instant now) const
{
    const std::optional<ModelName> model = modelOf(replica.service);
    return model ? m_weights.startDeadline(*model, m_loads.weightsVersion(replica.id, now))
                 : std::nullopt;
}

WeightsRequirement Dispatcher::weightsRequirement(const ServiceName &service, Instant now) const
{
    const std::optional<ModelName> model = modelOf(service);
    return model ? WeightsRequirement {m_weights.required(*model, now), m_weights.newest(*model)}
                 : WeightsRequirement {};
}

} // namespace greengageseam
