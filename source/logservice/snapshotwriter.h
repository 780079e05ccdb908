/**
 * The task that appends snapshots to the configuration log, well before the log forgets what a
 * starting process needs.
 */
#pragma once

#include "logservice/configmanager.h"
#include "net/log.h"
#include "net/mailbox.h"

#include <memory>
#include <variant>

namespace greengageseam {

/** Hook that decides whether the log needs a snapshot. */
using DecideSnapshot = std::function<bool(const SnapshotLag &lag)>;

/** How the writer spreads its appends. */
struct SnapshotWriterOptions
{
    /** How often the need is looked at. */
    Duration checkInterval = std::chrono::seconds(1);
    /** Longest random pause before an append, so that mostly one process writes. */
    Duration maxRandomDelay = std::chrono::seconds(4);

    auto operator<=>(const SnapshotWriterOptions &) const = default;
};

/** Time passes. */
struct SnapshotTick
{ };

/** An append has ended. */
struct SnapshotAppended
{
    Outcome<Offset> offset;
};

/** Messages to the writer. */
using SnapshotCommand = std::variant<ConfigView, SnapshotTick, SnapshotAppended>;

/** Watches the configuration; several writers do no harm. */
class SnapshotWriter : public std::enable_shared_from_this<SnapshotWriter>
{
public:
    SnapshotWriter(const asio::any_io_executor &executor, SnapshotWriterOptions options,
                   AppendToLog append, DecideSnapshot decide, Log log);

    /** @returns where to send commands */
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
    /** When the last snapshot was seen, or the task started. */
    Instant m_lastSnapshotAt;
    /** Since when a snapshot is due, with the pause that was drawn then. */
    std::optional<Instant> m_appendAt;
    bool m_isAppending = false;
};

} // namespace greengageseam
