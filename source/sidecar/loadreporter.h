/**
 * The task that sends the load reports of the local backend server to the subscribed entries.
 */
#pragma once

#include "net/datagramsocket.h"
#include "net/log.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <map>
#include <variant>

namespace greengageseam {

/** Hooks for what entries send along with their subscriptions. They must not block. */
struct LoadReporterHooks
{
    /** The set of known entries has changed. */
    std::function<void(const std::vector<EntryLocation> &entries)> onEntriesChanged;
    /** An entry reported a target version that the operator has announced. */
    std::function<void(const TargetVersion &named)> onTargetVersion;
};

/** Sends load reports to each entry that has subscribed, and handles its subscriptions. */
class LoadReporter : public std::enable_shared_from_this<LoadReporter>
{
public:
    /** @param zone the agent's zone; entries of other zones receive fewer reports */
    LoadReporter(const asio::any_io_executor &executor, ZoneName zone, LoadReporterHooks hooks,
                 Log log);

    /** @returns the mailbox for new reports */
    const MailboxPtr<LoadReport> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. @returns an error if the socket cannot be bound */
    Result<void> start(const std::string &ip, std::uint16_t port);

private:
    /** A subscribed entry. */
    struct Subscriber
    {
        Instant requestedAt;
        bool isSameZone = false;
        /** The last report sent to the entry, and when it was sent. */
        std::optional<LoadReport> lastReport;
        Instant lastReportAt;
    };

    Awaitable<void> listen();
    Awaitable<void> sendReports();
    void sendEntries();
    bool isDue(const Subscriber &subscriber, const LoadReport &report, Instant now) const;
    void handleSubscription(const LoadSubscription &subscription,
                            const asio::ip::udp::endpoint &sender);

    asio::any_io_executor m_executor;
    ZoneName m_zone;
    LoadReporterHooks m_hooks;
    Log m_log;
    MailboxPtr<LoadReport> m_mailbox;
    DatagramSocket m_socket;
    std::map<asio::ip::udp::endpoint, Subscriber> m_subscribers;
    EntryRegistry m_knownEntries;
    std::optional<LoadReport> m_lastReport;
    /** The highest offset of the operator's log that an entry has reported. */
    std::uint64_t m_operatorOffset = 0;
    /** Checksum of the last list of entries that was sent to all subscribers. */
    std::uint64_t m_sentEntriesChecksum = 0;
};

} // namespace greengageseam
