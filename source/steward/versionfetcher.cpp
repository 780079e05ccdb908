#include "steward/versionfetcher.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto askPeersEvery = std::chrono::seconds(1);
constexpr auto askListEvery = std::chrono::milliseconds(250);
/** Versions whose pieces are remembered. */
constexpr std::size_t mostVersions = 2;

/** @returns the product's manifest of a list of pieces */
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
    // Manifests are made here, so the keeper never reads one from elsewhere.
    sources.readManifest = [self = shared_from_this()](Digest digest)
            -> Awaitable<Outcome<Manifest>> {
        for (const auto &[version, known] : self->m_known) {
            if (known.digest == digest) {
                co_return known.manifest;
            }
        }
        co_return Failure {ErrorKind::NotFound, "the version is not wanted any more"};
    };
    sources.readOrigin = [self = shared_from_this()](Chunk chunk) {
        return self->readPiece(std::move(chunk));
    };
    return sources;
}

Awaitable<OriginAnswer> VersionFetcher::readPiece(Chunk chunk)
{
    OriginAnswer answer;
    answer.bytes = Failure {ErrorKind::NotFound, "the piece is not wanted any more"};
    for (const auto &[version, known] : m_known) {
        const auto &digests = known.list.digests;
        const auto it = std::find(digests.begin(), digests.end(), chunk.digest);
        if (it == digests.end() || !m_origin.readPiece) {
            continue;
        }
        const auto number = static_cast<std::uint32_t>(it - digests.begin());
        const ModelName model = known.list.model;
        const std::uint64_t ofVersion = version;
        answer.bytes = co_await m_origin.readPiece(model, ofVersion, number);
        co_return answer;
    }
    co_return answer;
}

void VersionFetcher::apply(const FetcherRoutes &command)
{
    m_table = command.table;
    const Service *service = m_table->service(m_options.service);
    if (service != nullptr && service->engine) {
        m_model = service->engine->model;
    }
    const Address origin = originAddress();
    if (origin != m_originAddress) {
        m_originAddress = origin;
        m_origin = origin.isEmpty() ? WeightOriginHooks {} : m_hooks.openOrigin(origin);
    }
    advance();
}

Address VersionFetcher::originAddress() const
{
    for (const auto &[name, service] : m_table->config().services) {
        if (!service.origin.isEmpty()) {
            return service.origin;
        }
    }
    return {};
}

void VersionFetcher::apply(const FetcherNamed &command)
{
    if (command.named.version <= m_wanted) {
        return;
    }
    m_wanted = command.named.version;
    m_arePeersKnown = false;
    m_peersAskedAt = Instant();
    advance();
}

void VersionFetcher::apply(const FetcherLoaded &command)
{
    m_loaded = command.version;
    advance();
}

void VersionFetcher::apply(const FetcherHolds &command)
{
    m_complete = command.complete;
    tellHeld();
}

void VersionFetcher::apply(const FetcherPeers &command)
{
    m_isAskingPeers = false;
    m_arePeersKnown = true;
    if (!command.entries.empty()) {
        m_entries = command.entries;
    }
    tellKeeper();
    tellHeld();
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
    m_log.info("weights.fetching", {{"version", command.version}});
    tellKeeper();
    tellHeld();
}

void VersionFetcher::apply(const FetcherTick &)
{
    advance();
}

/** The one before the wanted version is kept only if it is whole, since it may be loading. */
void VersionFetcher::forgetOld()
{
    std::erase_if(m_known, [this](const auto &entry) {
        return entry.first != m_wanted && !m_complete.contains(entry.second.digest);
    });
    while (m_known.size() > mostVersions) {
        m_known.erase(m_known.begin());
    }
}

bool VersionFetcher::isNeeded() const
{
    return m_loaded && *m_loaded != m_wanted;
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
    readPeers(now);
    if (it == m_known.end()) {
        readList(now);
    }
}

void VersionFetcher::readList(Instant now)
{
    if (m_isAskingList || now - m_listAskedAt < askListEvery || !m_origin.readList) {
        return;
    }
    m_isAskingList = true;
    m_listAskedAt = now;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), version = m_wanted] { return self->askList(version); },
            asio::detached);
}

Awaitable<void> VersionFetcher::askList(std::uint64_t version)
{
    const ModelName model = m_model;
    Outcome<PieceList> list = co_await m_origin.readList(model, version);
    FetcherCommand listed = FetcherListed {version, std::move(list)};
    co_await m_mailbox->send(std::move(listed));
}

void VersionFetcher::readPeers(Instant now)
{
    if (m_isAskingPeers || now - m_peersAskedAt < askPeersEvery) {
        return;
    }
    m_isAskingPeers = true;
    m_peersAskedAt = now;
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->askPeers(); },
                   asio::detached);
}

Awaitable<void> VersionFetcher::askPeers()
{
    const Outcome<std::vector<ReplicaEntry>> read = co_await m_hooks.readReplicas();
    FetcherPeers peers;
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("weights.peers-unknown", {{"reason", failure->detail}});
    } else {
        peers.entries = std::get<std::vector<ReplicaEntry>>(read);
    }
    FetcherCommand command = std::move(peers);
    co_await m_mailbox->send(std::move(command));
}

std::vector<InstanceId> VersionFetcher::members() const
{
    std::vector<InstanceId> members;
    for (const ReplicaEntry &entry : m_entries) {
        if (entry.service == m_options.service) {
            members.push_back(agentBeside(entry.address));
        }
    }
    return members;
}

/** Those whose backend servers run the version already have no turn at reading it. */
VersionPlaces VersionFetcher::placesOf(std::uint64_t version) const
{
    std::set<ZoneName> zones {m_options.zone};
    std::set<InstanceId> near {m_options.self};
    for (const ReplicaEntry &entry : m_entries) {
        if (entry.service != m_options.service || entry.loaded.wholeVersion() == version) {
            continue;
        }
        zones.insert(entry.zone);
        if (entry.zone == m_options.zone) {
            near.insert(agentBeside(entry.address));
        }
    }
    VersionPlaces places;
    places.members.assign(near.begin(), near.end());
    places.zones.assign(zones.begin(), zones.end());
    return places;
}

/** Without its peers each agent would read the whole version from the origin. */
void VersionFetcher::tellKeeper()
{
    if (!m_arePeersKnown || !isNeeded() || !m_known.contains(m_wanted)) {
        return;
    }
    std::vector<WeightPeer> peers;
    for (const ReplicaEntry &entry : m_entries) {
        const InstanceId agent = agentBeside(entry.address);
        if (entry.service == m_options.service && agent != m_options.self) {
            const std::string address = agent.text() + ":" + std::to_string(m_options.peerPort);
            peers.push_back({agent, entry.zone, Address(address)});
        }
    }
    m_hooks.weights->post(PeersKnown {std::move(peers)});
    VersionsWanted wanted;
    for (const auto &[version, known] : m_known) {
        wanted.versions.emplace(known.digest, placesOf(version));
    }
    m_hooks.weights->post(std::move(wanted));
}

void VersionFetcher::tellHeld()
{
    for (auto &[version, known] : m_known) {
        if (!known.isTold && m_complete.contains(known.digest)) {
            known.isTold = true;
            m_log.info("weights.held", {{"version", version}});
            m_hooks.held({m_model, version, known.manifest, members()});
        }
    }
}

} // namespace greengageseam
