/**
 * The part of VersionFetcher that obtains the piece lists of versions, reads them again when they
 * are in doubt, and passes them on to other processes.
 */
#include "exchange/versionfetcher.h"
#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto listRequestPeriod = std::chrono::milliseconds(150);
/** Minimum time after a request for a list before one because the list is doubted. */
constexpr auto doubtedListPeriod = std::chrono::milliseconds(300);
/** Time after a request for a list after which it is read again if no list is complete by then. */
constexpr auto listReviewPeriod = std::chrono::seconds(3);
/** Maximum number of pending piece-list requests from other processes. */
constexpr std::size_t maxPendingListQueries = 1024;

} // namespace

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
    if (!m_announcedManifest.isEmpty()) {
        m_reviewedManifests.insert(m_announcedManifest);
    }
    KnownVersion &known = m_knownVersions[command.version];
    if (isComplete(known)) {
        return;
    }
    const std::size_t before = known.lists.all().size();
    known.lists = known.lists.with(std::get<PieceList>(command.list));
    evictOldVersions();
    m_log.info(before == 0 ? "weights.fetching" : "weights.list-reviewed",
               {{"version", command.version},
                {"tries", m_listAttempts},
                {"lists", known.lists.all().size()}});
    sendWantedVersions();
    notifyCompleteVersions();
    answerListQueries();
}

void VersionFetcher::apply(const FetcherListDoubted &command)
{
    const bool isDoubtful = m_knownVersions.contains(m_targetVersion) && !isTargetComplete();
    const bool isReviewed = m_reviewedManifests.contains(command.manifest);
    // Pieces that are staged locally do not come from the origin.
    const bool isOwnCopy = command.source.isOrigin() && isStagedLocally();
    if (isDoubtful && !isReviewed && !isOwnCopy) {
        m_doubt = command;
    }
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
        const bool isKnown = known != m_knownVersions.end()
                && known->second.lists.all().front().list().model == query.model;
        if (isKnown) {
            query.reply(known->second.lists.all().front().list());
        }
        return isKnown || query.version < m_targetVersion;
    });
}

void VersionFetcher::requestListIfDue(Instant now)
{
    if (m_missingListVersion != m_targetVersion) {
        m_missingListVersion = m_targetVersion;
        m_listMissingSince = now;
        m_listAttempts = 0;
    }
    if (now - m_lastListRequestAt < listRequestPeriod) {
        return;
    }
    if (const std::optional<ChunkSource> source = nextListSource(now - m_listMissingSince)) {
        startListRequest(*source, {});
    }
}

/**
 * Reads the list of the target version again if there are signs that it is corrupt, or if its
 * pieces do not become complete.
 */
void VersionFetcher::reviewListIfDue(Instant now)
{
    const Duration age = now - m_lastListRequestAt;
    if (m_doubt && age >= doubtedListPeriod) {
        startListRequest(m_doubt->source, m_doubt->manifest);
    } else if (age >= listReviewPeriod) {
        // Without a reason to doubt the list, the origin is left to one entry of the zone.
        startListRequest(nextListSource(Duration()).value_or(ChunkSource {}), {});
    }
}

/** @param missingFor time for which the list has been missing */
std::optional<ChunkSource> VersionFetcher::nextListSource(Duration missingFor) const
{
    return chooseListSource(
            {m_options.self, entriesOfZone(), m_targetVersion, missingFor, m_listAttempts});
}

/** @param announced the manifest because of which the list is read again; empty for none */
void VersionFetcher::startListRequest(ChunkSource source, Digest announced)
{
    if (m_isRequestingList || !m_origin.readPieceList) {
        return;
    }
    ++m_listAttempts;
    m_isRequestingList = true;
    m_lastListRequestAt = monotonicNow();
    m_announcedManifest = std::move(announced);
    m_doubt.reset();
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), version = m_targetVersion, peer = source.peer] {
                return self->requestList(version, peer);
            },
            asio::detached);
}

/** @returns what the list of a version must look like by the configuration */
PieceListFormat VersionFetcher::listFormat(std::uint64_t version) const
{
    PieceListFormat format {m_model, version};
    for (const auto &[name, service] : m_table->config().services) {
        if (service.engine && service.engine->model == m_model) {
            format.pieceCount = service.engine->pieceCount;
            format.pieceBytes = service.engine->pieceBytes;
        }
    }
    return format;
}

/** @param peer the peer to request the list from; empty for the origin */
Awaitable<void> VersionFetcher::requestList(std::uint64_t version, InstanceId peer)
{
    const PieceListFormat format = listFormat(version);
    Outcome<PieceList> list = Failure();
    if (peer.isEmpty()) {
        list = co_await m_origin.readPieceList(format.model, version);
    } else {
        list = co_await m_hooks.readPeerList(peer, format.model, version);
    }
    FetcherListReceived received {version, Failure()};
    if (const Failure *failure = failureOf(list)) {
        received.list = *failure;
    } else {
        received.list = checkedPieceList(std::get<PieceList>(std::move(list)), format);
    }
    FetcherCommand command = std::move(received);
    co_await m_mailbox->send(std::move(command));
}

} // namespace greengageseam
