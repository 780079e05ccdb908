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
    Duration wait {};
    /** Pause between two reads. */
    Duration pause {};
};

/** What a follower tells; the hooks must not wait. */
struct FollowHooks
{
    /** The whole topic was read. */
    std::function<void(const KeyedSnapshot &snapshot)> whole;
    /** What was added was read, even if that is nothing. */
    std::function<void(const KeyedTail &tail)> added;
};

/** Time to read. */
struct ReadDue
{ };

/** There may be news that the read in progress does not bring. */
struct ReadNow
{ };

/** The whole topic was read, or could not be. */
struct SnapshotRead
{
    Outcome<KeyedSnapshot> snapshot;
};

/** What was added was read, or could not be. */
struct TailRead
{
    std::uint64_t from = 0;
    /** Whether it was read besides the read in progress. */
    bool isExtra = false;
    Outcome<KeyedTail> tail;
};

/** Messages to a follower. */
using FollowCommand = std::variant<ReadDue, ReadNow, SnapshotRead, TailRead>;

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
    void apply(const ReadNow &command);
    void apply(const SnapshotRead &command);
    void apply(const TailRead &command);
    void takeTail(const TailRead &command);
    void note(const Failure *failure);
    void readLater(bool hasFailed);
    Awaitable<void> readSnapshot();
    Awaitable<void> readTail(std::uint64_t from, Duration wait, bool isExtra);
    Awaitable<void> sleep(Duration time);

    asio::any_io_executor m_executor;
    TopicReader m_reader;
    FollowOptions m_options;
    FollowHooks m_hooks;
    Log m_log;
    MailboxPtr<FollowCommand> m_mailbox;
    /** Offset from which on nothing is known; nothing while the topic was not read whole. */
    std::optional<std::uint64_t> m_next;
    Duration m_backoff;
    bool m_isLost = false;
    bool m_isExtraInProgress = false;
};

} // namespace greengageseam
