/**
 * The gate of an agent, which alone decides whether an attempt may run on the backend server.
 *
 * It rejects attempts that are duplicates, cancelled, too old, or addressed to another process or
 * version, attempts whose requests do not fit into the process, and all attempts while the agent
 * drains.
 */
#pragma once

#include "core/once/once.h"
#include "engine/engine.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/peerlink.h"
#include "net/processbudget.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** An entry requests that an attempt be started. */
struct StartAttempt
{
    OpenMessage open;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** An entry cancels an attempt, which may not have arrived yet. */
struct CancelAttempt
{
    CancelMessage cancel;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** An attempt has ended, successfully or not. */
struct AttemptEnded
{
    AttemptId attempt;
    Digest manifest;
};

/** The engine has reported its state. */
struct EngineStateReceived
{
    EngineState state;
};

/** The incarnation number of the agent was assigned or has changed. */
struct IncarnationUpdated
{
    Offset number;
};

/** Reply to ReleaseVersion and DrainGate: the requests in progress have ended. */
struct Released
{ };

/** Rejects new attempts for a version, and replies when none is in progress. */
struct ReleaseVersion
{
    Digest manifest;
    MailboxPtr<Released> reply;
};

/** Admits attempts for a version again. */
struct ReopenVersion
{
    Digest manifest;
};

/** Rejects all new attempts. If there is a reply mailbox, replies when none is in progress. */
struct DrainGate
{
    MailboxPtr<Released> reply;
};

/** Triggers the removal of expired records of finished attempts. */
struct GateTick
{ };

/** Messages to the gate. */
using GateCommand =
        std::variant<StartAttempt, CancelAttempt, AttemptEnded, EngineStateReceived,
                     IncarnationUpdated, ReleaseVersion, ReopenVersion, DrainGate, GateTick>;

/** State of the gate, which heartbeats report. */
struct GateStatus
{
    std::uint32_t running = 0;
    bool isDraining = false;

    auto operator<=>(const GateStatus &) const = default;
};

/** Hook that is called with the status after each change. It must not block. */
using GateObserver = std::function<void(const GateStatus &status)>;

/** Backend server and limits of the gate. */
struct GateOptions
{
    Address backendAddress;
    /** Service of the backend server; empty for an engine. */
    ServiceName service;
    /** Start time of the agent's process. */
    WallTime startedAt;
    AttemptRegistryOptions attempts;
    /** Maximum age of the agent timestamp that a claimed request carries. */
    Duration maxClaimAge = std::chrono::seconds(30);
    /**
     * Time to remember the key of a claimed request; at least the time for which claims are valid.
     */
    Duration keyRetention = std::chrono::minutes(16);
    /** Maximum number of keys of claimed requests to remember. */
    std::size_t maxKeys = 65'536;
    /** Bytes that an attempt takes besides the body of its request and what its entry reads. */
    std::size_t attemptBytes = 32UL * 1024;

    auto operator<=>(const GateOptions &) const = default;
};

/**
 * The task that admits attempts. It owns the registry of attempts and the set of served versions.
 */
class Gate : public std::enable_shared_from_this<Gate>
{
public:
    /**
     * @param executor runs the task
     * @param options backend server and limits
     * @param budget shared with the agent's HTTP connections; not null
     * @param observer called with each new status
     * @param metrics receives the numbers of running and rejected attempts
     * @param log logger of the agent
     */
    Gate(const asio::any_io_executor &executor, GateOptions options, ProcessBudgetPtr budget,
         GateObserver observer, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox for commands to this task */
    const MailboxPtr<GateCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    struct RunningAttempt
    {
        /** A cancellation reaches the attempt through it, even if it arrives over another link. */
        MailboxPtr<StreamEvent> events;
        HeldBytesPtr held;
    };

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
    /** @returns what holds the bytes of an attempt, or null if there is no room */
    HeldBytesPtr holdBytesOf(const OpenMessage &open);
    /**
     * Rejects an attempt for which there is no room, so that it can never start.
     * @returns false if it may have been started before, so that it cannot be called new
     */
    bool rejectForRoom(const StartAttempt &command);
    void startAttempt(const StartAttempt &command, HeldBytesPtr held);
    void reject(const StartAttempt &command, const Failure &failure,
                ExecutionStatus executionStatus);
    void completeReleases();
    void publishStatus();

    asio::any_io_executor m_executor;
    GateOptions m_options;
    ProcessBudgetPtr m_budget;
    GateObserver m_observer;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<GateCommand> m_mailbox;
    AttemptRegistry m_attempts;
    /** Claimed requests that were started, by their keys. */
    AttemptRegistry m_claimedRequests;
    /** Holds the bytes of all attempts in the budget. */
    HolderId m_holder;
    /** Attempts in progress. */
    std::map<AttemptId, RunningAttempt> m_running;
    std::set<Digest> m_servedVersions;
    /** Versions that admit no new attempts because they are about to be unloaded. */
    std::set<Digest> m_closedVersions;
    std::map<Digest, std::uint32_t> m_runningByManifest;
    std::vector<ReleaseVersion> m_pendingReleases;
    std::vector<DrainGate> m_pendingDrains;
    Offset m_incarnation;
    bool m_isDraining = false;
};

} // namespace greengageseam
