#include "simulatedzone.h"

#include "core/common/hashing.h"
#include "protocol/framecodec.h"

#include <algorithm>
#include <ctime>

namespace greengageseam {

namespace {

constexpr std::size_t entriesPerAgent = 2;
constexpr std::size_t models = 20;
constexpr double nanoseconds = 1e-9;
constexpr int summaryIntervalSeconds = 5;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanoseconds;
}

/** Adds the CPU time spent in its scope to a cost. */
class CpuTimeMeter
{
public:
    explicit CpuTimeMeter(Cost &cost) : m_cost(cost), m_start(cpuSeconds()) { }
    ~CpuTimeMeter() { m_cost.seconds += cpuSeconds() - m_start; }
    CpuTimeMeter(const CpuTimeMeter &) = delete;
    CpuTimeMeter &operator=(const CpuTimeMeter &) = delete;

private:
    Cost &m_cost;
    double m_start;
};

} // namespace

SimulatedZone::SimulatedZone(ZoneSize size) : m_size(size), m_entries(size.entries)
{
    for (std::size_t n = 0; n < size.agents; ++n) {
        m_agents.push_back(makeAgent(n));
    }
}

void SimulatedZone::runSecond(int second, int percent)
{
    m_now = Instant(std::chrono::seconds(second));
    for (std::size_t n = 0; n < m_agents.size(); ++n) {
        sendHeartbeats(m_agents[n], n, second, percent);
    }
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        sendDigest(n);
    }
    sendSummaries();
}

void SimulatedZone::resetCosts()
{
    m_entryCost = {};
    m_agentCost = {};
}

boost::json::object SimulatedZone::costs(const std::string &name, int seconds) const
{
    const auto perNode = [&](double total, std::size_t nodes) {
        return total / static_cast<double>(nodes) / seconds;
    };
    const std::size_t entries = m_size.entries;
    const std::size_t agents = m_size.agents;
    const auto count = [](std::size_t n) { return static_cast<double>(n); };
    return {{"bench", "membership"},
            {"case", name},
            {"entries", entries},
            {"agents", agents},
            {"otherZones", m_size.otherZones},
            {"agentBytesPerSecond", perNode(count(m_agentCost.bytes), agents)},
            {"agentMessagesPerSecond", perNode(count(m_agentCost.messages), agents)},
            {"agentMicrosecondsPerSecond", perNode(m_agentCost.seconds * 1e6, agents)},
            {"entryBytesPerSecond", perNode(count(m_entryCost.bytes), entries)},
            {"entryMessagesPerSecond", perNode(count(m_entryCost.messages), entries)},
            {"entryMicrosecondsPerSecond", perNode(m_entryCost.seconds * 1e6, entries)},
            {"summaryBytes", m_summaryBytes},
            {"broadcastAgentBytesPerSecond", broadcastBytes() * count(entries)},
            {"broadcastEntryBytesPerSecond", broadcastBytes() * count(agents)}};
}

SimulatedAgent SimulatedZone::makeAgent(std::size_t n) const
{
    SimulatedAgent agent;
    Heartbeat &heartbeat = agent.heartbeat;
    heartbeat.instance = InstanceId("agent-" + std::to_string(n));
    heartbeat.zone = ZoneName("zone-1");
    heartbeat.peerAddress = Address("10.0.0.1:9000");
    heartbeat.startedAt = WallTime(std::chrono::seconds(1'796'000'000 + n));
    heartbeat.incarnation = Offset {n + 1};
    heartbeat.serving = {digestOf(std::to_string(n % models))};
    heartbeat.stored = heartbeat.serving;
    heartbeat.appliedConfig = Offset {2100};
    heartbeat.tableDigest = digestOf("table");
    std::vector<std::size_t> order(m_size.entries);
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return score(n, left) > score(n, right);
    });
    order.resize(std::min(order.size(), entriesPerAgent));
    agent.entries = order;
    return agent;
}

std::uint64_t SimulatedZone::score(std::size_t agent, std::size_t entry)
{
    return rendezvousScore("agent-" + std::to_string(agent), "entry-" + std::to_string(entry));
}

/** Encodes a message and decodes it again, and adds the cost to the sender and the receiver. */
Message SimulatedZone::transmit(const Message &message, Cost &sender, Cost &receiver)
{
    std::string frame;
    {
        const CpuTimeMeter meter(sender);
        frame = encodeFrame({0, message});
    }
    sender.bytes += frame.size();
    receiver.bytes += frame.size();
    ++sender.messages;
    ++receiver.messages;
    const CpuTimeMeter meter(receiver);
    const auto decoded = toOutcome(
            [&] { return decodeFrame(std::string_view(frame).substr(frameHeaderBytes)); });
    return std::get<StreamMessage>(decoded).message;
}

void SimulatedZone::sendHeartbeats(SimulatedAgent &agent, std::size_t n, int second, int percent)
{
    ++agent.heartbeat.sequence;
    agent.heartbeat.inFlight = static_cast<std::uint32_t>((n + agent.heartbeat.sequence) % 40);
    const bool isChanged = (static_cast<int>(n) * 7 + second) % 100 < percent;
    if (isChanged) {
        agent.heartbeat.stored = {digestOf(std::to_string(second) + "x")};
    }
    for (const std::size_t entry : agent.entries) {
        RemoteMembers &members = agent.neighbours[entry];
        const HeartbeatMessage beat {agent.heartbeat, members.epoch(), members.revision()};
        const Message received = transmit(beat, m_agentCost, m_entryCost);
        const Message ack =
                transmit(acknowledge(m_entries[entry], std::get<HeartbeatMessage>(received)),
                         m_entryCost, m_agentCost);
        const CpuTimeMeter meter(m_agentCost);
        members = std::move(members).withChanges(std::get<HeartbeatAckMessage>(ack).neighbours);
    }
}

HeartbeatAckMessage SimulatedZone::acknowledge(SimulatedEntry &entry, const HeartbeatMessage &beat)
{
    const CpuTimeMeter meter(m_entryCost);
    applyHeartbeat(entry, beat.heartbeat, HeartbeatSource::Agent);
    entry.localMembers = std::move(entry.localMembers).withState(fieldsForEntries(beat.heartbeat));
    entry.heartbeatsSinceDigest.push_back(beat.heartbeat);
    HeartbeatAckMessage ack;
    ack.sequence = beat.heartbeat.sequence;
    ack.isWarm = true;
    ack.neighbours = entry.neighbours.changesSince(beat.knownEpoch, beat.knownRevision);
    return ack;
}

void SimulatedZone::applyHeartbeat(SimulatedEntry &entry, const Heartbeat &heartbeat,
                                   HeartbeatSource from) const
{
    entry.memberTable = std::move(entry.memberTable).withHeartbeat(heartbeat, m_now, from);
    entry.neighbours = std::move(entry.neighbours).withState(fieldsForAgents(heartbeat));
}

void SimulatedZone::sendDigest(std::size_t from)
{
    SimulatedEntry &sender = m_entries[from];
    ZoneDigestMessage message;
    {
        const CpuTimeMeter meter(m_entryCost);
        message.digest = makeZoneDigest(sender.localMembers.changesSince(1, sender.sentRevision),
                                        sender.heartbeatsSinceDigest, {});
        sender.sentRevision = sender.localMembers.revision();
        sender.heartbeatsSinceDigest.clear();
    }
    for (std::size_t to = 0; to < m_entries.size(); ++to) {
        if (to == from) {
            continue;
        }
        const Message received = transmit(message, m_entryCost, m_entryCost);
        const CpuTimeMeter meter(m_entryCost);
        const ZoneDigest &digest = std::get<ZoneDigestMessage>(received).digest;
        RemoteMembers &members = m_entries[to].remoteMembers[from];
        members = std::move(members).withChanges(digest.changes);
        for (const Heartbeat &heartbeat : expandHeartbeats(digest, members)) {
            applyHeartbeat(m_entries[to], heartbeat, HeartbeatSource::PeerEntry);
        }
    }
}

/**
 * Exchanges summaries with the other zones: every five seconds, each zone receives one and
 * sends one, which is relayed to all entries.
 */
void SimulatedZone::sendSummaries()
{
    if (++m_second % summaryIntervalSeconds != 0) {
        return;
    }
    ZoneSummary summary;
    {
        const CpuTimeMeter meter(m_entryCost);
        summary = summarize(ZoneName("zone-1"), m_entries[0].memberTable.members(), WallTime());
    }
    const ZoneSummaryMessage message {summary};
    m_summaryBytes = encodeFrame({0, message}).size();
    Cost otherZoneCost;
    for (std::size_t zone = 0; zone < m_size.otherZones; ++zone) {
        transmit(message, m_entryCost, otherZoneCost);
        transmit(message, otherZoneCost, m_entryCost);
        for (std::size_t n = 1; n < m_entries.size(); ++n) {
            transmit(message, m_entryCost, m_entryCost);
        }
    }
}

/** @returns bytes of one heartbeat and of an acknowledgement that contains the complete zone */
double SimulatedZone::broadcastBytes() const
{
    const std::size_t beat = encodeFrame({0, HeartbeatMessage {m_agents[0].heartbeat}}).size();
    HeartbeatAckMessage ack;
    for (const SimulatedAgent &agent : m_agents) {
        ack.neighbours.changed.push_back(agent.heartbeat);
    }
    return static_cast<double>(beat + encodeFrame({0, ack}).size());
}

} // namespace greengageseam
