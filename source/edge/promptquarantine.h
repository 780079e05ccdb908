/**
 * Task that collects evidence of prompt parts that crash backend servers, and shares it with the
 * other entries.
 */
#pragma once

#include "core/fleet/crashevidence.h"
#include "core/fleet/entryregistry.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <set>
#include <variant>

namespace greengageseam {

/** The connection to a backend server was lost before the response had begun. */
struct AttemptLost
{
    ReplicaIncarnation incarnation;
    /** The shared parts of the request's prompt, in order. */
    std::vector<PromptPartId> parts;
};

/** A backend server has begun to answer a request, and lives on. */
struct PartsAnswered
{
    std::vector<PromptPartId> parts;
};

/** Another entry has sent evidence. */
struct CrashReportReceived
{
    CrashReport report;
};

/** Another entry compares its evidence with that of this one. */
struct CrashDigestReceived
{
    CrashDigest digest;
    std::string ip;
};

/** The set of running entries has changed. */
struct QuarantinePeersChanged
{
    std::vector<EntryLocation> entries;
};

/** Periodic tick, on which evidence is judged and shared. */
struct QuarantineTick
{ };

/** Messages to the task. */
using QuarantineCommand = std::variant<AttemptLost, PartsAnswered, CrashReportReceived,
                                       CrashDigestReceived, QuarantinePeersChanged, QuarantineTick>;

/** Hooks of the task. They must not block. */
struct QuarantineHooks
{
    /** Called when the judgement has changed. */
    std::function<void(const CrashJudgement &judgement)> onJudged;
    /** Sends a datagram to the entry at an IP address. */
    std::function<void(const std::string &ip, const Datagram &datagram)> send;
};

/** Owns the evidence of one entry. */
class PromptQuarantine : public std::enable_shared_from_this<PromptQuarantine>
{
public:
    /** @param ip IP address of this entry */
    PromptQuarantine(const asio::any_io_executor &executor, std::string ip, QuarantineHooks hooks,
                     std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<QuarantineCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const AttemptLost &command);
    void apply(const PartsAnswered &command);
    void apply(const CrashReportReceived &command);
    void apply(const CrashDigestReceived &command);
    void apply(const QuarantinePeersChanged &command);
    void apply(const QuarantineTick &command);
    void clear(const PromptPartId &part, Instant now);
    void merge(const CrashEvent &event, Instant now);
    void judge();
    void recordChanges(const CrashJudgement &judgement) const;
    bool isJudged(const PromptPartId &part) const;
    void shareNews(Instant now);
    void compareWithPeer();
    void sendEvents(const std::string &ip, const std::vector<CrashEvent> &events, Instant now);
    std::vector<std::string> randomPeers(std::size_t count) const;

    asio::any_io_executor m_executor;
    std::string m_ip;
    QuarantineHooks m_hooks;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<QuarantineCommand> m_mailbox;
    CrashEvidence m_evidence;
    SoundParts m_sound;
    CrashJudgement m_judgement;
    /** IP addresses of the other entries. */
    std::vector<std::string> m_peers;
    /** Incarnations of which something was learned since the last tick. */
    std::set<ReplicaIncarnation> m_news;
    bool m_needsJudgement = false;
    std::uint64_t m_ticks = 0;
    /** Number of times that all evidence was sent since the last comparison. */
    std::uint32_t m_wholeSends = 0;
};

} // namespace greengageseam
