/**
 * The gate: the one place where it is decided whether an attempt may run at a backend server.
 */
#pragma once

#include "core/once/once.h"
#include "engine/engine.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** An entry hands an attempt over. */
struct StartAttempt
{
    OpenMessage open;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** An entry gives up an attempt that may not have started. */
struct CancelAttempt
{
    CancelMessage cancel;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** An attempt has ended, in whatever way. */
struct AttemptEnded
{
    AttemptId attempt;
    Digest manifest;
};

/** The engine reported its state. */
struct EngineStateReceived
{
    EngineState state;
};

/** The agent got the number of its incarnation. */
struct IncarnationUpdated
{
    Offset number;
};

/** Says that no request in progress needs a version any more. */
struct Released
{ };

/** Takes no more work for a version, and replies when none is in progress. */
struct ReleaseVersion
{
    Digest manifest;
    MailboxPtr<Released> reply;
};

/** Takes work for a version again. */
struct ReopenVersion
{
    Digest manifest;
};

/** Takes no more work at all, and replies, if asked to, when none is in progress. */
struct DrainGate
{
    MailboxPtr<Released> reply;
};

/** Time passes; the ledger forgets what is old. */
struct GateTick
{ };

/** Messages to the gate. */
using GateCommand =
        std::variant<StartAttempt, CancelAttempt, AttemptEnded, EngineStateReceived,
                     IncarnationUpdated, ReleaseVersion, ReopenVersion, DrainGate, GateTick>;

/** What the gate tells of itself, for heartbeats and metrics. */
struct GateStatus
{
    std::uint32_t running = 0;
    bool isDraining = false;

    auto operator<=>(const GateStatus &) const = default;
};

/** Hook that is told of each new status; it must not wait. */
using GateObserver = std::function<void(const GateStatus &status)>;

/** What the gate guards. */
struct GateOptions
{
    Address backendAddress;
    /** Empty for an engine. */
    ServiceName service;
    /** Start of the agent's process. */
    WallTime startedAt;
    AttemptRegistryOptions attempts;
    /** Greatest age of the stamp that comes with a claimed call. */
    Duration maxClaimAge = std::chrono::seconds(30);
    /** How long the key of a claimed call is remembered; at least the window of claims. */
    Duration keyRetention = std::chrono::minutes(16);
    /** How many keys of claimed calls are remembered. */
    std::size_t maxKeys = 65'536;

    auto operator<=>(const GateOptions &) const = default;
};

/** The task that admits attempts. It alone knows the ledger and what may be served. */
class Gate : public std::enable_shared_from_this<Gate>
{
public:
    Gate(const asio::any_io_executor &executor, GateOptions options, GateObserver observer,
         std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<GateCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> runCommands();
    void apply(const StartAttempt &command);
    void apply(const CancelAttempt &command);
    void apply(const AttemptEnded &command);
    void apply(const EngineStateReceived &command);
    void apply(const IncarnationUpdated &command);
    void apply(const ReleaseVersion &command);
    void apply(const ReopenVersion &command);
    void apply(const DrainGate &command);
    void apply(const GateTick &command);
    std::optional<Failure> rejectionReason(const OpenMessage &open) const;
    std::optional<Failure> claimRejectionReason(const OpenMessage &open, Instant now) const;
    StartResult admit(const OpenMessage &open, Instant now);
    void startAttempt(const StartAttempt &command);
    void reject(const StartAttempt &command, const Failure &failure,
                ExecutionStatus executionStatus);
    void completeReleases();
    void publishStatus();

    asio::any_io_executor m_executor;
    GateOptions m_options;
    GateObserver m_observer;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<GateCommand> m_mailbox;
    AttemptRegistry m_attempts;
    /** Remembers which claimed calls were started, by their keys. */
    AttemptRegistry m_claimedRequests;
    /** Where attempts in progress hear of a cancel that comes over another link. */
    std::map<AttemptId, MailboxPtr<StreamEvent>> m_attemptEvents;
    std::set<Digest> m_servedVersions;
    /** Versions that take no new work because they are about to be unloaded. */
    std::set<Digest> m_closedVersions;
    std::map<Digest, std::uint32_t> m_runningByManifest;
    std::vector<ReleaseVersion> m_pendingReleases;
    std::vector<DrainGate> m_pendingDrains;
    Offset m_incarnation;
    bool m_isDraining = false;
};

} // namespace greengageseam
