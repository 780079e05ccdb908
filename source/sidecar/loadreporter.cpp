#include "sidecar/loadreporter.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 16;
/** An entry that has not asked for so long is forgotten. */
constexpr auto interestLasts = std::chrono::milliseconds(800);
/** Time between two reports to an entry of another zone that say nothing urgent. */
constexpr auto farPeriod = std::chrono::milliseconds(350);
/** Entries that are told at most. */
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
    m_sites.refresh({wanted.instance, wanted.zone, sender.address().to_string()}, now);
    if (m_sites.expire(now)) {
        m_hooks.onEntriesChanged(m_sites.locations());
    }
    m_operatorOffset = std::max(m_operatorOffset, wanted.operatorOffset);
    for (const TargetVersion &named : wanted.named) {
        m_hooks.onTargetVersion(named);
    }
    if (m_sites.checksum() != wanted.known) {
        m_socket.send(encodeDatagram(EntriesSeen {m_sites.locations()}), sender);
    }
    if (isNew) {
        m_log.info("load.entry-asks", {{"entry", wanted.instance.text()}});
        if (m_last) {
            m_socket.send(encodeDatagram(*m_last), sender);
        }
    }
}

/** Entries that have just started learn of each other at once. */
void LoadTeller::tellSites()
{
    if (m_sites.checksum() == m_toldSites) {
        return;
    }
    m_toldSites = m_sites.checksum();
    const std::string bytes = encodeDatagram(EntriesSeen {m_sites.locations()});
    for (const auto &[entry, asker] : m_entries) {
        m_socket.send(bytes, entry);
    }
}

/** Entries of other zones send here less, and the links between zones are narrow. */
bool LoadTeller::isDue(const Asker &asker, const LoadReport &report, Instant now) const
{
    if (asker.isNear || !asker.told || now - asker.toldAt >= farPeriod) {
        return true;
    }
    const LoadReport &told = *asker.told;
    return told.hasOrderInProgress != report.hasOrderInProgress
            || told.weightsVersion != report.weightsVersion
            || told.startedAtMs != report.startedAtMs;
}

Awaitable<void> LoadTeller::tell()
{
    while (std::optional<LoadReport> report = co_await m_mailbox->receive()) {
        report->entriesChecksum = m_sites.checksum();
        report->operatorOffset = m_operatorOffset;
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
