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
struct LoadTellerHooks
{
    /** The set of known entries has changed. */
    std::function<void(const std::vector<EntrySite> &entries)> entries;
    /** An entry reported a target version that the operator has named. */
    std::function<void(const NamedVersion &named)> named;
};

/** Sends load reports to each entry that has subscribed, and handles its subscriptions. */
class LoadTeller : public std::enable_shared_from_this<LoadTeller>
{
public:
    /** @param zone the agent's zone; entries of other zones receive fewer reports */
    LoadTeller(const asio::any_io_executor &executor, ZoneName zone, LoadTellerHooks hooks,
               Log log);

    /** @returns the mailbox for new reports */
    const MailboxPtr<LoadReport> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. @returns an error if the socket cannot be bound */
    Result<void> start(const std::string &ip, std::uint16_t port);

private:
    /** A subscribed entry. */
    struct Asker
    {
        Instant askedAt;
        bool isNear = false;
        /** The last report sent to the entry, and when it was sent. */
        std::optional<LoadReport> told;
        Instant toldAt;
    };

    Awaitable<void> listen();
    Awaitable<void> tell();
    void tellSites();
    bool isDue(const Asker &asker, const LoadReport &report, Instant now) const;
    void take(const LoadWanted &wanted, const asio::ip::udp::endpoint &sender);

    asio::any_io_executor m_executor;
    ZoneName m_zone;
    LoadTellerHooks m_hooks;
    Log m_log;
    MailboxPtr<LoadReport> m_mailbox;
    DatagramSocket m_socket;
    std::map<asio::ip::udp::endpoint, Asker> m_entries;
    EntrySites m_sites;
    std::optional<LoadReport> m_last;
    /** The highest offset of the operator's log that an entry has reported. */
    std::uint64_t m_news = 0;
    /** Checksum of the last list of entries that was sent to all subscribers. */
    std::uint64_t m_toldSites = 0;
};

} // namespace greengageseam
