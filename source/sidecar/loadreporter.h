/**
 * The task that tells entries what the backend server beside this agent reports.
 */
#pragma once

#include "net/datagramsocket.h"
#include "net/log.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <map>
#include <variant>

namespace greengageseam {

/** What the task passes on; the hooks must not wait. */
struct LoadReporterHooks
{
    /** The entries that ask have changed. */
    std::function<void(const std::vector<EntryLocation> &entries)> onEntriesChanged;
    /** An entry tells of weights that were named. */
    std::function<void(const TargetVersion &named)> onTargetVersion;
};

/** Tells each entry that has asked. */
class LoadReporter : public std::enable_shared_from_this<LoadReporter>
{
public:
    /** @param zone the agent's own; entries of others are told less often */
    LoadReporter(const asio::any_io_executor &executor, ZoneName zone, LoadReporterHooks hooks,
                 Log log);

    /** @returns where to send new reports */
    const MailboxPtr<LoadReport> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. */
    Result<void> start(const std::string &ip, std::uint16_t port);

private:
    /** An entry that asked. */
    struct Subscriber
    {
        Instant askedAt;
        bool isSameZone = false;
        /** What it was told last, and when. */
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
    /** The highest offset that an entry told of. */
    std::uint64_t m_operatorOffset = 0;
    /** Checksum of the entries that all entries were told of last. */
    std::uint64_t m_sentEntriesChecksum = 0;
};

} // namespace greengageseam
