#include "edge/topicrelay.h"

#include "net/clock.h"
#include "net/ticker.h"
#include "protocol/framecodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr std::size_t maxPendingRequests = 256;
/** Maximum size of an encoded answer. */
constexpr std::size_t maxAnswerBytes = maxFrameBytes;
/** Size of a part of an answer. */
constexpr std::size_t partBytes = 64 * 1024;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto maxWait = std::chrono::seconds(5);

} // namespace

TopicRelay::TopicRelay(const asio::any_io_executor &executor, TopicRelayOptions options,
                       std::function<ReadProgress()> progress)
    : m_executor(executor), m_options(std::move(options)), m_progress(std::move(progress)),
      m_mailbox(makeMailbox<TopicRelayCommand>(executor, mailboxCapacity))
{ }

void TopicRelay::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(RelayTick {});
        return true;
    });
}

Awaitable<void> TopicRelay::run()
{
    while (std::optional<TopicRelayCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void TopicRelay::apply(const TopicRequested &command)
{
    // A peer has one read in progress. It has given up an earlier one that still waits here.
    std::erase_if(m_pending, [&](const PendingRequest &pending) {
        return pending.command.link.peer().instance == command.link.peer().instance;
    });
    const Instant now = monotonicNow();
    const Duration wait = std::clamp<Duration>(command.request.wait, Duration::zero(), maxWait);
    const PendingRequest pending {command, now, now + wait};
    // Until the topic was read once, requests wait for it rather than turn to the store as well.
    const bool isDeclined =
            m_view && availabilityFor(command, now) == TopicAvailability::Unavailable;
    if (isDeclined || command.request.topic != m_options.topic || hasChangesFor(command)
        || wait == Duration::zero() || m_pending.size() >= maxPendingRequests) {
        answer(pending);
        return;
    }
    m_pending.push_back(pending);
}

/** Even a confirmation without changes is passed on at once, so that it does not age on the way. */
void TopicRelay::apply(const TopicUpdated &command)
{
    m_view = command.view;
    m_receivingSince.reset();
    for (const PendingRequest &pending : m_pending) {
        answer(pending);
    }
    m_pending.clear();
}

void TopicRelay::apply(const RelayTick &)
{
    recordProgress(monotonicNow());
    answerDueRequests();
}

/**
 * Changes are passed on whatever their age, which the answer tells. A peer that knows a later era
 * of the store learns nothing here.
 */
TopicAvailability TopicRelay::availabilityFor(const TopicRequested &command, Instant now) const
{
    if (m_view && m_view->end().era < command.request.from.era) {
        return TopicAvailability::Unavailable;
    }
    return hasChangesFor(command) ? TopicAvailability::Known : availability(now);
}

TopicAvailability TopicRelay::availability(Instant now) const
{
    if (m_view && now - m_view->completeAsOf() < m_options.maxViewAge) {
        return TopicAvailability::Known;
    }
    const bool isTooSlow = m_receivingSince && now - *m_receivingSince > m_options.maxProgressTime;
    return m_progress() != ReadProgress::None && !isTooSlow ? TopicAvailability::Pending
                                                            : TopicAvailability::Unavailable;
}

void TopicRelay::recordProgress(Instant now)
{
    if (m_progress() != ReadProgress::Receiving) {
        m_receivingSince.reset();
    } else if (!m_receivingSince) {
        m_receivingSince = now;
    }
}

bool TopicRelay::hasChangesFor(const TopicRequested &command) const
{
    return m_view && m_view->end() > command.request.from;
}

void TopicRelay::answerDueRequests()
{
    const Instant now = monotonicNow();
    std::erase_if(m_pending, [&](const PendingRequest &pending) {
        const bool isDeclined =
                m_view && availabilityFor(pending.command, now) == TopicAvailability::Unavailable;
        const bool isDue = isDeclined || now >= pending.deadline;
        if (isDue) {
            answer(pending);
        }
        return isDue;
    });
}

void TopicRelay::answer(const PendingRequest &pending) const
{
    const TopicRequested &command = pending.command;
    TopicPartMessage part;
    if (command.request.topic == m_options.topic) {
        part.availability = availabilityFor(command, monotonicNow());
    }
    part.isLast = true;
    if (part.availability != TopicAvailability::Known) {
        command.link.post(command.stream, std::move(part));
        return;
    }
    const TopicChanges changes = m_view->changesSince(command.request.from);
    const std::string bytes = encodeRecords(changes.records);
    if (bytes.size() > maxAnswerBytes) {
        part.availability = TopicAvailability::Unavailable;
        command.link.post(command.stream, std::move(part));
        return;
    }
    part.isWhole = changes.isWhole;
    part.end = changes.end;
    part.completeAsOf = changes.completeAsOf - pending.arrivedAt;
    for (std::size_t sent = 0; sent < bytes.size(); sent += partBytes) {
        part.bytes = bytes.substr(sent, partBytes);
        part.isLast = sent + partBytes >= bytes.size();
        command.link.post(command.stream, part);
    }
}

} // namespace greengageseam
