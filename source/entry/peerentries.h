/**
 * The task that keeps links to other entries, of this zone and of the others.
 *
 * Within the zone all entries are linked with each other. To each other zone an entry keeps a few
 * links only, so that the number of links grows with the zones and not with the entries.
 */
#pragma once

#include "entry/entrysettings.h"
#include "logservice/logservice.h"
#include "net/log.h"
#include "net/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace greengageseam {

/** An entry to which there is a link. */
struct LinkedEntry
{
    InstanceId instance;
    ZoneName zone;
    PeerLinkHandle link;
};

/** A link to an entry was made, by either side. */
struct PeerEntryLinked
{
    PeerLinkHandle link;
};

/** A link to an entry has ended. */
struct PeerEntryLost
{
    PeerLinkHandle link;
};

/** An address was dialed. */
struct PeerEntryDialed
{
    Address address;
    Outcome<PeerLinkHandle> link;
};

/** An entry sent a message on stream 0. */
struct PeerEntryMessageReceived
{
    PeerLinkHandle link;
    Message message;
};

/** Sends a message to one entry; dropped if there is no link to it. */
struct SendToEntry
{
    InstanceId instance;
    Message message;
};

/** Sends a message to each linked entry of the own zone. */
struct SendToZone
{
    Message message;
};

/** Sends a message to one linked entry of each other zone. */
struct SendToOtherZones
{
    Message message;
};

/** The platform's list was read. */
struct PeerListReceived
{
    std::vector<ListedInstance> list;
};

/** Time to dial what is missing and to drop what is silent. */
struct PeerEntriesTick
{ };

/** Messages to the task. */
using PeerEntriesCommand =
        std::variant<PeerEntryLinked, PeerEntryLost, PeerEntryDialed, PeerEntryMessageReceived,
                     SendToEntry, SendToZone, SendToOtherZones, PeerListReceived, PeerEntriesTick>;

/** Hook for messages of other entries on stream 0; it must not wait. */
using OnEntryMessage = std::function<void(const HelloMessage &peer, const Message &message)>;
/** Hook that is told which entries are linked, whenever that changes; it must not wait. */
using OnLinkedEntriesChanged = std::function<void(const std::vector<LinkedEntry> &entries)>;

/** What the task passes on. */
struct PeerEntriesHooks
{
    OnEntryMessage onMessage;
    /** Gets the first message of each stream that another entry opens; may be empty. */
    OnLinkMessage onStream;
    OnLinkedEntriesChanged onLinkedEntriesChanged;
};

/** How links between entries are kept. */
struct PeerEntriesOptions
{
    /** Links that an entry makes to each other zone. */
    std::size_t linksPerZone = 3;
    /** Time between two looks at the links; one on which nothing was sent gets a sign of life. */
    Duration tickInterval = std::chrono::seconds(1);
    /** Silence after which a link is given up. */
    Duration silenceTimeout = std::chrono::seconds(4);

    PeerEntriesOptions withLinksPerZone(std::size_t value) const;
    auto operator<=>(const PeerEntriesOptions &) const = default;
};

/** Keeps the links between entries. */
class PeerEntries : public std::enable_shared_from_this<PeerEntries>
{
public:
    PeerEntries(const asio::any_io_executor &executor, EntrySettings settings,
                PeerEntriesOptions options, PeerEntriesHooks hooks, Log log);

    /** @returns where to send commands */
    const MailboxPtr<PeerEntriesCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** A link, and when something was last heard and sent on it. */
    struct Peer
    {
        PeerLinkHandle link;
        Instant lastReceivedAt;
        Instant lastSentAt;
    };

    Awaitable<void> run();
    void apply(const PeerEntryLinked &command);
    void apply(const PeerEntryLost &command);
    void apply(const PeerEntryDialed &command);
    void apply(const PeerEntryMessageReceived &command);
    void apply(const SendToEntry &command);
    void apply(const SendToZone &command);
    void apply(const SendToOtherZones &command);
    void apply(const PeerListReceived &command);
    void apply(const PeerEntriesTick &command);
    static bool post(Peer &peer, const Message &message);
    LinkHooks linkHooks() const;
    void dialMissing();
    std::set<Address> addressesToDial() const;
    bool isLinked(const Address &address) const;
    Awaitable<void> dial(Address address);
    void notifyLinkedEntries();

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    PeerEntriesOptions m_options;
    PeerEntriesHooks m_hooks;
    Log m_log;
    MailboxPtr<PeerEntriesCommand> m_mailbox;
    /** Links by the peer and its nonce: both sides may have dialed at the same time. */
    std::map<InstanceId, std::map<std::string, Peer>> m_peers;
    /** Who answered at an address when it was last dialed; may be this entry itself. */
    std::map<Address, InstanceId> m_instanceByAddress;
    std::set<Address> m_dialing;
    /** Other entries on the platform's list. */
    std::vector<ListedInstance> m_listedEntries;
};

} // namespace greengageseam
