/**
 * Task that requests load reports from agents by UDP and relays replica list deltas between the
 * entries of a zone.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "net/datagramsocket.h"
#include "net/log.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <set>
#include <variant>
#include <vector>

namespace greengageseam {

/** Location of an agent, beside its backend server. */
struct AgentSite
{
    Address backend;
    ZoneName zone;

    auto operator<=>(const AgentSite &) const = default;
};

/** The list of backend servers whose agents are asked for reports has changed. */
struct AgentsUpdated
{
    std::vector<AgentSite> agents;
};

/** The operator's topic was read up to a position, which is announced to agents. */
struct OperatorPositionUpdated
{
    TopicPosition position;
};

/** Announces a target version of weights to agents. */
struct AnnounceTargetVersion
{
    TargetVersion targetVersion;
    /** When it was announced, by this entry's estimate. */
    Instant announcedAt;
};

/**
 * The entry's view of the operator's topic is complete as of a later time. It comes with the target
 * versions in the view, since the messages that announced them may have been lost.
 */
struct OperatorViewConfirmed
{
    Instant completeAsOf;
    std::vector<AnnounceTargetVersion> targetVersions;
};

/** Relays a delta of the list of backend servers to the other entries of the zone. */
struct RelayListDelta
{
    ReplicaListDelta delta;
};

/** The demand that callers have for services with engines, which agents are told of. */
struct DemandMeasured
{
    std::vector<ServiceDemand> demands;
};

/** Sends a datagram to another entry. */
struct SendToEntry
{
    std::string ip;
    Datagram datagram;
};

/** Messages to the task. */
using LoadListenerCommand =
        std::variant<AgentsUpdated, OperatorPositionUpdated, OperatorViewConfirmed,
                     AnnounceTargetVersion, RelayListDelta, DemandMeasured, SendToEntry>;

/** Hooks for what the listener receives. They must not block. */
struct LoadListenerHooks
{
    /** Called for each load report. */
    std::function<void(const LoadReport &report)> onReport;
    /** Called when the set of running entries has changed. The set includes this entry. */
    std::function<void(const std::vector<EntryLocation> &entries)> onEntriesChanged;
    /** Called for each target version that an agent passes on; it may be known already. */
    std::function<void(const KnownTargetVersion &known)> onTargetVersion;
    /** Called repeatedly while no entry of any zone can read the operator's topic; may be empty. */
    std::function<void()> onTopicUnreadable;
    /** Called when another entry has read the list of backend servers and relays the delta. */
    std::function<void(const ReplicaListDelta &delta)> onListDelta;
    /** Called when another entry sends evidence of crashes. */
    std::function<void(const CrashReport &report)> onCrashReport;
    /** Called when the entry at an IP address compares its evidence with that of this one. */
    std::function<void(const CrashDigest &digest, const std::string &ip)> onCrashDigest;
};

/** Requests load reports at a fixed interval and receives the datagrams sent in return. */
class LoadListener : public std::enable_shared_from_this<LoadListener>
{
public:
    /** @param port UDP port of this task, and of its counterpart on the agents' machines */
    LoadListener(const asio::any_io_executor &executor, EntryLocation self, std::uint16_t port,
                 LoadListenerHooks hooks, Log log);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<LoadListenerCommand> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. */
    Result<void> start();

private:
    Awaitable<void> listen();
    Awaitable<void> runCommands();
    void apply(const AgentsUpdated &command);
    void apply(const OperatorPositionUpdated &command);
    void apply(const OperatorViewConfirmed &command);
    void apply(const AnnounceTargetVersion &command);
    bool recordTargetVersion(const AnnounceTargetVersion &announced);
    void apply(const RelayListDelta &command);
    void apply(const DemandMeasured &command) { m_demands = command.demands; }
    void apply(const SendToEntry &command);
    void sendToEntry(const std::string &ip, const std::string &bytes);
    std::vector<std::string> encodeInParts(const ReplicaListDelta &delta) const;
    void requestReports();
    void subscribe(const std::set<asio::ip::udp::endpoint> &except,
                   const std::set<std::size_t> &asked);
    LoadSubscription makeSubscription() const;
    void expireEntries(Instant now);
    std::set<std::size_t> nextQuestions();
    void handleDatagram(const Datagram &datagram, const std::string &senderIp);

    asio::any_io_executor m_executor;
    EntryLocation m_self;
    std::uint16_t m_port;
    LoadListenerHooks m_hooks;
    Log m_log;
    MailboxPtr<LoadListenerCommand> m_mailbox;
    DatagramSocket m_socket;
    std::vector<asio::ip::udp::endpoint> m_agents;
    /** The zone of each of them. Invariant: as many as there are agents. */
    std::vector<ZoneName> m_agentZones;
    /** The zones of the agents by IP address. */
    std::map<std::string, ZoneName> m_zonesByIp;
    /** Selects the agents that are asked for entries; differs from entry to entry. */
    std::uint64_t m_round;
    /** Number of times that the agents of this round were asked. */
    int m_questions = 0;
    /** Agents that were asked, by IP address, and have not been heard of since the last check. */
    std::set<std::string> m_unheard;
    /** When an agent was last heard of. */
    Instant m_heardAt;
    EntryRegistry m_entries;
    /** What agents say that entries state of their views of the operator's topic. */
    ViewWitnesses m_views;
    /** Parts of deltas of the list that other entries relay. */
    DeltaAssembler m_listDeltas;
    std::vector<ServiceDemand> m_demands;
    /** Position up to which the operator's topic was read. */
    TopicPosition m_operatorPosition;
    /** As of when the view of the operator's topic is complete; empty before the first read. */
    std::optional<Instant> m_operatorCompleteAsOf;
    /** The newest target version of the weights of each model. */
    std::map<ModelName, AnnounceTargetVersion> m_targetVersions;
};

} // namespace greengageseam
