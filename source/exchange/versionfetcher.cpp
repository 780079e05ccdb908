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
/** Maximum number of versions whose piece lists are remembered. */
constexpr std::size_t maxKnownVersions = 2;

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
            if (const ListCandidate *candidate = known.lists.find(digest)) {
                co_return candidate->manifest();
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
    const std::optional<NumberedPiece> piece = findPiece(chunk.digest);
    if (!piece || !m_origin.readPiece) {
        answer.bytes = Failure {ErrorKind::NotFound, "no known version contains the piece"};
    } else if (isStagedLocally()) {
        answer.bytes = co_await m_hooks.readStaged(piece->model, piece->number);
    } else {
        answer.bytes = co_await m_origin.readPiece(piece->model, piece->version, piece->number);
    }
    co_return answer;
}

/** @returns the piece with a digest in any of the known lists */
std::optional<VersionFetcher::NumberedPiece> VersionFetcher::findPiece(const Digest &digest) const
{
    for (const auto &[version, known] : m_knownVersions) {
        for (const ListCandidate &candidate : known.lists.all()) {
            const auto &digests = candidate.list().digests;
            const auto it = std::find(digests.begin(), digests.end(), digest);
            if (it != digests.end()) {
                return NumberedPiece {candidate.list().model, version,
                                      static_cast<std::uint32_t>(it - digests.begin())};
            }
        }
    }
    return std::nullopt;
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
    m_doubt.reset();
    m_reviewedManifests.clear();
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
    const std::size_t before = listCount();
    evictOldVersions();
    if (listCount() != before) {
        sendWantedVersions();
    }
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
    const bool isTargetStored = isTargetComplete();
    const std::uint64_t loaded = m_loadedVersions.empty() ? 0 : *m_loadedVersions.begin();
    std::erase_if(m_knownVersions, [&](const auto &entry) {
        const bool mayLoadSooner = !isTargetStored && entry.first > loaded;
        return entry.first != m_targetVersion && !isComplete(entry.second) && !mayLoadSooner;
    });
    for (auto &[version, known] : m_knownVersions) {
        if (known.lists.all().size() > 1) {
            known.lists = known.lists.reducedTo(m_complete);
        }
    }
    while (m_knownVersions.size() > maxKnownVersions) {
        m_knownVersions.erase(m_knownVersions.begin());
    }
}

/** @returns the number of lists that are known, of all versions */
std::size_t VersionFetcher::listCount() const
{
    std::size_t n = 0;
    for (const auto &[version, known] : m_knownVersions) {
        n += known.lists.all().size();
    }
    return n;
}

/** @returns whether all pieces of one of the lists of a version are stored */
bool VersionFetcher::isComplete(const KnownVersion &known) const
{
    return known.lists.completeIn(m_complete) != nullptr;
}

bool VersionFetcher::isTargetComplete() const
{
    const auto it = m_knownVersions.find(m_targetVersion);
    return it != m_knownVersions.end() && isComplete(it->second);
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
    if (isTargetComplete()) {
        notifyCompleteVersions();
        return;
    }
    if (m_knownVersions.contains(m_targetVersion)) {
        reviewListIfDue(now);
    } else {
        requestListIfDue(now);
    }
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
        std::uint64_t order = version * maxListCandidates;
        for (const ListCandidate &candidate : known.lists.all()) {
            VersionPlacement versionPlacement = placement();
            versionPlacement.fetchOrder = order++;
            wanted.versions.emplace(candidate.digest(), std::move(versionPlacement));
        }
    }
    m_hooks.weights->post(std::move(wanted));
}

void VersionFetcher::notifyCompleteVersions()
{
    for (auto &[version, known] : m_knownVersions) {
        const ListCandidate *complete = known.lists.completeIn(m_complete);
        if (!known.isNotified && complete != nullptr) {
            known.isNotified = true;
            m_log.info("weights.complete", {{"version", version}});
            m_hooks.onVersionCompleted({m_model, version, complete->manifest()});
        }
    }
}

} // namespace greengageseam
