#include "exchange/versionfetcher.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto askListEvery = std::chrono::milliseconds(150);
/** Maximum number of pending piece-list requests from other processes. */
constexpr std::size_t mostAskers = 1024;
/** Maximum number of versions whose piece lists are remembered. */
constexpr std::size_t mostVersions = 2;

/** @returns the manifest for a piece list: each piece becomes a chunk */
Manifest manifestOf(const PieceList &list)
{
    std::vector<Chunk> chunks;
    chunks.reserve(list.digests.size());
    for (const Digest &digest : list.digests) {
        chunks.push_back({digest, list.pieceBytes});
    }
    return Manifest(std::move(chunks));
}

} // namespace

InstanceId agentBeside(const Address &backend)
{
    return InstanceId(backend.text().substr(0, backend.text().rfind(':')));
}

VersionFetcher::VersionFetcher(const asio::any_io_executor &executor, FetcherOptions options,
                               FetcherHooks hooks, Log log)
    : m_executor(executor), m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_mailbox(makeMailbox<FetcherCommand>(executor, mailboxCapacity))
{ }

void VersionFetcher::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(FetcherTick {});
        return mailbox->isOpen();
    });
}

Awaitable<void> VersionFetcher::run()
{
    while (std::optional<FetcherCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

WeightSources VersionFetcher::sources(ReadPeer readPeer)
{
    WeightSources sources;
    sources.readPeer = std::move(readPeer);
    // Manifests are built here from piece lists, so that none is read from a peer or the origin.
    sources.readManifest =
            [self = shared_from_this()](Digest digest) -> Awaitable<Outcome<Manifest>> {
        for (const auto &[version, known] : self->m_known) {
            if (known.digest == digest) {
                co_return known.manifest;
            }
        }
        co_return Failure {ErrorKind::NotFound, "the version is no longer wanted"};
    };
    sources.readOrigin = [self = shared_from_this()](Chunk chunk) {
        return self->readPiece(std::move(chunk));
    };
    return sources;
}

Awaitable<OriginAnswer> VersionFetcher::readPiece(Chunk chunk)
{
    OriginAnswer answer;
    answer.bytes = Failure {ErrorKind::NotFound, "no known version contains the piece"};
    for (const auto &[version, known] : m_known) {
        const auto &digests = known.list.digests;
        const auto it = std::find(digests.begin(), digests.end(), chunk.digest);
        if (it == digests.end() || !m_origin.readPiece) {
            continue;
        }
        const auto number = static_cast<std::uint32_t>(it - digests.begin());
        const ModelName model = known.list.model;
        const std::uint64_t ofVersion = version;
        if (isAtHand()) {
            answer.bytes = co_await m_hooks.readStaged(model, number);
        } else {
            answer.bytes = co_await m_origin.readPiece(model, ofVersion, number);
        }
        co_return answer;
    }
    co_return answer;
}

void VersionFetcher::apply(const FetcherRoutes &command)
{
    m_table = command.table;
    for (const auto &[name, service] : m_table->config().services) {
        const bool isMeant = m_options.service.isEmpty() || name == m_options.service;
        m_model = service.engine && isMeant ? service.engine->model : m_model;
    }
    const Address origin = originAddress();
    if (origin != m_originAddress) {
        m_originAddress = origin;
        m_origin = origin.isEmpty() ? WeightOriginHooks {} : m_hooks.openOrigin(origin);
    }
}

const Service *VersionFetcher::originService() const
{
    for (const auto &[name, service] : m_table->config().services) {
        if (!service.origin.isEmpty()) {
            return &service;
        }
    }
    return nullptr;
}

Address VersionFetcher::originAddress() const
{
    const Service *service = originService();
    return service == nullptr ? Address() : service->origin;
}

ZoneName VersionFetcher::originZone() const
{
    const Service *service = m_table == nullptr ? nullptr : originService();
    return service == nullptr ? ZoneName() : service->originZone;
}

void VersionFetcher::apply(const FetcherNamed &command)
{
    if (command.named.version <= m_wanted) {
        return;
    }
    m_wanted = command.named.version;
    advance();
}

void VersionFetcher::apply(const FetcherLoaded &command)
{
    if (m_loaded == command.versions) {
        return;
    }
    m_loaded = command.versions;
    tellKeeper();
    advance();
}

void VersionFetcher::apply(const FetcherEntries &command)
{
    m_entries = command.entries;
    tellPeers();
    tellKeeper();
}

void VersionFetcher::apply(const FetcherAgents &command)
{
    if (m_agents != command.agents) {
        m_agents = command.agents;
        tellPeers();
        tellKeeper();
    }
}

void VersionFetcher::apply(const FetcherHolds &command)
{
    m_complete = command.complete;
    tellHeld();
    const std::size_t before = m_known.size();
    forgetOld();
    if (m_known.size() != before) {
        tellKeeper();
    }
}

void VersionFetcher::apply(const FetcherListed &command)
{
    m_isAskingList = false;
    if (const Failure *failure = failureOf(command.list)) {
        m_log.warning("weights.list-failed",
                      {{"version", command.version}, {"reason", failure->detail}});
        return;
    }
    if (command.version != m_wanted) {
        return;
    }
    Known known;
    known.list = std::get<PieceList>(command.list);
    known.manifest = manifestOf(known.list);
    known.digest = known.manifest.digest();
    m_known.insert_or_assign(command.version, std::move(known));
    forgetOld();
    m_log.info("weights.fetching", {{"version", command.version}, {"tries", m_listTries}});
    tellKeeper();
    tellHeld();
    answerAskers();
}

void VersionFetcher::apply(const FetcherAsked &command)
{
    if (m_askers.size() < mostAskers) {
        m_askers.push_back(command);
    }
    answerAskers();
}

/**
 * Answers the pending requests whose lists are known. Requests for versions older than the target
 * are dropped without an answer; their senders will request the newer list themselves.
 */
void VersionFetcher::answerAskers()
{
    std::erase_if(m_askers, [this](const FetcherAsked &asker) {
        const auto known = m_known.find(asker.version);
        const bool isKnown = known != m_known.end() && known->second.list.model == asker.model;
        if (isKnown) {
            asker.reply(known->second.list);
        }
        return isKnown || asker.version < m_wanted;
    });
}

void VersionFetcher::apply(const FetcherTick &)
{
    advance();
}

/**
 * Forgets the versions before the target version. An older version is retained if it is complete,
 * since it may be loading, or if it is newer than the loaded one and the target version is not
 * complete yet, since it may then become loadable sooner.
 */
void VersionFetcher::forgetOld()
{
    const auto wanted = m_known.find(m_wanted);
    const bool isWhole = wanted != m_known.end() && m_complete.contains(wanted->second.digest);
    const std::uint64_t loaded = m_loaded.empty() ? 0 : *m_loaded.begin();
    std::erase_if(m_known, [&](const auto &entry) {
        const bool isOfUse = !isWhole && entry.first > loaded;
        return entry.first != m_wanted && !m_complete.contains(entry.second.digest) && !isOfUse;
    });
    while (m_known.size() > mostVersions) {
        m_known.erase(m_known.begin());
    }
}

bool VersionFetcher::isNeeded() const
{
    return isAtHand()
            || std::any_of(m_loaded.begin(), m_loaded.end(),
                           [this](std::uint64_t version) { return version != m_wanted; });
}

/** @returns whether the backend server runs the target version, so its pieces are staged here */
bool VersionFetcher::isAtHand() const
{
    return m_hooks.readStaged && m_loaded == std::set<std::uint64_t> {m_wanted};
}

void VersionFetcher::advance()
{
    if (m_table == nullptr || m_model.isEmpty() || !isNeeded()) {
        return;
    }
    const Instant now = monotonicNow();
    const auto it = m_known.find(m_wanted);
    const bool isHeld = it != m_known.end() && m_complete.contains(it->second.digest);
    if (isHeld) {
        tellHeld();
        return;
    }
    if (it == m_known.end()) {
        readList(now);
    }
}

void VersionFetcher::readList(Instant now)
{
    if (m_missing != m_wanted) {
        m_missing = m_wanted;
        m_missingSince = now;
        m_listTries = 0;
    }
    if (m_isAskingList || now - m_listAskedAt < askListEvery || !m_origin.readList) {
        return;
    }
    const std::optional<ChunkSource> source = chooseListSource(
            {m_options.self, entriesOfZone(), m_wanted, now - m_missingSince, m_listTries});
    if (!source) {
        return;
    }
    ++m_listTries;
    m_isAskingList = true;
    m_listAskedAt = now;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), version = m_wanted, peer = source->peer] {
                return self->askList(version, peer);
            },
            asio::detached);
}

/** @param peer the peer to request the list from; empty for the origin */
Awaitable<void> VersionFetcher::askList(std::uint64_t version, InstanceId peer)
{
    const ModelName model = m_model;
    FetcherListed listed {version, Failure()};
    if (peer.isEmpty()) {
        listed.list = co_await m_origin.readList(model, version);
    } else {
        listed.list = co_await m_hooks.readPeerList(peer, model, version);
    }
    FetcherCommand command = std::move(listed);
    co_await m_mailbox->send(std::move(command));
}

std::vector<InstanceId> VersionFetcher::entriesOfZone() const
{
    std::vector<InstanceId> entries;
    for (const EntrySite &entry : m_entries) {
        if (entry.zone == m_options.zone) {
            entries.emplace_back(entry.ip);
        }
    }
    return entries;
}

/**
 * Returns the peers to read from: the other entries, whose links have spare bandwidth and carry no
 * responses of backend servers, and the agents of the local zone.
 */
std::vector<WeightPeer> VersionFetcher::peers() const
{
    std::vector<WeightPeer> peers;
    for (const EntrySite &entry : m_entries) {
        if (entry.ip != m_options.self.text()) {
            const std::string address = entry.ip + ":" + std::to_string(m_options.peerPort);
            peers.push_back({InstanceId(entry.ip), entry.zone, Address(address)});
        }
    }
    // Reading from agents of other zones would put load on the links between zones.
    for (const WeightPeer &agent : m_agents) {
        if (agent.zone == m_options.zone) {
            peers.push_back(agent);
        }
    }
    return peers;
}

/**
 * The entries of a zone bring a version into it. An agent does so only if the zone has no entries,
 * or for itself if the version's pieces are staged locally.
 */
VersionPlaces VersionFetcher::places() const
{
    std::set<ZoneName> zones {m_options.zone};
    std::set<InstanceId> members;
    for (const EntrySite &entry : m_entries) {
        zones.insert(entry.zone);
    }
    for (const InstanceId &entry : entriesOfZone()) {
        members.insert(entry);
    }
    if (isAtHand()) {
        zones = {m_options.zone};
        members = {m_options.self};
    }
    if (m_options.isSource || members.empty()) {
        members.insert(m_options.self);
    }
    VersionPlaces places;
    places.origin = originZone();
    places.members.assign(members.begin(), members.end());
    places.zones.assign(zones.begin(), zones.end());
    return places;
}

void VersionFetcher::tellPeers()
{
    m_hooks.weights->post(PeersKnown {peers()});
}

void VersionFetcher::tellKeeper()
{
    // Without known peers, each process would read the complete version from the origin.
    if ((m_entries.empty() && !isAtHand()) || !isNeeded() || !m_known.contains(m_wanted)) {
        return;
    }
    VersionsWanted wanted;
    for (const auto &[version, known] : m_known) {
        VersionPlaces where = places();
        where.order = version;
        wanted.versions.emplace(known.digest, std::move(where));
    }
    m_hooks.weights->post(std::move(wanted));
}

void VersionFetcher::tellHeld()
{
    for (auto &[version, known] : m_known) {
        if (!known.isTold && m_complete.contains(known.digest)) {
            known.isTold = true;
            m_log.info("weights.complete", {{"version", version}});
            m_hooks.held({m_model, version, known.manifest});
        }
    }
}

} // namespace greengageseam
