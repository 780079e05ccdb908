#include "edge/relayedreader.h"

#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** How long an entry may hold a request that it has nothing new for. */
constexpr auto pollTimeout = std::chrono::milliseconds(600);
/** Time for which an entry that has not answered at all is passed over. */
constexpr auto silenceMemory = std::chrono::seconds(5);
/** Time within which a read of the store is expected to return something, if the last one did. */
constexpr auto expectedReadTime = std::chrono::milliseconds(1000);
/** Maximum time for which the first read waits once other entries are being looked for. */
constexpr auto discoveryTimeout = std::chrono::milliseconds(400);

Failure unavailable(std::string reason)
{
    return {ErrorKind::PlatformUnavailable, std::move(reason)};
}

} // namespace

RelayedReader::RelayedReader(const asio::any_io_executor &executor, RelayedReaderOptions options,
                             TopicReader store, TopicViewObserver onRead, Log log)
    : m_executor(executor), m_options(std::move(options)), m_store(std::move(store)),
      m_onRead(std::move(onRead)), m_log(std::move(log)),
      m_link(std::make_shared<TopicLink>(executor, m_options.topic, m_options.identity,
                                         m_options.peerPort, m_log)),
      m_startDeadline(monotonicNow() + m_options.startTimeout), m_startTimer(executor)
{ }

TopicReader RelayedReader::reader()
{
    const auto self = shared_from_this();
    TopicReader reader;
    reader.snapshot = [self] { return self->readSnapshot(); };
    reader.tail = [self](TopicPosition from, Duration wait) { return self->readTail(from, wait); };
    reader.isReceiving = [self] { return self->isReceiving(); };
    reader.isRelayed = [self] { return self->isReadingFromEntry(); };
    reader.cancel = [self] { self->cancelRead(); };
    return reader;
}

void RelayedReader::setEntries(const std::vector<EntryLocation> &entries)
{
    std::vector<InstanceId> order;
    for (const EntryLocation &location : zoneReaderOrder(entries, m_options.identity.zone)) {
        order.emplace_back(location.ip);
    }
    if (order == m_entries) {
        return;
    }
    const TopicSource preferred = choiceAfter(0);
    m_entries = std::move(order);
    m_startTimer.cancel();
    if (choiceAfter(0).entry == preferred.entry) {
        return;
    }
    m_failures = 0;
    m_silentUntil.clear();
    m_reason = "entries changed";
    if (mayInterrupt()) {
        m_isRedirected = true;
        m_link->close("another entry is preferred");
        if (!m_source->entry && m_store.cancel) {
            m_store.cancel();
        }
    }
}

/**
 * @returns whether to interrupt the read in progress because another source is now preferred. An
 *     entry that is still running may finish its answer, since the set of known entries may change
 *     often and briefly.
 */
bool RelayedReader::mayInterrupt() const
{
    if (!m_isReading || !m_source || choiceAfter(0).entry == m_source->entry) {
        return false;
    }
    if (isReadingStore()) {
        return !isReceiving();
    }
    const bool isListed =
            std::find(m_entries.begin(), m_entries.end(), *m_source->entry) != m_entries.end();
    return !isListed && !m_link->hasPartialAnswer();
}

void RelayedReader::limitWaitForEntries()
{
    m_startDeadline = std::min(m_startDeadline, monotonicNow() + discoveryTimeout);
    m_startTimer.cancel();
}

/**
 * Waits at the start until other entries are known. Processes that start together would otherwise
 * all read the whole topic from the store.
 */
Awaitable<void> RelayedReader::waitForEntries(std::uint64_t readId)
{
    const auto isAlone = [this] {
        return std::all_of(m_entries.begin(), m_entries.end(), [this](const InstanceId &entry) {
            return entry == m_options.identity.instance;
        });
    };
    while (readId == m_readId && isAlone() && monotonicNow() < m_startDeadline) {
        m_startTimer.expires_after(m_startDeadline - monotonicNow());
        co_await m_startTimer.async_wait(asTuple);
    }
}

Awaitable<Outcome<KeyedSnapshot>> RelayedReader::readSnapshot()
{
    const auto self = shared_from_this();
    const Duration wait = m_view ? Duration::zero() : Duration(pollTimeout);
    const Request request {startRead(), m_view ? m_view->end() : TopicPosition(), wait, true};
    co_await waitForEntries(request.readId);
    const std::optional<Failure> failure = co_await update(request);
    if (failure) {
        co_return *failure;
    }
    co_return m_view->snapshot();
}

Awaitable<Outcome<KeyedBatch>> RelayedReader::readTail(TopicPosition from, Duration wait)
{
    const auto self = shared_from_this();
    const Request request {startRead(), from, wait, false};
    const std::optional<Failure> failure = co_await update(request);
    if (failure) {
        co_return *failure;
    }
    if (m_view->end().era != from.era) {
        co_return Failure {ErrorKind::NotFound, "the store has begun another era"};
    }
    const TopicChanges changes = m_view->changesSince(from);
    co_return KeyedBatch {changes.records, std::max(from, changes.end), true, changes.completeAsOf};
}

/** Reads from one source after the other until one succeeds or none is left to try at once. */
Awaitable<std::optional<Failure>> RelayedReader::update(Request request)
{
    const Failure givenUp = unavailable("the read was given up for a new one");
    while (request.readId == m_readId) {
        const TopicSource source = chooseSource();
        const ReadResult read = co_await readFrom(source, request);
        if (request.readId != m_readId) {
            break;
        }
        if (const auto *view = std::get_if<std::optional<TopicView>>(&read)) {
            if (*view) {
                recordResult(**view);
                co_return std::nullopt;
            }
            // The entry is still reading the topic itself and answers as soon as it has it.
            request.wait = pollTimeout;
            continue;
        }
        if (m_isRedirected) {
            m_isRedirected = false;
            continue;
        }
        const Failure &failure = *failureOf(read);
        const bool isLost = failure.kind == ErrorKind::PlatformUnavailable
                || failure.kind == ErrorKind::NotReady;
        if (!isLost) {
            // The follower has to know, for instance that it must read a snapshot.
            m_isReading = false;
            co_return failure;
        }
        recordFailure(source, failure);
        if (!source.hasUntriedAlternative) {
            m_isReading = false;
            co_return unavailable(failure.detail);
        }
    }
    co_return givenUp;
}

void RelayedReader::recordResult(const TopicView &view)
{
    m_isReading = false;
    // The preferred source is asked again with the next read: to decline costs it next to nothing.
    m_failures = 0;
    m_view = view;
    if (m_onRead) {
        m_onRead(view);
    }
}

Awaitable<RelayedReader::ReadResult> RelayedReader::readFrom(TopicSource source, Request request)
{
    if (source.entry) {
        const InstanceId entry = *source.entry;
        ReadResult read = co_await readFromEntry(entry, request);
        co_return read;
    }
    m_storeReadAt = monotonicNow();
    ReadResult read = co_await readFromStore(request);
    m_isStoreUsable = failureOf(read) == nullptr;
    co_return read;
}

Awaitable<RelayedReader::ReadResult> RelayedReader::readFromStore(Request request)
{
    if (!request.isSnapshot || (m_options.continuesSnapshots && m_view)) {
        const TopicPosition from = request.from;
        // A view that became old on its way is confirmed at once, not at the end of a long poll.
        const bool isOld = m_view && monotonicNow() - m_view->completeAsOf() > pollTimeout;
        const Duration wait =
                isOld ? Duration::zero() : std::min<Duration>(request.wait, pollTimeout);
        const Outcome<KeyedBatch> tail = co_await m_store.tail(from, wait);
        const Failure *failure = failureOf(tail);
        if (failure == nullptr) {
            const TopicView known = m_view.value_or(TopicView());
            co_return known.withTail(from, std::get<KeyedBatch>(tail), m_options.keeps);
        }
        if (!request.isSnapshot || failure->kind == ErrorKind::PlatformUnavailable) {
            co_return *failure;
        }
    }
    const Outcome<KeyedSnapshot> snapshot = co_await m_store.snapshot();
    if (const Failure *failure = failureOf(snapshot)) {
        co_return *failure;
    }
    const auto &newest = std::get<KeyedSnapshot>(snapshot);
    co_return m_view ? m_view->withSnapshot(newest, m_options.keeps) : TopicView(newest);
}

Awaitable<RelayedReader::ReadResult> RelayedReader::readFromEntry(InstanceId entry, Request request)
{
    const Duration wait = std::min<Duration>(request.wait, pollTimeout);
    const TopicAnswer answer = co_await m_link->request(entry, request.from, wait);
    if (const Failure *failure = failureOf(answer)) {
        co_return *failure;
    }
    const auto &changes = std::get<std::optional<TopicChanges>>(answer);
    if (!changes) {
        co_return std::nullopt;
    }
    if (!m_view && changes->isWhole) {
        co_return TopicView({changes->records, changes->end, changes->completeAsOf});
    }
    const TopicView known = m_view.value_or(TopicView());
    co_return known.withChanges(request.from, *changes, m_options.keeps);
}

/** Starts a read in place of the one in progress. @returns its id */
std::uint64_t RelayedReader::startRead()
{
    cancelRead();
    m_isReading = true;
    m_isRedirected = false;
    return ++m_readId;
}

/** Gives up the read in progress, after which the next one may use another source. */
void RelayedReader::cancelRead()
{
    if (!m_isReading) {
        return;
    }
    m_isReading = false;
    ++m_readId;
    m_link->close("the read was given up");
    if (m_store.cancel) {
        m_store.cancel();
    }
}

/** @returns the source to use after a number of failures */
TopicSource RelayedReader::choiceAfter(std::uint32_t failures) const
{
    TopicSourceQuery query {m_options.identity.instance, m_entries, failures, {}};
    const Instant now = monotonicNow();
    for (const auto &[entry, until] : m_silentUntil) {
        if (now < until) {
            query.silent.insert(entry);
        }
    }
    return chooseTopicSource(query);
}

TopicSource RelayedReader::chooseSource()
{
    TopicSource source = choiceAfter(m_failures);
    if (!m_source || m_source->entry != source.entry) {
        m_log.info("topic.source-changed",
                   {{"topic", m_options.topic},
                    {"source", source.entry ? source.entry->text() : "store"},
                    {"reason", m_reason}});
    }
    m_source = source;
    m_reason = "preferred";
    return source;
}

void RelayedReader::recordFailure(const TopicSource &source, const Failure &failure)
{
    ++m_failures;
    m_reason = failure.detail;
    const bool isSilent = failure.kind == ErrorKind::PlatformUnavailable;
    if (source.entry && isSilent) {
        m_silentUntil[*source.entry] = monotonicNow() + silenceMemory;
    }
}

bool RelayedReader::isReadingStore() const
{
    return m_isReading && m_source && !m_source->entry;
}

/**
 * A read from an entry has timeouts of its own, and a new one would only ask the same again. It
 * counts as being received, so that the follower does not restart it.
 */
bool RelayedReader::isReceiving() const
{
    if (isReadingStore()) {
        return m_store.isReceiving && m_store.isReceiving();
    }
    return m_isReading;
}

bool RelayedReader::isReadingFromEntry() const
{
    return m_source && m_source->entry;
}

ReadProgress RelayedReader::progress() const
{
    const bool isStarting = !m_source;
    const bool isStoreReceiving = m_store.isReceiving && m_store.isReceiving();
    if (m_isReading && (isStarting || m_link->hasPartialAnswer() || isStoreReceiving)) {
        return ReadProgress::Receiving;
    }
    const bool isExpected = isReadingStore() && m_isStoreUsable
            && monotonicNow() - m_storeReadAt < expectedReadTime;
    return isExpected ? ReadProgress::Expected : ReadProgress::None;
}

} // namespace greengageseam
