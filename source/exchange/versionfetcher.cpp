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
constexpr auto listRequestPeriod = std::chrono::milliseconds(150);
/** Maximum number of pending piece-list requests from other processes. */
constexpr std::size_t maxPendingListQueries = 1024;
/** Maximum number of versions whose piece lists are remembered. */
constexpr std::size_t maxKnownVersions = 2;

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

InstanceId agentOfBackend(const Address &backend)
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
        for (const auto &[version, known] : self->m_knownVersions) {
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

Awaitable<OriginResponse> VersionFetcher::readPiece(Chunk chunk)
{
    OriginResponse answer;
    answer.bytes = Failure {ErrorKind::NotFound, "no known version contains the piece"};
    for (const auto &[version, known] : m_knownVersions) {
        const auto &digests = known.list.digests;
        const auto it = std::find(digests.begin(), digests.end(), chunk.digest);
        if (it == digests.end() || !m_origin.readPiece) {
            continue;
        }
        const auto number = static_cast<std::uint32_t>(it - digests.begin());
        const ModelName model = known.list.model;
        const std::uint64_t pieceVersion = version;
        if (isStagedLocally()) {
            answer.bytes = co_await m_hooks.readStaged(model, number);
        } else {
            answer.bytes = co_await m_origin.readPiece(model, pieceVersion, number);
        }
        co_return answer;
    }
    co_return answer;
}

void VersionFetcher::apply(const FetcherConfigChanged &command)
{
    m_table = command.table;
    for (const auto &[name, service] : m_table->config().services) {
        const bool isOwnService = m_options.service.isEmpty() || name == m_options.service;
        m_model = service.engine && isOwnService ? service.engine->model : m_model;
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

void VersionFetcher::apply(const FetcherTargetVersionChanged &command)
{
    if (command.named.version <= m_targetVersion) {
        return;
    }
    m_targetVersion = command.named.version;
    advance();
}

void VersionFetcher::apply(const FetcherLoadedVersionsChanged &command)
{
    if (m_loadedVersions == command.versions) {
        return;
    }
    m_loadedVersions = command.versions;
    sendWantedVersions();
    advance();
}

void VersionFetcher::apply(const FetcherEntriesChanged &command)
{
    m_entries = command.entries;
    sendPeers();
    sendWantedVersions();
}

void VersionFetcher::apply(const FetcherAgentsChanged &command)
{
    if (m_agents != command.agents) {
        m_agents = command.agents;
        sendPeers();
        sendWantedVersions();
    }
}

void VersionFetcher::apply(const FetcherCompleteVersionsChanged &command)
{
    m_complete = command.complete;
    notifyCompleteVersions();
    const std::size_t before = m_knownVersions.size();
    evictOldVersions();
    if (m_knownVersions.size() != before) {
        sendWantedVersions();
    }
}

void VersionFetcher::apply(const FetcherListReceived &command)
{
    m_isRequestingList = false;
    if (const Failure *failure = failureOf(command.list)) {
        m_log.warning("weights.list-failed",
                      {{"version", command.version}, {"reason", failure->detail}});
        return;
    }
    if (command.version != m_targetVersion) {
        return;
    }
    KnownVersion known;
    known.list = std::get<PieceList>(command.list);
    known.manifest = manifestOf(known.list);
    known.digest = known.manifest.digest();
    m_knownVersions.insert_or_assign(command.version, std::move(known));
    evictOldVersions();
    m_log.info("weights.fetching", {{"version", command.version}, {"tries", m_listAttempts}});
    sendWantedVersions();
    notifyCompleteVersions();
    answerListQueries();
}

void VersionFetcher::apply(const FetcherListQuery &command)
{
    if (m_pendingListQueries.size() < maxPendingListQueries) {
        m_pendingListQueries.push_back(command);
    }
    answerListQueries();
}

/**
 * Answers the pending requests whose lists are known. Requests for versions older than the target
 * are dropped without an answer; their senders will request the newer list themselves.
 */
void VersionFetcher::answerListQueries()
{
    std::erase_if(m_pendingListQueries, [this](const FetcherListQuery &query) {
        const auto known = m_knownVersions.find(query.version);
        const bool isKnown =
                known != m_knownVersions.end() && known->second.list.model == query.model;
        if (isKnown) {
            query.reply(known->second.list);
        }
        return isKnown || query.version < m_targetVersion;
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
void VersionFetcher::evictOldVersions()
{
    const auto wanted = m_knownVersions.find(m_targetVersion);
    const bool isTargetComplete =
            wanted != m_knownVersions.end() && m_complete.contains(wanted->second.digest);
    const std::uint64_t loaded = m_loadedVersions.empty() ? 0 : *m_loadedVersions.begin();
    std::erase_if(m_knownVersions, [&](const auto &entry) {
        const bool mayLoadSooner = !isTargetComplete && entry.first > loaded;
        return entry.first != m_targetVersion && !m_complete.contains(entry.second.digest)
                && !mayLoadSooner;
    });
    while (m_knownVersions.size() > maxKnownVersions) {
        m_knownVersions.erase(m_knownVersions.begin());
    }
}

bool VersionFetcher::isNeeded() const
{
    return isStagedLocally()
            || std::any_of(m_loadedVersions.begin(), m_loadedVersions.end(),
                           [this](std::uint64_t version) { return version != m_targetVersion; });
}

/** @returns whether the backend server runs the target version, so its pieces are staged here */
bool VersionFetcher::isStagedLocally() const
{
    return m_hooks.readStaged && m_loadedVersions == std::set<std::uint64_t> {m_targetVersion};
}

void VersionFetcher::advance()
{
    if (m_table == nullptr || m_model.isEmpty() || !isNeeded()) {
        return;
    }
    const Instant now = monotonicNow();
    const auto it = m_knownVersions.find(m_targetVersion);
    const bool isComplete = it != m_knownVersions.end() && m_complete.contains(it->second.digest);
    if (isComplete) {
        notifyCompleteVersions();
        return;
    }
    if (it == m_knownVersions.end()) {
        requestListIfDue(now);
    }
}

void VersionFetcher::requestListIfDue(Instant now)
{
    if (m_missingListVersion != m_targetVersion) {
        m_missingListVersion = m_targetVersion;
        m_listMissingSince = now;
        m_listAttempts = 0;
    }
    if (m_isRequestingList || now - m_lastListRequestAt < listRequestPeriod
        || !m_origin.readPieceList) {
        return;
    }
    const std::optional<ChunkSource> source =
            chooseListSource({m_options.self, entriesOfZone(), m_targetVersion,
                              now - m_listMissingSince, m_listAttempts});
    if (!source) {
        return;
    }
    ++m_listAttempts;
    m_isRequestingList = true;
    m_lastListRequestAt = now;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), version = m_targetVersion, peer = source->peer] {
                return self->requestList(version, peer);
            },
            asio::detached);
}

/** @param peer the peer to request the list from; empty for the origin */
Awaitable<void> VersionFetcher::requestList(std::uint64_t version, InstanceId peer)
{
    const ModelName model = m_model;
    FetcherListReceived received {version, Failure()};
    if (peer.isEmpty()) {
        received.list = co_await m_origin.readPieceList(model, version);
    } else {
        received.list = co_await m_hooks.readPeerList(peer, model, version);
    }
    FetcherCommand command = std::move(received);
    co_await m_mailbox->send(std::move(command));
}

std::vector<InstanceId> VersionFetcher::entriesOfZone() const
{
    std::vector<InstanceId> entries;
    for (const EntryLocation &entry : m_entries) {
        if (entry.zone == m_options.zone) {
            entries.emplace_back(entry.ip);
        }
    }
    return entries;
}

/**
 * @returns the peers to read from: the other entries, whose links have spare bandwidth and carry no
 *          responses of backend servers, and the agents of the local zone
 */
std::vector<WeightPeer> VersionFetcher::peers() const
{
    std::vector<WeightPeer> peers;
    for (const EntryLocation &entry : m_entries) {
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
VersionPlacement VersionFetcher::placement() const
{
    std::set<ZoneName> zones {m_options.zone};
    std::set<InstanceId> members;
    for (const EntryLocation &entry : m_entries) {
        zones.insert(entry.zone);
    }
    for (const InstanceId &entry : entriesOfZone()) {
        members.insert(entry);
    }
    if (isStagedLocally()) {
        zones = {m_options.zone};
        members = {m_options.self};
    }
    if (m_options.isSeeder || members.empty()) {
        members.insert(m_options.self);
    }
    VersionPlacement result;
    result.originZone = originZone();
    result.members.assign(members.begin(), members.end());
    result.zones.assign(zones.begin(), zones.end());
    return result;
}

void VersionFetcher::sendPeers()
{
    m_hooks.weights->post(PeersChanged {peers()});
}

void VersionFetcher::sendWantedVersions()
{
    // Without known peers, each process would read the complete version from the origin.
    if ((m_entries.empty() && !isStagedLocally()) || !isNeeded()
        || !m_knownVersions.contains(m_targetVersion)) {
        return;
    }
    WantedVersionsChanged wanted;
    for (const auto &[version, known] : m_knownVersions) {
        VersionPlacement versionPlacement = placement();
        versionPlacement.fetchOrder = version;
        wanted.versions.emplace(known.digest, std::move(versionPlacement));
    }
    m_hooks.weights->post(std::move(wanted));
}

void VersionFetcher::notifyCompleteVersions()
{
    for (auto &[version, known] : m_knownVersions) {
        if (!known.isNotified && m_complete.contains(known.digest)) {
            known.isNotified = true;
            m_log.info("weights.complete", {{"version", version}});
            m_hooks.onVersionCompleted({m_model, version, known.manifest});
        }
    }
}

} // namespace greengageseam
