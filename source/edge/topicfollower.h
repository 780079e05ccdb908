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

/** Functions that read a topic. */
struct TopicReader
{
    /** Reads the newest record of each key. */
    ReadSnapshot snapshot;
    /** Reads the records from an offset on. */
    ReadTail tail;
};

/** Options of TopicFollower. */
struct FollowOptions
{
    /** Name of the topic in the log. */
    std::string name;
    /** Long-poll timeout: how long the store holds a read that has no new records to return. */
    Duration wait {};
    /** Time between two reads. */
    Duration pause {};
    /** Whether every read is a snapshot, even if an earlier read could be continued. */
    bool readsNewest = false;
    /**
     * Time between two reads during a burst of changes, when only snapshots are read; 0 to read
     * every record even then.
     */
    Duration stormPause {};
};

/** Hooks of TopicFollower. They must not block. */
struct FollowHooks
{
    /** Called after a snapshot was read. */
    std::function<void(const KeyedSnapshot &snapshot)> whole;
    /** Called after the records from an offset on were read, even if there are none. */
    std::function<void(std::uint64_t from, const KeyedTail &tail)> added;
    /** Called when the store is available again after a failure; may be empty. */
    std::function<void()> regained;
};

/** The next read is due. */
struct ReadDue
{
    /** The read that this belongs to; earlier reads have been abandoned. */
    std::uint64_t reading = 0;
};

/** Another process has read further, so the read in progress should return those records, too. */
struct ReadNow
{
    std::uint64_t upTo = 0;
};

/** The read in progress had enough time to return the records that another process has read. */
struct CheckDue
{
    std::uint64_t upTo = 0;
};

/** Abandons the read in progress, whose connection may be dead, and starts a new one. */
struct ReadAnew
{ };

/** A read of a snapshot has finished. */
struct SnapshotRead
{
    std::uint64_t reading = 0;
    Outcome<KeyedSnapshot> snapshot;
};

/** A read of the records from an offset on has finished. */
struct TailRead
{
    std::uint64_t reading = 0;
    std::uint64_t from = 0;
    Outcome<KeyedTail> tail;
};

/** Another process has read the topic and relays the delta. */
struct ReadElsewhere
{
    /** Offset at which the delta begins. */
    std::uint64_t from = 0;
    /** Offset after the last record of the delta. */
    std::uint64_t next = 0;
    /** Applies the delta, which may be empty. Called only if no records before it were missed. */
    std::function<void()> takeOver;
};

/** Sets whether another process is expected to read the topic and relay its deltas. */
struct ReliesOnOthers
{
    bool relies = false;
};

/** Messages to a follower. */
using FollowCommand = std::variant<ReadDue, ReadNow, CheckDue, ReadAnew, SnapshotRead, TailRead,
                                   ReadElsewhere, ReliesOnOthers>;

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
    void apply(const ReadNow &command);
    void apply(const CheckDue &command);
    void apply(const ReadAnew &command);
    void apply(const SnapshotRead &command);
    void apply(const TailRead &command);
    void apply(const ReadElsewhere &command);
    void apply(const ReliesOnOthers &command);
    void takeSnapshot(const KeyedSnapshot &snapshot);
    void takeTail(const TailRead &command);
    void goOn(std::uint64_t reading, const Failure *failure);
    /** Logs when the store becomes unavailable or available again. @param failure may be null */
    void note(const Failure *failure);
    void readLater(bool hasFailed);
    void sleepFor(Duration time, FollowCommand then);
    /** Detects the start and end of a burst from whether a read returned changes. */
    void noteChange(bool hasChanged);
    /** @returns whether the next read is a snapshot rather than the records from an offset on */
    bool readsWhole() const;
    Awaitable<void> readSnapshot(std::uint64_t reading);
    Awaitable<void> readTail(std::uint64_t reading, std::uint64_t from);
    Awaitable<void> sleep(Duration time, FollowCommand then);

    asio::any_io_executor m_executor;
    TopicReader m_reader;
    FollowOptions m_options;
    FollowHooks m_hooks;
    Log m_log;
    MailboxPtr<FollowCommand> m_mailbox;
    /** Offset of the next record to read; empty until a snapshot was read. */
    std::optional<std::uint64_t> m_next;
    Duration m_backoff;
    bool m_isLost = false;
    bool m_reliesOnOthers = false;
    /** When a peer last relayed a delta. */
    Instant m_heardAt;
    /** When a read last returned a change. */
    Instant m_changedAt;
    /** Whether changes arrive in a burst. */
    bool m_isStorm = false;
    /** Id of the read in progress. Results of earlier reads do not schedule another read. */
    std::uint64_t m_reading = 0;
    bool m_isCheckPending = false;
};

} // namespace greengageseam
