#include "steward/loadteller.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 16;
/** Time after its last request at which an entry's subscription expires. */
constexpr auto interestLasts = std::chrono::milliseconds(800);
/** Minimum time between two reports to an entry of another zone without urgent changes. */
constexpr auto farPeriod = std::chrono::milliseconds(350);
/** Maximum number of subscribed entries. */
constexpr std::size_t maxEntries = 1024;

} // namespace

LoadTeller::LoadTeller(const asio::any_io_executor &executor, ZoneName zone, LoadTellerHooks hooks,
                       Log log)
    : m_executor(executor), m_zone(std::move(zone)), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_mailbox(makeMailbox<LoadReport>(executor, mailboxCapacity)),
      m_socket(executor), m_sites(interestLasts)
{ }

Result<void> LoadTeller::start(const std::string &ip, std::uint16_t port)
{
    BOOST_LEAF_CHECK(m_socket.bind(ip, port));
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->listen(); }, asio::detached);
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->tell(); }, asio::detached);
    return {};
}

Awaitable<void> LoadTeller::listen()
{
    while (std::optional<ReceivedDatagram> received = co_await m_socket.receive(maxDatagramBytes)) {
        if (received->bytes.empty()) {
            continue;
        }
        const Outcome<Datagram> read = settle([&] { return decodeDatagram(received->bytes); });
        if (const Failure *failure = failureOf(read)) {
            m_log.debug("load.unreadable", {{"reason", failure->detail}});
            continue;
        }
        if (const auto *wanted = std::get_if<LoadWanted>(&std::get<Datagram>(read))) {
            take(*wanted, received->sender);
        }
    }
    m_log.error("load.socket-failed");
}

void LoadTeller::take(const LoadWanted &wanted, const asio::ip::udp::endpoint &sender)
{
    if (m_entries.size() >= maxEntries) {
        return;
    }
    const Instant now = monotonicNow();
    const bool isNew = !m_entries.contains(sender);
    Asker &asker = m_entries[sender];
    asker.askedAt = now;
    asker.isNear = wanted.zone == m_zone;
    m_sites.hear({wanted.instance, wanted.zone, sender.address().to_string()}, now);
    if (m_sites.settle(now)) {
        m_hooks.entries(m_sites.sites());
    }
    m_news = std::max(m_news, wanted.news);
    for (const NamedVersion &named : wanted.named) {
        m_hooks.named(named);
    }
    if (m_sites.checksum() != wanted.known) {
        m_socket.send(encodeDatagram(EntriesSeen {m_sites.sites()}), sender);
    }
    if (isNew) {
        m_log.info("load.entry-subscribed", {{"entry", wanted.instance.text()}});
        if (m_last) {
            m_socket.send(encodeDatagram(*m_last), sender);
        }
    }
}

/** Sends the list of entries when it changes, so that new entries discover each other quickly. */
void LoadTeller::tellSites()
{
    if (m_sites.checksum() == m_toldSites) {
        return;
    }
    m_toldSites = m_sites.checksum();
    const std::string bytes = encodeDatagram(EntriesSeen {m_sites.sites()});
    for (const auto &[entry, asker] : m_entries) {
        m_socket.send(bytes, entry);
    }
}

/**
 * Returns whether to send a report to a subscriber now. Entries of other zones receive fewer
 * reports, since they route fewer requests to this backend server and the links between zones have
 * little bandwidth. Changes that affect routing decisions are sent at once.
 */
bool LoadTeller::isDue(const Asker &asker, const LoadReport &report, Instant now) const
{
    if (asker.isNear || !asker.told || now - asker.toldAt >= farPeriod) {
        return true;
    }
    const LoadReport &told = *asker.told;
    return told.isOrderBusy != report.isOrderBusy || told.weights != report.weights
            || told.bornMs != report.bornMs;
}

Awaitable<void> LoadTeller::tell()
{
    while (std::optional<LoadReport> report = co_await m_mailbox->receive()) {
        report->entriesKnown = m_sites.checksum();
        report->news = m_news;
        m_last = *report;
        const Instant now = monotonicNow();
        std::erase_if(m_entries, [&](const auto &entry) {
            return now - entry.second.askedAt > interestLasts;
        });
        const std::string bytes = encodeDatagram(*report);
        tellSites();
        for (auto &[entry, asker] : m_entries) {
            if (isDue(asker, *report, now)) {
                asker.told = *report;
                asker.toldAt = now;
                m_socket.send(bytes, entry);
            }
        }
    }
}

} // namespace greengageseam
