#include "edge/promptquarantine.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 4096;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
/** Number of ticks between two comparisons with another entry. */
constexpr std::uint64_t ticksPerComparison = 10;
/** Number of ticks after the start within which an entry without evidence asks for some. */
constexpr std::uint64_t startTicks = 50;
/** Number of ticks between two comparisons after the start. */
constexpr std::uint64_t ticksPerStartComparison = 4;
/** Number of entries to which news is passed on; they pass it on in turn. */
constexpr std::size_t fanOut = 4;
constexpr std::uint32_t maxWholeSends = 4;
/** Well below the limit of a datagram, since the estimate leaves numbers out. */
constexpr std::size_t maxReportBytes = 5000;
constexpr std::size_t bytesPerSuspect = 12;
constexpr std::size_t bytesPerCrash = 24;
/** Number of backend servers in a log line. */
constexpr std::size_t maxLoggedServers = 8;

ReportedCrash reportOf(const CrashEvent &event, Instant now)
{
    ReportedCrash crash {event.incarnation, {}};
    for (const auto &[part, suspicion] : event.suspects) {
        crash.suspects.push_back({part, now - suspicion.at, suspicion.depth, suspicion.wasSound,
                                  suspicion.isCleared});
    }
    return crash;
}

std::size_t estimateBytes(const CrashEvent &event)
{
    std::size_t bytes = event.incarnation.replica.text().size() + bytesPerCrash;
    for (const auto &[part, suspicion] : event.suspects) {
        bytes += part.text().size() + bytesPerSuspect;
    }
    return bytes;
}

bool hasCondemned(const CrashJudgement &judgement, const PromptPartId &part)
{
    return std::any_of(judgement.condemned.begin(), judgement.condemned.end(),
                       [&](const CondemnedPart &one) { return one.part == part; });
}

bool hasSuspected(const CrashJudgement &judgement, const PromptPartId &part)
{
    return std::binary_search(judgement.suspected.begin(), judgement.suspected.end(), part);
}

} // namespace

PromptQuarantine::PromptQuarantine(const asio::any_io_executor &executor, std::string ip,
                                   QuarantineHooks hooks, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_ip(std::move(ip)), m_hooks(std::move(hooks)),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<QuarantineCommand>(executor, mailboxCapacity))
{ }

void PromptQuarantine::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(QuarantineTick {});
        return mailbox->isOpen();
    });
}

Awaitable<void> PromptQuarantine::run()
{
    while (std::optional<QuarantineCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void PromptQuarantine::apply(const AttemptLost &command)
{
    const Instant now = monotonicNow();
    CrashEvent event {command.incarnation, {}};
    std::uint32_t depth = 0;
    for (const PromptPartId &part : command.parts) {
        event.suspects[part] = {now, depth++, m_sound.lastSeen(part).has_value(), false};
    }
    merge(event, now);
}

void PromptQuarantine::apply(const PartsAnswered &command)
{
    const Instant now = monotonicNow();
    for (const PromptPartId &part : command.parts) {
        m_sound.record(part, now);
        if (!m_evidence.isEmpty()) {
            clear(part, now);
        }
    }
}

void PromptQuarantine::apply(const CrashReportReceived &command)
{
    const Instant now = monotonicNow();
    for (const ReportedCrash &crash : command.report.crashes) {
        CrashEvent event {crash.incarnation, {}};
        for (const ReportedSuspect &suspect : crash.suspects) {
            event.suspects[suspect.part] = {now - suspect.age, suspect.depth, suspect.wasSound,
                                            suspect.isCleared};
        }
        merge(event, now);
    }
}

void PromptQuarantine::apply(const CrashDigestReceived &command)
{
    if (command.digest.checksum == m_evidence.checksum()) {
        return;
    }
    if (!command.digest.isReply) {
        m_hooks.send(command.ip, CrashDigest {m_evidence.checksum(), true});
    }
    if (m_wholeSends < maxWholeSends) {
        ++m_wholeSends;
        sendEvents(command.ip, m_evidence.events(), monotonicNow());
    }
}

void PromptQuarantine::apply(const QuarantinePeersChanged &command)
{
    m_peers.clear();
    for (const EntryLocation &entry : command.entries) {
        if (entry.ip != m_ip) {
            m_peers.push_back(entry.ip);
        }
    }
}

void PromptQuarantine::apply(const QuarantineTick &)
{
    const Instant now = monotonicNow();
    ++m_ticks;
    shareNews(now);
    const bool isStart = m_ticks <= startTicks;
    const bool isDue = m_ticks % (isStart ? ticksPerStartComparison : ticksPerComparison) == 0;
    if (isDue) {
        m_wholeSends = 0;
        m_evidence.expire(now);
        m_needsJudgement = m_needsJudgement || m_judgement != CrashJudgement();
    }
    if (m_needsJudgement) {
        judge();
    }
    if (isDue && (isStart || !m_evidence.isEmpty())) {
        compareWithPeer();
    }
}

/** Others learn at once of a part that they may be rejecting, and of others when they compare. */
void PromptQuarantine::clear(const PromptPartId &part, Instant now)
{
    const std::vector<ReplicaIncarnation> cleared = m_evidence.clear(part, now);
    if (!cleared.empty() && isJudged(part)) {
        m_news.insert(cleared.begin(), cleared.end());
        m_needsJudgement = true;
    }
}

void PromptQuarantine::merge(const CrashEvent &event, Instant now)
{
    if (m_evidence.merge(event, now)) {
        m_news.insert(event.incarnation);
        m_needsJudgement = true;
    }
}

void PromptQuarantine::judge()
{
    m_needsJudgement = false;
    CrashJudgement judgement = m_evidence.judge(m_sound);
    if (judgement == m_judgement) {
        return;
    }
    recordChanges(judgement);
    m_judgement = std::move(judgement);
    m_hooks.onJudged(m_judgement);
}

void PromptQuarantine::recordChanges(const CrashJudgement &judgement) const
{
    for (const CondemnedPart &condemned : judgement.condemned) {
        if (hasCondemned(m_judgement, condemned.part)) {
            continue;
        }
        boost::json::array servers;
        for (const ReplicaIncarnation &crashed : condemned.crashed) {
            if (servers.size() < maxLoggedServers) {
                servers.emplace_back(crashed.replica.text());
            }
        }
        const Duration left = condemned.until - monotonicNow();
        m_log.warning("prompt.quarantined",
                      {{"part", condemned.part.text()},
                       {"moments", condemned.moments},
                       {"crashed", condemned.crashed.size()},
                       {"replicas", std::move(servers)},
                       {"for_ms", left.count() / 1000}});
    }
    for (const CondemnedPart &condemned : m_judgement.condemned) {
        if (!hasCondemned(judgement, condemned.part)) {
            m_log.warning("prompt.released",
                          {{"part", condemned.part.text()},
                           {"answered", m_sound.lastSeen(condemned.part).has_value()}});
        }
    }
    for (const PromptPartId &part : judgement.suspected) {
        if (!hasSuspected(m_judgement, part)) {
            m_log.info("prompt.suspected", {{"part", part.text()}});
        }
    }
    m_metrics->set("quarantined_prompt_parts", "Prompt parts whose requests are rejected",
                   static_cast<double>(judgement.condemned.size()));
}

bool PromptQuarantine::isJudged(const PromptPartId &part) const
{
    return hasCondemned(m_judgement, part) || hasSuspected(m_judgement, part);
}

/** Passes on what is new to a few entries at random, which reaches all of them with high odds. */
void PromptQuarantine::shareNews(Instant now)
{
    if (m_news.empty()) {
        return;
    }
    std::vector<CrashEvent> news = m_evidence.events();
    std::erase_if(news,
                  [this](const CrashEvent &event) { return !m_news.contains(event.incarnation); });
    m_news.clear();
    for (const std::string &ip : randomPeers(fanOut)) {
        sendEvents(ip, news, now);
    }
}

/** Compares the evidence with one other entry, which makes up for lost datagrams. */
void PromptQuarantine::compareWithPeer()
{
    for (const std::string &ip : randomPeers(1)) {
        m_hooks.send(ip, CrashDigest {m_evidence.checksum(), false});
    }
}

void PromptQuarantine::sendEvents(const std::string &ip, const std::vector<CrashEvent> &events,
                                  Instant now)
{
    CrashReport report;
    std::size_t bytes = 0;
    for (const CrashEvent &event : events) {
        const std::size_t size = estimateBytes(event);
        if (!report.crashes.empty() && bytes + size > maxReportBytes) {
            m_hooks.send(ip, std::exchange(report, {}));
            bytes = 0;
        }
        bytes += size;
        report.crashes.push_back(reportOf(event, now));
    }
    if (!report.crashes.empty()) {
        m_hooks.send(ip, report);
    }
}

std::vector<std::string> PromptQuarantine::randomPeers(std::size_t count) const
{
    std::vector<std::string> peers = m_peers;
    std::vector<std::string> chosen;
    while (!peers.empty() && chosen.size() < count) {
        const std::size_t n = randomNumber() % peers.size();
        chosen.push_back(peers[n]);
        peers[n] = peers.back();
        peers.pop_back();
    }
    return chosen;
}

} // namespace greengageseam
