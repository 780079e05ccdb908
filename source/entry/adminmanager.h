/**
 * The task behind the administration API: holds the current configuration and the state of the
 * zone, and sends the verdicts on changes to those who wait for them.
 */
#pragma once

#include "core/config/config.h"
#include "entry/entrysettings.h"
#include "entry/fleetmanager.h"
#include "logservice/logservice.h"
#include "net/http.h"
#include "net/log.h"
#include "net/mailbox.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace greengageseam {

/** Progress of a model version towards its wanted replica count in this zone. */
struct RolloutProgress
{
    /** Since when fewer replicas serve than wanted; empty while enough serve. */
    std::optional<WallTime> underReplicatedSince;
    /** Duration of the last period with too few replicas. */
    Duration lastDuration {};
    /** Bytes that the zone's agents had read from the origin at underReplicatedSince. */
    std::uint64_t originBytesAtStart = 0;

    auto operator<=>(const RolloutProgress &) const = default;
};

/** The data from which responses of the administration API are made. */
struct AdminView
{
    ConfigView config;
    FleetView fleet;
    bool isLogAvailable = true;
    /** Since when the log has been unavailable; empty while it responds. */
    std::optional<WallTime> logUnavailableSince;
    /** Agents that have not applied the configuration in force here, and since when. */
    std::map<InstanceId, WallTime> behindSince;
    std::map<Digest, RolloutProgress> rollouts;
};

/** @returns the number of usable agents in the zone that serve the version */
std::size_t countServing(const FleetView &fleet, const Digest &manifest);

/** @returns the bytes that all agents of the zone have read from the origin */
std::uint64_t totalOriginBytes(const FleetView &fleet);

/** @returns the wanted number of replicas of a model version in @p zone */
std::uint32_t wantedReplicas(const ModelVersion &modelVersion, const ZoneName &zone);

/** Availability of the log, as observed by the LogFollower. */
struct LogHealth
{
    bool isAvailable = false;
};

/** Queries the current view. */
struct AdminViewQuery
{
    MailboxPtr<AdminView> reply;
};

/** Queries the verdict on a change; the reply is sent as soon as there is one. */
struct VerdictQuery
{
    ChangeId change;
    MailboxPtr<Verdict> reply;
};

/** Messages to the AdminManager. */
using AdminCommand = std::variant<ConfigView, FleetView, LogHealth, AdminViewQuery, VerdictQuery>;

/** Owns the AdminView and the pending verdict queries. */
class AdminManager : public std::enable_shared_from_this<AdminManager>
{
public:
    AdminManager(const asio::any_io_executor &executor, ZoneName zone);

    /** @returns the mailbox of the task */
    const MailboxPtr<AdminCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const ConfigView &command);
    void apply(const FleetView &command);
    void apply(const LogHealth &command);
    void apply(const AdminViewQuery &command);
    void apply(const VerdictQuery &command);

    void updateProgress();
    void updateRollout(const ModelVersion &modelVersion, WallTime now);

    asio::any_io_executor m_executor;
    ZoneName m_zone;
    MailboxPtr<AdminCommand> m_mailbox;
    AdminView m_view;
    std::vector<VerdictQuery> m_pendingVerdicts;
};

} // namespace greengageseam
