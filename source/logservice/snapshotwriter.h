/**
 * The task that appends snapshots to the configuration log, well before the log drops records that
 * a starting process needs.
 */
#pragma once

#include "logservice/configmanager.h"
#include "net/log.h"
#include "net/mailbox.h"

#include <memory>
#include <variant>

namespace greengageseam {

/** Hook that returns true if the log needs a snapshot. */
using DecideSnapshot = std::function<bool(const SnapshotLag &lag)>;

/** Timing of a SnapshotWriter. */
struct SnapshotWriterOptions
{
    /** Interval at which the writer checks whether a snapshot is due. */
    Duration checkInterval = std::chrono::seconds(1);
    /** Largest random delay before an append, so that usually only one process writes. */
    Duration maxRandomDelay = std::chrono::seconds(4);

    auto operator<=>(const SnapshotWriterOptions &) const = default;
};

/** Timer tick: appends a snapshot if one is due. */
struct SnapshotTick
{ };

/** An append has finished. */
struct SnapshotAppended
{
    Outcome<Offset> offset;
};

/** Messages to the SnapshotWriter. */
using SnapshotCommand = std::variant<ConfigView, SnapshotTick, SnapshotAppended>;

/** Appends snapshots when they are due. Several writers on one log are harmless. */
class SnapshotWriter : public std::enable_shared_from_this<SnapshotWriter>
{
public:
    SnapshotWriter(const asio::any_io_executor &executor, SnapshotWriterOptions options,
                   AppendToLog append, DecideSnapshot decide, Log log);

    /** @returns the mailbox of the task */
    const MailboxPtr<SnapshotCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const ConfigView &command);
    void apply(const SnapshotTick &command);
    void apply(const SnapshotAppended &command);
    bool isDue() const;
    Awaitable<void> append(std::string text);

    asio::any_io_executor m_executor;
    SnapshotWriterOptions m_options;
    AppendToLog m_append;
    DecideSnapshot m_decide;
    Log m_log;
    MailboxPtr<SnapshotCommand> m_mailbox;
    ConfigView m_view;
    /** When the last snapshot was read, or the task was created. */
    Instant m_lastSnapshotAt;
    /** Time of the next append, a random delay after a snapshot became due; empty if none is. */
    std::optional<Instant> m_appendAt;
    bool m_isAppending = false;
};

} // namespace greengageseam
