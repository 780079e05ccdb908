/**
 * The task that sends the load reports of the local backend server to the subscribed entries.
 */
#pragma once

#include "core/fleet/coldstart.h"
#include "core/fleet/creditallocator.h"
#include "core/fleet/viewwitnesses.h"
#include "net/datagramsocket.h"
#include "net/log.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <map>
#include <variant>

namespace greengageseam {

/** The agent knows a target version of weights. */
struct TargetVersionKnown
{
    TargetVersion targetVersion;
    /** When this process heard of it, so that it was announced by then. */
    Instant since;
};

/** The configuration states how many requests the backend server processes concurrently. */
struct SlotsChanged
{
    std::uint32_t slots = 0;
};

/** What cold backend servers of the service tolerate has changed. */
struct ColdStartRulesChanged
{
    ColdStartRules rules;
};

/** The backend server told how much longer it stays cold; zero if it is warm. */
struct ColdLeftMeasured
{
    Duration left {};
};

/** Messages to the task. */
using LoadReporterCommand = std::variant<LoadReport, TargetVersionKnown, SlotsChanged,
                                         ColdStartRulesChanged, ColdLeftMeasured>;

/** Hooks for what entries send along with their subscriptions. They must not block. */
struct LoadReporterHooks
{
    /** The set of known entries has changed. */
    std::function<void(const std::vector<EntryLocation> &entries)> onEntriesChanged;
    /** An entry reported a target version that the operator has announced. */
    std::function<void(const TargetVersion &named)> onTargetVersion;
    /** An entry has reported all target versions that were announced before a time; may be empty.
     */
    std::function<void(Instant completeAsOf)> onViewConfirmed;
    /** Called repeatedly while no entry of any zone can read the operator's topic; may be empty. */
    std::function<void()> onTopicUnreadable;
};

/**
 * Sends load reports to each entry that has subscribed, and handles its subscriptions. Tells an
 * entry the target versions that its subscription lacks, since the entry may be unable to read them
 * from the store, and those that were known here before the entry thinks that they were announced.
 */
class LoadReporter : public std::enable_shared_from_this<LoadReporter>
{
public:
    /**
     * @param zone the agent's zone; entries of other zones receive fewer reports
     * @param service the service of the local backend server
     */
    LoadReporter(const asio::any_io_executor &executor, ZoneName zone, ServiceName service,
                 LoadReporterHooks hooks, Log log);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<LoadReporterCommand> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. @returns an error if the socket cannot be bound */
    Result<void> start(const std::string &ip, std::uint16_t port);

private:
    /** What was sent since the last line in the log, in bytes. */
    struct SentBytes
    {
        std::size_t reports = 0;
        std::size_t entryLists = 0;
        std::size_t versions = 0;
    };

    /** A subscribed entry. */
    struct Subscriber
    {
        InstanceId entry;
        Instant requestedAt;
        bool isSameZone = false;
        /** Whether its last subscription asked for the entries that the agent knows. */
        bool wantsEntries = false;
        /** Its demand for the service of the backend server. */
        ServiceDemand demand;
        /** The load in the last report sent to the entry, and when it was sent. */
        std::optional<LoadReport> lastLoad;
        /** Whether that report called the backend server cold. */
        bool wasToldCold = false;
        Instant lastReportAt;
    };

    Awaitable<void> listen();
    Awaitable<void> runCommands();
    void apply(const LoadReport &load);
    void apply(const TargetVersionKnown &command);
    void apply(const SlotsChanged &command) { m_slots = command.slots; }
    void apply(const ColdStartRulesChanged &command);
    void apply(const ColdLeftMeasured &command);
    std::optional<Duration> updateColdState(const LoadReport &load, Instant now);
    std::map<InstanceId, std::uint32_t> allocateCredits(const LoadReport &load);
    void sendReports(const LoadReport &load, Instant now);
    void sendEntries();
    void logSentBytes(Instant now);
    void sendVersionNews(const LoadSubscription &subscription,
                         const asio::ip::udp::endpoint &sender, Instant now);
    bool isDue(const Subscriber &subscriber, const LoadReport &load, Instant now) const;
    void handleSubscription(const LoadSubscription &subscription,
                            const asio::ip::udp::endpoint &sender);

    asio::any_io_executor m_executor;
    ZoneName m_zone;
    ServiceName m_service;
    LoadReporterHooks m_hooks;
    Log m_log;
    MailboxPtr<LoadReporterCommand> m_mailbox;
    DatagramSocket m_socket;
    std::map<asio::ip::udp::endpoint, Subscriber> m_subscribers;
    EntryRegistry m_knownEntries;
    /** What entries state of their views of the operator's topic. */
    ViewWitnesses m_views;
    /** When an entry was last heard of. */
    Instant m_heardAt;
    std::optional<LoadReport> m_lastReport;
    /** Number of requests that the backend server processes concurrently; 0 if unknown. */
    std::uint32_t m_slots = 0;
    CreditAllocator m_credits;
    /** Whether the backend server is cold, and the credits that it may get while it is. */
    ColdBackend m_cold;
    bool m_isCold = false;
    /** Credits handed out since the backend server became cold. */
    std::uint64_t m_coldCredits = 0;
    /** The newest target version of the weights of each model. */
    std::map<ModelName, TargetVersionKnown> m_targetVersions;
    /** The latest position in the operator's topic that an entry has reported. */
    TopicPosition m_operatorPosition;
    /** Checksum of the last list of entries that was sent to all subscribers. */
    std::uint64_t m_sentEntriesChecksum = 0;
    SentBytes m_sent;
    Instant m_sentLoggedAt;
};

} // namespace greengageseam
