/**
 * The task that follows one topic of the platform's store: it reads the topic whole, then what is
 * added, and again whole if records that it lacks were deleted.
 */
#pragma once

#include "net/log.h"
#include "net/mailbox.h"
#include "net/storehooks.h"

#include <functional>
#include <optional>
#include <variant>

namespace greengageseam {

/** How the records of a topic are read. */
struct TopicReader
{
    ReadSnapshot snapshot;
    ReadTail tail;
};

/** How a topic is followed. */
struct FollowOptions
{
    /** Name of the topic in the log. */
    std::string name;
    /** How long the store waits for news. */
    Duration pollTimeout {};
    /** Pause between two reads. */
    Duration pollInterval {};
    /** Whether only the newest record of each key is read, whatever was read before. */
    bool readsSnapshotsOnly = false;
    /** While changes come in quick succession, only the newest are read, at this pause; 0 to read
     * each of them. */
    Duration burstInterval {};
};

/** What a follower tells; the hooks must not wait. */
struct FollowHooks
{
    /** The whole topic was read. */
    std::function<void(const KeyedSnapshot &snapshot)> onSnapshot;
    /** What was added from an offset on was read, even if that is nothing. */
    std::function<void(std::uint64_t from, const KeyedBatch &tail)> onTail;
    /** The store can be read again; may be empty. */
    std::function<void()> onStoreRecovered;
};

/** Time to read. */
struct ReadDue
{
    /** Number of the reading that this belongs to; earlier ones were given up. */
    std::uint64_t readId = 0;
};

/** Somebody has read further; the read in progress should bring that, too. */
struct CatchUp
{
    std::uint64_t upTo = 0;
};

/** The read in progress had time to bring what somebody else has read. */
struct CatchUpCheckDue
{
    std::uint64_t upTo = 0;
};

/** The connections to the store may have fallen silent. */
struct RestartRead
{ };

/** The whole topic was read, or could not be. */
struct SnapshotRead
{
    std::uint64_t readId = 0;
    Outcome<KeyedSnapshot> snapshot;
};

/** What was added was read, or could not be. */
struct TailRead
{
    std::uint64_t readId = 0;
    std::uint64_t from = 0;
    Outcome<KeyedBatch> tail;
};

/** Somebody else has read the topic and passes on what is new. */
struct PeerReadReceived
{
    std::uint64_t from = 0;
    std::uint64_t next = 0;
    /** Takes over what is new, even if that is nothing; called only if nothing was missed. */
    std::function<void()> applyDelta;
};

/** Whether somebody else is expected to read the topic and to pass on what is new. */
struct RelyOnPeers
{
    bool relies = false;
};

/** Messages to a follower. */
using FollowCommand = std::variant<ReadDue, CatchUp, CatchUpCheckDue, RestartRead, SnapshotRead,
                                   TailRead, PeerReadReceived, RelyOnPeers>;

/** Follows a topic until the process ends. */
class TopicFollower : public std::enable_shared_from_this<TopicFollower>
{
public:
    TopicFollower(const asio::any_io_executor &executor, TopicReader reader, FollowOptions options,
                  FollowHooks hooks, Log log);

    /** @returns where to send commands */
    const MailboxPtr<FollowCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const ReadDue &command);
    void apply(const CatchUp &command);
    void apply(const CatchUpCheckDue &command);
    void apply(const RestartRead &command);
    void apply(const SnapshotRead &command);
    void apply(const TailRead &command);
    void apply(const PeerReadReceived &command);
    void apply(const RelyOnPeers &command);
    void applySnapshot(const KeyedSnapshot &snapshot);
    void applyTail(const TailRead &command);
    void finishRead(std::uint64_t readId, const Failure *failure);
    void reportAvailability(const Failure *failure);
    void scheduleNextRead(bool hasFailed);
    void postAfter(Duration delay, FollowCommand command);
    void detectBurst(bool hasChanged);
    bool needsSnapshot() const;
    Awaitable<void> readSnapshot(std::uint64_t readId);
    Awaitable<void> readTail(std::uint64_t readId, std::uint64_t from);
    Awaitable<void> waitAndPost(Duration delay, FollowCommand command);

    asio::any_io_executor m_executor;
    TopicReader m_reader;
    FollowOptions m_options;
    FollowHooks m_hooks;
    Log m_log;
    MailboxPtr<FollowCommand> m_mailbox;
    /** Offset from which on nothing is known; nothing while the topic was not read whole. */
    std::optional<std::uint64_t> m_nextOffset;
    Duration m_backoff;
    bool m_isStoreLost = false;
    bool m_reliesOnPeers = false;
    /** When others last passed on what they read. */
    Instant m_lastPeerReadAt;
    /** When the topic was last seen to have changed. */
    Instant m_lastChangeAt;
    /** Whether changes come in quick succession. */
    bool m_isBurst = false;
    /** Number of the reading in progress; the results of earlier ones start no other. */
    std::uint64_t m_readId = 0;
    bool m_isCatchUpCheckPending = false;
};

} // namespace greengageseam
