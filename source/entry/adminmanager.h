/**
 * The task behind the administration API: it knows the configuration and the zone, and tells
 * proposers what became of their changes.
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

/** How long a version has been short of replicas in this zone, as this entry saw it. */
struct RolloutProgress
{
    /** Since when fewer serve than wanted; nothing while enough do. */
    std::optional<WallTime> underReplicatedSince;
    /** How long it last took until enough served. */
    Duration lastDuration {};
    /** What the zone's agents had read from the origin when it became short. */
    std::uint64_t originBytesAtStart = 0;

    auto operator<=>(const RolloutProgress &) const = default;
};

/** What an answer of the API is made from. */
struct AdminView
{
    ConfigView config;
    FleetView fleet;
    bool isLogAvailable = true;
    /** Since when the log does not answer. */
    std::optional<WallTime> logUnavailableSince;
    /** Agents that lack the configuration in force here, since when. */
    std::map<InstanceId, WallTime> behindSince;
    std::map<Digest, RolloutProgress> rollouts;
};

/** @returns how many usable agents of the zone serve the version */
std::size_t countServing(const FleetView &fleet, const Digest &manifest);

/** @returns what the zone's agents have read from the origin */
std::uint64_t totalOriginBytes(const FleetView &fleet);

/** @returns how many replicas of the row the zone wants */
std::uint32_t wantedReplicas(const ModelVersion &modelVersion, const ZoneName &zone);

/** Whether the log answers, as its tail found out. */
struct LogHealth
{
    bool isAvailable = false;
};

/** Asks for the newest view. */
struct AdminViewQuery
{
    MailboxPtr<AdminView> reply;
};

/** Asks for the verdict on a change as soon as there is one. */
struct VerdictQuery
{
    ChangeId change;
    MailboxPtr<Verdict> reply;
};

/** Messages to the keeper. */
using AdminCommand = std::variant<ConfigView, FleetView, LogHealth, AdminViewQuery, VerdictQuery>;

/** Keeps what the administration API answers from. */
class AdminManager : public std::enable_shared_from_this<AdminManager>
{
public:
    AdminManager(const asio::any_io_executor &executor, ZoneName zone);

    /** @returns where to send commands */
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
