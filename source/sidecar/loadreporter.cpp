#include "sidecar/loadreporter.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 64;
/** Time after its last request at which an entry's subscription expires. */
constexpr auto subscriptionTimeout = std::chrono::milliseconds(800);
/** Minimum time between two reports to an entry without credits or urgent changes. */
constexpr Duration ownZonePeriod = std::chrono::milliseconds(90);
constexpr Duration otherZonePeriod = std::chrono::milliseconds(350);
/** Time after which an unchanged report is sent again. */
constexpr Duration reportRefreshPeriod = std::chrono::milliseconds(400);
/** An entry is told of an age that exceeds its own estimate by more than this. */
constexpr auto ageTolerance = std::chrono::milliseconds(200);
/** Interval at which the volume of what was sent is logged. */
constexpr auto sentBytesLogInterval = std::chrono::seconds(5);
/** Time without a subscription after which an agent draws no conclusions from silence. */
constexpr auto deafAfter = std::chrono::milliseconds(600);
/** Maximum number of subscribed entries. */
constexpr std::size_t maxSubscribers = 1024;

/**
 * @param entry a target version as an entry knows it, with its estimate of when it was announced
 * @param agent a target version as the agent knows it, and for how long
 * @returns whether the entry learns nothing from the agent
 */
bool isUpToDate(const KnownTargetVersion &entry, const KnownTargetVersion &agent)
{
    if (entry.targetVersion.model != agent.targetVersion.model) {
        return false;
    }
    const bool isSame = entry.targetVersion.version == agent.targetVersion.version;
    const Duration knownFor = std::min<Duration>(agent.age, maxKnownVersionAge);
    return entry.targetVersion.version > agent.targetVersion.version
            || (isSame && entry.age + ageTolerance >= knownFor);
}

/** @returns the demand that a subscription states for a service; none if it states none */
ServiceDemand demandFor(const LoadSubscription &subscription, const ServiceName &service)
{
    const auto it = std::find_if(
            subscription.demands.begin(), subscription.demands.end(),
            [&service](const ServiceDemand &demand) { return demand.service == service; });
    return it == subscription.demands.end() ? ServiceDemand {service, 0, 0} : *it;
}

} // namespace

LoadReporter::LoadReporter(const asio::any_io_executor &executor, ZoneName zone,
                           ServiceName service, LoadReporterHooks hooks, Log log)
    : m_executor(executor), m_zone(std::move(zone)), m_service(std::move(service)),
      m_hooks(std::move(hooks)), m_log(std::move(log)),
      m_mailbox(makeMailbox<LoadReporterCommand>(executor, mailboxCapacity)), m_socket(executor),
      m_knownEntries(subscriptionTimeout), m_credits(randomNumber())
{ }

Result<void> LoadReporter::start(const std::string &ip, std::uint16_t port)
{
    BOOST_LEAF_CHECK(m_socket.bind(ip, port));
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->listen(); }, asio::detached);
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->runCommands(); },
            asio::detached);
    return {};
}

Awaitable<void> LoadReporter::listen()
{
    while (std::optional<ReceivedDatagram> received = co_await m_socket.receive(maxDatagramBytes)) {
        if (received->bytes.empty()) {
            continue;
        }
        const Outcome<Datagram> read = toOutcome([&] { return decodeDatagram(received->bytes); });
        if (const Failure *failure = failureOf(read)) {
            m_log.debug("load.unreadable", {{"reason", failure->detail}});
            continue;
        }
        if (const auto *subscription = std::get_if<LoadSubscription>(&std::get<Datagram>(read))) {
            handleSubscription(*subscription, received->sender);
        }
    }
    m_log.error("load.socket-failed");
}

void LoadReporter::handleSubscription(const LoadSubscription &subscription,
                                      const asio::ip::udp::endpoint &sender)
{
    if (m_subscribers.size() >= maxSubscribers) {
        return;
    }
    const Instant now = monotonicNow();
    const bool isNew = !m_subscribers.contains(sender);
    Subscriber &subscriber = m_subscribers[sender];
    subscriber.entry = subscription.instance;
    subscriber.requestedAt = now;
    subscriber.isSameZone = subscription.zone == m_zone;
    subscriber.wantsEntries = subscription.wantsEntries;
    subscriber.demand = demandFor(subscription, m_service);
    if (now - m_heardAt > deafAfter) {
        m_knownEntries.renewAll(now);
    }
    m_heardAt = now;
    m_knownEntries.refresh({subscription.instance, subscription.zone, sender.address().to_string()},
                           now);
    if (m_knownEntries.expire(now)) {
        m_hooks.onEntriesChanged(m_knownEntries.locations());
    }
    m_operatorPosition = std::max(m_operatorPosition, subscription.operatorPosition);
    m_views.recordStatement(subscription.zone, subscription.operatorViewAge, now);
    for (const KnownTargetVersion &known : subscription.targetVersions) {
        apply(TargetVersionKnown {known.targetVersion, now});
        m_hooks.onTargetVersion(known.targetVersion);
    }
    if (subscription.operatorViewAge && m_hooks.onViewConfirmed) {
        m_hooks.onViewConfirmed(now - *subscription.operatorViewAge);
    }
    sendVersionNews(subscription, sender, now);
    if (subscription.wantsEntries && m_knownEntries.checksum() != subscription.entriesChecksum) {
        const std::string bytes = encodeDatagram(KnownEntries {m_knownEntries.locations()});
        m_sent.entryLists += bytes.size();
        m_socket.send(bytes, sender);
    }
    if (isNew) {
        m_log.info("load.entry-subscribed", {{"entry", subscription.instance.text()}});
        if (m_lastReport) {
            m_socket.send(encodeDatagram(*m_lastReport), sender);
        }
    }
}

/**
 * Tells an entry the target versions that are newer than those of its subscription, and those that
 * must have been announced earlier than the entry estimates, because they were known here by then.
 */
void LoadReporter::sendVersionNews(const LoadSubscription &subscription,
                                   const asio::ip::udp::endpoint &sender, Instant now)
{
    KnownTargetVersions news;
    for (const auto &[model, known] : m_targetVersions) {
        const KnownTargetVersion here {known.targetVersion, now - known.since};
        const bool isKnown = std::any_of(
                subscription.targetVersions.begin(), subscription.targetVersions.end(),
                [&here](const KnownTargetVersion &entry) { return isUpToDate(entry, here); });
        if (!isKnown) {
            news.versions.push_back(here);
        }
    }
    if (!news.versions.empty()) {
        const std::string bytes = encodeDatagram(news);
        m_sent.versions += bytes.size();
        m_socket.send(bytes, sender);
    }
}

/**
 * Sends the list of entries when it changes to the subscribers that have asked for it last, so that
 * new entries discover each other quickly.
 */
void LoadReporter::sendEntries()
{
    if (m_knownEntries.checksum() == m_sentEntriesChecksum) {
        return;
    }
    m_sentEntriesChecksum = m_knownEntries.checksum();
    const std::string bytes = encodeDatagram(KnownEntries {m_knownEntries.locations()});
    for (const auto &[entry, subscriber] : m_subscribers) {
        if (subscriber.wantsEntries) {
            m_sent.entryLists += bytes.size();
            m_socket.send(bytes, entry);
        }
    }
}

/**
 * @returns whether to send a report to a subscriber now. Entries of other zones receive fewer
 *          reports, since they route fewer requests to this backend server and the links between
 *          zones have little bandwidth. Changes that affect routing decisions are sent at once.
 */
bool LoadReporter::isDue(const Subscriber &subscriber, const LoadReport &load, Instant now) const
{
    if (!subscriber.lastLoad) {
        return true;
    }
    const LoadReport &last = *subscriber.lastLoad;
    if (subscriber.wasToldCold != m_isCold || last.hasOrderInProgress != load.hasOrderInProgress
        || last.weightsVersion != load.weightsVersion || last.startedAtMs != load.startedAtMs) {
        return true;
    }
    const Duration elapsed = now - subscriber.lastReportAt;
    const Duration period = subscriber.isSameZone ? ownZonePeriod : otherZonePeriod;
    return elapsed >= reportRefreshPeriod || (last != load && elapsed >= period);
}

Awaitable<void> LoadReporter::runCommands()
{
    while (std::optional<LoadReporterCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

/** Keeps the newest version of a model, and the earliest time at which it was known. */
void LoadReporter::apply(const TargetVersionKnown &command)
{
    TargetVersionKnown &known =
            m_targetVersions.try_emplace(command.targetVersion.model, command).first->second;
    if (command.targetVersion.version > known.targetVersion.version) {
        known = command;
    } else if (command.targetVersion == known.targetVersion) {
        known.since = std::min(known.since, command.since);
    }
}

void LoadReporter::apply(const LoadReport &load)
{
    const Instant now = monotonicNow();
    if (m_views.isUnreadableForAll(now) && m_hooks.onTopicUnreadable) {
        m_hooks.onTopicUnreadable();
    }
    std::erase_if(m_subscribers, [&](const auto &entry) {
        return now - entry.second.requestedAt > subscriptionTimeout;
    });
    sendEntries();
    sendReports(load, now);
    logSentBytes(now);
}

void LoadReporter::apply(const ColdStartRulesChanged &command)
{
    m_cold = m_cold.withRules(command.rules);
}

void LoadReporter::apply(const ColdLeftMeasured &command)
{
    m_cold = m_cold.withHealth(command.left, monotonicNow());
}

/** Logs when the backend server becomes cold or warm. @returns for how long it stays cold */
std::optional<Duration> LoadReporter::updateColdState(const LoadReport &load, Instant now)
{
    m_cold = m_cold.withReport(load.startedAtMs, now, wallNow()).at(now);
    const std::optional<Duration> left = m_cold.coldLeft(now);
    if (left.has_value() != m_isCold) {
        m_isCold = left.has_value();
        m_log.info(m_isCold ? "load.backend-cold" : "load.backend-warm",
                   {{"born", load.startedAtMs},
                    {"left_ms", left.value_or(Duration::zero()).count() / 1000},
                    {"credits", m_coldCredits}});
        m_coldCredits = 0;
    }
    return left;
}

/** Sends a load to the subscribers that are due, and to those that receive credits. */
void LoadReporter::sendReports(const LoadReport &load, Instant now)
{
    LoadReport report = load;
    report.entriesChecksum = m_knownEntries.checksum();
    report.operatorPosition = m_operatorPosition;
    report.operatorViewAge = m_views.newestViewAge(now);
    report.coldLeft = updateColdState(load, now);
    if (report.coldLeft) {
        report.sentAt = now.time_since_epoch();
    }
    m_lastReport = report;
    const std::map<InstanceId, std::uint32_t> credits = allocateCredits(load);
    std::map<std::uint32_t, std::string> encoded;
    for (auto &[endpoint, subscriber] : m_subscribers) {
        const auto own = credits.find(subscriber.entry);
        const std::uint32_t ownCredits = own == credits.end() ? 0 : own->second;
        if (ownCredits == 0 && !isDue(subscriber, load, now)) {
            continue;
        }
        if (m_slots > 0) {
            report.credits = ownCredits;
        }
        std::string &bytes = encoded[ownCredits];
        if (bytes.empty()) {
            bytes = encodeDatagram(report);
        }
        subscriber.lastLoad = load;
        subscriber.wasToldCold = m_isCold;
        subscriber.lastReportAt = now;
        m_sent.reports += bytes.size();
        m_socket.send(bytes, endpoint);
    }
}

/** @returns the credits of the subscribers; none while entries need no credits */
std::map<InstanceId, std::uint32_t> LoadReporter::allocateCredits(const LoadReport &load)
{
    const BackendOccupancy occupancy {m_slots, load.running + load.waiting};
    const bool areNeeded = m_isCold || isContended(occupancy)
            || std::any_of(m_subscribers.begin(), m_subscribers.end(),
                           [](const auto &it) { return it.second.demand.turnedAway > 0; });
    std::uint32_t credits = areNeeded && !load.hasOrderInProgress ? availableCredits(occupancy) : 0;
    if (m_isCold) {
        credits = std::min(credits, m_cold.availableCredits());
    }
    if (credits == 0) {
        return {};
    }
    std::vector<CreditClaim> claims;
    for (const auto &[endpoint, subscriber] : m_subscribers) {
        claims.push_back({subscriber.entry, subscriber.isSameZone, subscriber.demand.arrivals,
                          subscriber.demand.turnedAwayShare()});
    }
    const std::map<InstanceId, std::uint32_t> allocated = m_credits.allocate(credits, claims);
    for (const auto &[entry, n] : allocated) {
        m_cold = m_cold.handedOut(n);
        m_coldCredits += m_isCold ? n : 0;
    }
    return allocated;
}

/** Logs how much was sent of each kind, at intervals. */
void LoadReporter::logSentBytes(Instant now)
{
    if (now - m_sentLoggedAt < sentBytesLogInterval) {
        return;
    }
    m_log.info("load.sent",
               {{"report_bytes", m_sent.reports},
                {"entries_bytes", m_sent.entryLists},
                {"versions_bytes", m_sent.versions},
                {"subscribers", m_subscribers.size()}});
    m_sent = {};
    m_sentLoggedAt = now;
}

} // namespace greengageseam
