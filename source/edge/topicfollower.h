/**
 * Task that follows one topic of the platform's store. It reads a snapshot, then the records that
 * are appended, and a snapshot again if records that it has not read yet were deleted.
 */
#pragma once

#include "net/log.h"
#include "net/mailbox.h"
#include "net/storehooks.h"

#include <functional>
#include <optional>
#include <variant>

namespace greengageseam {

/** What a read in progress is likely to bring. */
enum class ReadProgress {
    /** There is no read, or nothing shows that it will bring something. */
    None,
    /** It has just begun, and the reads before it brought something. */
    Expected,
    /** It is receiving its result. */
    Receiving
};

/** Functions that read a topic. */
struct TopicReader
{
    /** Reads the newest record of each key. */
    ReadSnapshot snapshot;
    /** Reads the records from a position on. */
    ReadTail tail;
    /**
     * @returns whether the read in progress makes progress, or ends soon by itself, so that it must
     *     not be restarted; may be empty
     */
    std::function<bool()> isReceiving;
    /** @returns whether another process reads the store and passes the result on; may be empty */
    std::function<bool()> isRelayed;
    /** Gives up the read in progress, so that it stops using the network; may be empty. */
    std::function<void()> cancel;
};

/** Options of TopicFollower. */
struct FollowOptions
{
    /** Name of the topic in the log. */
    std::string name;
    /** Long-poll timeout: how long the store holds a read that has no new records to return. */
    Duration pollTimeout {};
    /** Time between two reads. */
    Duration pollInterval {};
    /** Whether every read is a snapshot, even if an earlier read could be continued. */
    bool readsSnapshotsOnly = false;
    /**
     * Time between two reads during a burst of changes, when only snapshots are read; 0 to read
     * every record even then.
     */
    Duration burstInterval {};
    /**
     * Whether the delay after a failed read counts from the start of that read, so that the next
     * read follows at once if the failed one hung.
     */
    bool countsBackoffFromStart = false;
};

/** Hooks of TopicFollower. They must not block. */
struct FollowHooks
{
    /** Called after a snapshot was read. */
    std::function<void(const KeyedSnapshot &snapshot)> onSnapshot;
    /** Called after the records from a position on were read, even if there are none. */
    std::function<void(TopicPosition from, const KeyedBatch &tail)> onTail;
    /** Called when the store is available again after a failure; may be empty. */
    std::function<void()> onStoreRecovered;
};

/** The next read is due. */
struct ReadDue
{
    /** The read that this belongs to; earlier reads have been abandoned. */
    std::uint64_t readId = 0;
};

/** Another process has read further, so the read in progress should return those records, too. */
struct CatchUp
{
    TopicPosition upTo;
};

/** The read in progress had enough time to return the records that another process has read. */
struct CatchUpCheckDue
{
    TopicPosition upTo;
};

/** Abandons the read in progress, whose connection may be dead, and starts a new one. */
struct RestartRead
{ };

/** A read of a snapshot has finished. */
struct SnapshotRead
{
    std::uint64_t readId = 0;
    Outcome<KeyedSnapshot> snapshot;
};

/** A read of the records from a position on has finished. */
struct TailRead
{
    std::uint64_t readId = 0;
    TopicPosition from;
    Outcome<KeyedBatch> tail;
};

/** Another process has read the topic and relays the delta. */
struct PeerReadReceived
{
    /** Position at which the delta begins. */
    TopicPosition from;
    /** Position after the last record of the delta. */
    TopicPosition next;
    /** As of when the topic is known to end there. */
    Instant completeAsOf;
    /** Applies the delta, which may be empty. Called only if no records before it were missed. */
    std::function<void()> applyDelta;
};

/** Sets whether another process is expected to read the topic and relay its deltas. */
struct RelyOnPeers
{
    /** Age of the view from which the follower reads the topic itself; empty to always do so. */
    std::optional<Duration> maxViewAge;
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

    /** @returns the mailbox that takes commands */
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
    bool restartRead();
    void applySnapshot(const KeyedSnapshot &snapshot);
    void logLaterEra(TopicPosition end) const;
    void applyTail(const TailRead &command);
    void finishRead(std::uint64_t readId, const Failure *failure);
    /** Logs when the store becomes unavailable or available again. @param failure may be null */
    void reportAvailability(const Failure *failure);
    void scheduleNextRead(bool hasFailed);
    Duration nextRetryDelay();
    void postAfter(Duration delay, FollowCommand command);
    /** Detects the start and end of a burst from whether a read returned changes. */
    void detectBurst(bool hasChanged);
    /** @returns whether the next read is a snapshot rather than the records from a position on */
    bool needsSnapshot() const;
    Awaitable<void> readSnapshot(std::uint64_t readId);
    Awaitable<void> readTail(std::uint64_t readId, TopicPosition from);
    Awaitable<void> waitAndPost(Duration delay, FollowCommand command);

    asio::any_io_executor m_executor;
    TopicReader m_reader;
    FollowOptions m_options;
    FollowHooks m_hooks;
    Log m_log;
    MailboxPtr<FollowCommand> m_mailbox;
    /** Position of the next record to read; empty until a snapshot was read. */
    std::optional<TopicPosition> m_next;
    /** Whether the store no longer has the records at that position. */
    bool m_isTailLost = false;
    Duration m_backoff;
    /** When the latest read started. */
    Instant m_readStartedAt;
    bool m_isStoreLost = false;
    /** Age of the view from which it reads itself; empty if it does not rely on peers. */
    std::optional<Duration> m_maxPeerViewAge;
    /** As of when the view is complete, by the deltas that peers have relayed. */
    Instant m_peerCompleteAsOf;
    /** When a read last returned a change. */
    Instant m_lastChangeAt;
    /** Whether changes arrive in a burst. */
    bool m_isBurst = false;
    /** Id of the read in progress. Results of earlier reads do not schedule another read. */
    std::uint64_t m_readId = 0;
    bool m_isCatchUpCheckPending = false;
    /** Time within which the read in progress must return records that another process has read. */
    Duration m_catchUpTimeout;
};

} // namespace greengageseam
