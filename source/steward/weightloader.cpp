#include "steward/weightloader.h"

#include "core/common/hashing.h"
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
constexpr auto retryAfterFailure = std::chrono::milliseconds(250);
/** An order that shows no effect for so long is given again. */
constexpr auto orderPatience = std::chrono::milliseconds(1500);
/** Names of stages, in their order. */
constexpr std::array<std::string_view, 7> stageNames {
        "idle", "listing", "fetching", "staging", "staged", "ordering", "ordered"};

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

WeightLoader::WeightLoader(const asio::any_io_executor &executor, LoaderOptions options,
                           LoaderHooks hooks, Log log)
    : m_executor(executor), m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_mailbox(makeMailbox<LoaderCommand>(executor, mailboxCapacity))
{ }

void WeightLoader::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(LoaderTick {});
        return mailbox->isOpen();
    });
}

Awaitable<void> WeightLoader::run()
{
    while (std::optional<LoaderCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

WeightSources WeightLoader::sources(ReadPeer readPeer)
{
    WeightSources sources;
    sources.readPeer = std::move(readPeer);
    // The manifest was made here, so the keeper never reads it from elsewhere.
    sources.readManifest = [weak = weak_from_this()](Digest digest) -> Awaitable<Outcome<Manifest>> {
        const auto self = weak.lock();
        if (!self || !self->m_pieces || self->m_pieces->manifest.digest() != digest) {
            co_return Failure {ErrorKind::NotFound, "the version is not wanted any more"};
        }
        co_return self->m_pieces->manifest;
    };
    sources.readOrigin = [weak = weak_from_this()](Chunk chunk) -> Awaitable<OriginAnswer> {
        const auto self = weak.lock();
        const std::shared_ptr<const WantedPieces> pieces = self ? self->m_pieces : nullptr;
        OriginAnswer answer;
        answer.bytes = Failure {ErrorKind::NotFound, "the piece is not wanted any more"};
        if (!pieces) {
            co_return answer;
        }
        const auto &digests = pieces->list.digests;
        const auto it = std::find(digests.begin(), digests.end(), chunk.digest);
        if (it == digests.end()) {
            co_return answer;
        }
        const auto number = static_cast<std::uint32_t>(it - digests.begin());
        answer.bytes = co_await pieces->origin.readPiece(pieces->list.model, pieces->list.version,
                                                         number);
        co_return answer;
    };
    return sources;
}

void WeightLoader::apply(const LoaderRoutes &command)
{
    m_table = command.table;
    const Service *service = m_table->service(m_options.service);
    if (service != nullptr && service->engine) {
        m_model = service->engine->model;
    }
    advance();
}

void WeightLoader::apply(const LoaderNamed &command)
{
    if (!m_named || m_named->named.version < command.named.version) {
        m_named = command;
        advance();
    }
}

void WeightLoader::apply(const LoaderReport &command)
{
    const bool isRestart = command.report && m_report && command.report->bornMs != m_report->bornMs;
    if (command.report) {
        m_report = command.report;
    }
    if (isRestart) {
        m_log.info("replica.restarted", {{"born", m_report->bornMs}});
        restart("the backend server has restarted");
    }
    advance();
}

void WeightLoader::apply(const LoaderHolds &command)
{
    m_complete = command.complete;
    advance();
}

void WeightLoader::apply(const LoaderPeers &command)
{
    m_isAskingPeers = false;
    if (!command.entries.empty()) {
        m_entries = command.entries;
    }
    if (m_stage == Stage::Fetching) {
        beginFetch();
    }
}

void WeightLoader::apply(const LoaderTick &)
{
    advance();
}

void WeightLoader::apply(const LoaderStepDone &command)
{
    if (command.step != m_step) {
        return;
    }
    if (const Failure *failure = failureOf(command.result)) {
        m_log.warning("weights.step-failed",
                      {{"version", m_version},
                       {"stage", stageNames[static_cast<std::size_t>(m_stage)]},
                       {"reason", failure->detail}});
        restart(failure->detail);
        m_notBefore = monotonicNow() + retryAfterFailure;
        return;
    }
    switch (m_stage) {
    case Stage::Listing: {
        const Service *service = m_table->service(m_options.service);
        WantedPieces pieces;
        pieces.list = *command.list;
        pieces.manifest = manifestOf(pieces.list);
        pieces.origin = m_pieces ? m_pieces->origin : WeightOriginHooks {};
        if (service != nullptr) {
            m_pieces = std::make_shared<const WantedPieces>(std::move(pieces));
        }
        enter(Stage::Fetching);
        beginFetch();
        break;
    }
    case Stage::Staging:
        enter(Stage::Staged);
        break;
    case Stage::Ordering:
        enter(Stage::Ordered);
        break;
    default:
        break;
    }
    advance();
}

std::uint64_t WeightLoader::wantedVersion() const
{
    return m_named ? m_named->named.version : 1;
}

void WeightLoader::enter(Stage stage)
{
    m_stage = stage;
    m_stageSince = monotonicNow();
    m_log.info("weights.stage",
               {{"version", m_version}, {"stage", stageNames[static_cast<std::size_t>(stage)]}});
}

void WeightLoader::restart(std::string_view reason)
{
    if (m_stage != Stage::Idle) {
        m_log.info("weights.restart", {{"version", m_version}, {"reason", reason}});
    }
    ++m_step;
    m_stage = Stage::Idle;
}

/** Takes the next step, if there is one to take. */
void WeightLoader::advance()
{
    const Instant now = monotonicNow();
    if (m_table == nullptr || m_model.isEmpty() || !m_report || now < m_notBefore) {
        return;
    }
    const std::uint64_t wanted = wantedVersion();
    if (m_report->loaded.wholeVersion() == wanted && !m_report->isOrderBusy) {
        if (m_stage != Stage::Idle) {
            m_log.info("weights.loaded", {{"version", wanted}});
            restart("done");
        }
        return;
    }
    if (m_version != wanted) {
        restart("another version is wanted");
        m_version = wanted;
    }
    switch (m_stage) {
    case Stage::Idle:
        beginList();
        break;
    case Stage::Fetching:
        readPeers();
        if (m_complete.contains(m_pieces->manifest.digest())) {
            beginStage();
        }
        break;
    case Stage::Staged:
        if (!m_report->isOrderBusy && now >= m_named.value_or(LoaderNamed {}).at + turn()) {
            beginOrder();
        }
        break;
    case Stage::Ordered:
        if (!m_report->isOrderBusy && now - m_stageSince > orderPatience) {
            restart("the order has shown no effect");
        }
        break;
    default:
        break;
    }
}

/** An empty backend server serves nobody, so it loads at once. */
Duration WeightLoader::turn() const
{
    if (m_report->loaded.wholeVersion() == 0) {
        return {};
    }
    std::vector<InstanceId> members;
    for (const ReplicaEntry &entry : m_entries) {
        if (entry.service == m_options.service) {
            members.push_back(agentBeside(entry.address));
        }
    }
    return rolloutTurn(members, m_options.self, m_version, m_options.rollout);
}

void WeightLoader::beginList()
{
    if (m_pieces && m_pieces->list.version == m_version
        && m_complete.contains(m_pieces->manifest.digest())) {
        beginStage();
        return;
    }
    Address origin;
    for (const auto &[name, service] : m_table->config().services) {
        origin = service.origin.isEmpty() ? origin : service.origin;
    }
    if (origin.isEmpty()) {
        return;
    }
    WantedPieces pieces;
    pieces.origin = m_hooks.openOrigin(origin);
    m_pieces = std::make_shared<const WantedPieces>(std::move(pieces));
    enter(Stage::Listing);
    readPeers();
    asio::co_spawn(m_executor,
                   [self = shared_from_this(), step = ++m_step, hooks = m_pieces->origin,
                    version = m_version] { return self->list(step, hooks, version); },
                   asio::detached);
}

Awaitable<void> WeightLoader::list(std::uint64_t step, WeightOriginHooks origin,
                                   std::uint64_t version)
{
    const Outcome<PieceList> read = co_await origin.readList(m_model, version);
    const Failure *failure = failureOf(read);
    Settled result = failure == nullptr ? Settled(std::monostate()) : Settled(*failure);
    std::optional<PieceList> list;
    if (failure == nullptr) {
        list = std::get<PieceList>(read);
    }
    co_await finish(step, std::move(result), std::move(list));
}

Awaitable<void> WeightLoader::finish(std::uint64_t step, Settled result,
                                     std::optional<PieceList> list)
{
    LoaderCommand done = LoaderStepDone {step, std::move(result), std::move(list)};
    co_await m_mailbox->send(std::move(done));
}

/** Tells the keeper of weights what is wanted, and where else it is. */
void WeightLoader::beginFetch()
{
    std::vector<WeightPeer> peers;
    VersionPlaces places;
    std::set<ZoneName> zones {m_options.zone};
    std::set<InstanceId> members {m_options.self};
    for (const ReplicaEntry &entry : m_entries) {
        const InstanceId agent = agentBeside(entry.address);
        if (entry.service != m_options.service || agent == m_options.self) {
            continue;
        }
        peers.push_back({agent, entry.zone,
                         Address(agent.text() + ":" + std::to_string(m_options.peerPort))});
        if (entry.loaded.wholeVersion() == m_version) {
            continue;
        }
        zones.insert(entry.zone);
        if (entry.zone == m_options.zone) {
            members.insert(agent);
        }
    }
    places.members.assign(members.begin(), members.end());
    places.zones.assign(zones.begin(), zones.end());
    m_hooks.weights->post(PeersKnown {std::move(peers)});
    VersionsWanted wanted;
    wanted.versions.emplace(m_pieces->manifest.digest(), std::move(places));
    m_hooks.weights->post(std::move(wanted));
}

void WeightLoader::readPeers()
{
    const Instant now = monotonicNow();
    if (m_isAskingPeers || now - m_peersAskedAt < askPeersEvery) {
        return;
    }
    m_isAskingPeers = true;
    m_peersAskedAt = now;
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->askPeers(); },
                   asio::detached);
}

Awaitable<void> WeightLoader::askPeers()
{
    const Outcome<std::vector<ReplicaEntry>> read = co_await m_hooks.readReplicas();
    LoaderPeers peers;
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("weights.peers-unknown", {{"reason", failure->detail}});
    } else {
        peers.entries = std::get<std::vector<ReplicaEntry>>(read);
    }
    LoaderCommand command = std::move(peers);
    co_await m_mailbox->send(std::move(command));
}

void WeightLoader::beginStage()
{
    enter(Stage::Staging);
    asio::co_spawn(m_executor,
                   [self = shared_from_this(), step = ++m_step, manifest = m_pieces->manifest] {
                       return self->stage(step, manifest);
                   },
                   asio::detached);
}

Awaitable<void> WeightLoader::stage(std::uint64_t step, Manifest manifest)
{
    Settled result = std::monostate();
    std::uint32_t number = 0;
    for (const Chunk &chunk : manifest.chunks()) {
        if (step != m_step) {
            co_return;
        }
        result = co_await stageOne(number, chunk);
        if (failureOf(result) != nullptr) {
            break;
        }
        ++number;
    }
    std::optional<PieceList> none;
    co_await finish(step, std::move(result), std::move(none));
}

Awaitable<Settled> WeightLoader::stageOne(std::uint32_t number, Chunk chunk)
{
    const auto reply = makeMailbox<Outcome<ChunkBytes>>(m_executor, 1);
    WeightCommand read = ChunkRead {chunk.digest, reply};
    co_await m_hooks.weights->send(std::move(read));
    const std::optional<Outcome<ChunkBytes>> bytes = co_await reply->receive();
    if (!bytes || failureOf(*bytes) != nullptr) {
        co_return Failure {ErrorKind::NotFound, "a chunk is not held any more"};
    }
    co_return co_await m_hooks.replica.stagePiece(m_model, number, std::get<ChunkBytes>(*bytes));
}

/** Reads back all that is staged; what has turned bad is staged anew and read again. */
Awaitable<Settled> WeightLoader::verifyStaged(Manifest manifest)
{
    constexpr int tries = 3;
    std::uint32_t number = 0;
    for (const Chunk &chunk : manifest.chunks()) {
        bool isGood = false;
        for (int i = 0; i < tries && !isGood; ++i) {
            const Outcome<std::string> staged =
                    co_await m_hooks.replica.readStaged(m_model, number);
            isGood = failureOf(staged) == nullptr
                    && digestOf(std::get<std::string>(staged)) == chunk.digest;
            if (!isGood) {
                m_log.warning("weights.piece-spoilt", {{"version", m_version}, {"piece", number}});
                const Settled mended = co_await stageOne(number, chunk);
                if (const Failure *failure = failureOf(mended)) {
                    co_return *failure;
                }
            }
        }
        if (!isGood) {
            co_return Failure {ErrorKind::CorruptData, "a staged piece does not keep its bytes"};
        }
        ++number;
    }
    co_return std::monostate();
}

void WeightLoader::beginOrder()
{
    enter(Stage::Ordering);
    asio::co_spawn(m_executor,
                   [self = shared_from_this(), step = ++m_step,
                    order = LoadOrder {m_model, m_version}, manifest = m_pieces->manifest] {
                       return self->order(step, order, manifest);
                   },
                   asio::detached);
}

Awaitable<void> WeightLoader::order(std::uint64_t step, LoadOrder order, Manifest manifest)
{
    Settled result = co_await verifyStaged(std::move(manifest));
    if (step != m_step) {
        co_return;
    }
    if (failureOf(result) == nullptr) {
        const Outcome<OrderAnswer> answer = co_await m_hooks.replica.giveOrder(order);
        const Failure *failure = failureOf(answer);
        m_log.info("weights.ordered",
                   {{"version", order.version},
                    {"outcome", failure != nullptr ? failure->detail : std::string("answered")}});
        // Without an answer the order may have been accepted; the report shows it.
        if (failure != nullptr && failure->kind != ErrorKind::OutcomeUnknown) {
            result = *failure;
        } else if (failure == nullptr && std::get<OrderAnswer>(answer) == OrderAnswer::Unfit) {
            result = Failure {ErrorKind::ChangeConflict, "the order does not fit"};
        }
    }
    std::optional<PieceList> none;
    co_await finish(step, std::move(result), std::move(none));
}

} // namespace greengageseam
