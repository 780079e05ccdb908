/**
 * The task that maintains links to other entries in this zone and in other zones.
 *
 * Within a zone the entries form a full mesh. To each other zone an entry keeps only a few links,
 * so that the number of links grows with the number of zones and not with that of entries.
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

/** An entry with the link to it. */
struct LinkedEntry
{
    InstanceId instance;
    ZoneName zone;
    PeerLinkHandle link;
};

/** A link to an entry was established by either side. */
struct PeerEntryLinked
{
    PeerLinkHandle link;
};

/** A link to an entry was closed. */
struct PeerEntryLost
{
    PeerLinkHandle link;
};

/** An attempt to connect to an address has finished. */
struct PeerEntryDialed
{
    Address address;
    Outcome<PeerLinkHandle> link;
};

/** A message of an entry was received on stream 0. */
struct PeerEntryMessageReceived
{
    PeerLinkHandle link;
    Message message;
};

/** Sends a message to one entry; the message is dropped if there is no link to it. */
struct SendToEntry
{
    InstanceId instance;
    Message message;
};

/** Sends a message to each linked entry of the local zone. */
struct SendToZone
{
    Message message;
};

/** Sends a message to one linked entry of each other zone. */
struct SendToOtherZones
{
    Message message;
};

/** The platform's instance list was read. */
struct PeerListReceived
{
    std::vector<ListedInstance> list;
};

/** Timer tick: connects missing links, sends keep-alives and closes links without traffic. */
struct PeerEntriesTick
{ };

/** Messages to PeerEntries. */
using PeerEntriesCommand =
        std::variant<PeerEntryLinked, PeerEntryLost, PeerEntryDialed, PeerEntryMessageReceived,
                     SendToEntry, SendToZone, SendToOtherZones, PeerListReceived, PeerEntriesTick>;

/** Hook called with each message of another entry on stream 0; must not block. */
using OnEntryMessage = std::function<void(const HelloMessage &peer, const Message &message)>;
/** Hook called with all linked entries whenever the set changes; must not block. */
using OnLinkedEntriesChanged = std::function<void(const std::vector<LinkedEntry> &entries)>;

/** Hooks of PeerEntries. */
struct PeerEntriesHooks
{
    OnEntryMessage onMessage;
    /** Called with the first message of each stream that another entry opens; may be empty. */
    OnLinkMessage onStream;
    OnLinkedEntriesChanged onLinkedEntriesChanged;
};

/** Limits and intervals for links between entries. */
struct PeerEntriesOptions
{
    /** Number of links that an entry opens to each other zone. */
    std::size_t linksPerZone = 3;
    /** Interval of the link check; a link without sent messages since gets a keep-alive. */
    Duration tickInterval = std::chrono::seconds(1);
    /** Time without a received message after which a link is closed. */
    Duration silenceTimeout = std::chrono::seconds(4);

    PeerEntriesOptions withLinksPerZone(std::size_t value) const;
    auto operator<=>(const PeerEntriesOptions &) const = default;
};

/** Owns the links to other entries. */
class PeerEntries : public std::enable_shared_from_this<PeerEntries>
{
public:
    PeerEntries(const asio::any_io_executor &executor, EntrySettings settings,
                PeerEntriesOptions options, PeerEntriesHooks hooks, Log log);

    /** @returns the mailbox of the task */
    const MailboxPtr<PeerEntriesCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** A link, with the times of the last received and the last sent message. */
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
    /** Links by peer and nonce; there may be two, if both sides connected at the same time. */
    std::map<InstanceId, std::map<std::string, Peer>> m_peers;
    /** The instance that accepted the last connection to an address; may be this entry itself. */
    std::map<Address, InstanceId> m_instanceByAddress;
    std::set<Address> m_dialing;
    /** Other entries in the platform's instance list. */
    std::vector<ListedInstance> m_listedEntries;
};

} // namespace greengageseam
