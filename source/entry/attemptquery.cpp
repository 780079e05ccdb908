/**
 * Sends a cancellation over a new link and reads the execution status from its acknowledgement.
 */
#include "entry/attemptquery.h"

namespace greengageseam {

namespace {

constexpr auto dialLimit = std::chrono::milliseconds(700);
constexpr auto answerLimit = std::chrono::milliseconds(700);
constexpr std::size_t maxQuestions = 64;
constexpr std::size_t answerCapacity = 4;

/** Queries execution statuses, with a limit on the number of concurrent queries. */
class AttemptQuery
{
public:
    AttemptQuery(const asio::any_io_executor &executor, PeerIdentity identity, Log log)
        : m_executor(executor), m_identity(std::move(identity)), m_log(std::move(log))
    { }

    Awaitable<Ran> ask(RouteGrant grant, AttemptId attempt)
    {
        if (m_questions >= maxQuestions) {
            co_return Ran::Unknown;
        }
        ++m_questions;
        const Ran ran = co_await askOverNewLink(grant, attempt);
        --m_questions;
        co_return ran;
    }

private:
    Awaitable<Ran> askOverNewLink(const RouteGrant &grant, const AttemptId &attempt)
    {
        LinkHooks hooks;
        hooks.receive = [](const PeerLinkHandle &, const StreamMessage &) { };
        hooks.ended = [](const PeerLinkHandle &, const LinkClosed &) { };
        const Outcome<PeerLinkHandle> dialed = co_await dialPeer(
                m_executor, grant.peerAddress, m_identity, hooks, dialLimit, m_log);
        if (failureOf(dialed) != nullptr) {
            co_return Ran::Unknown;
        }
        const auto &link = std::get<PeerLinkHandle>(dialed);
        const StreamId stream = link.nextStream();
        const auto answer = makeMailbox<StreamEvent>(m_executor, answerCapacity);
        link.listen(stream, answer);
        link.post(stream, CancelMessage {attempt, grant.stamp});
        const std::optional<StreamEvent> event = co_await answer->receiveWithin(answerLimit);
        link.close("the attempt query is complete");
        co_return ranIn(event);
    }

    static Ran ranIn(const std::optional<StreamEvent> &event)
    {
        const Message *message = event ? std::get_if<Message>(&*event) : nullptr;
        const auto *seen = message ? std::get_if<CancelSeenMessage>(message) : nullptr;
        return seen == nullptr ? Ran::Unknown : seen->ran;
    }

    asio::any_io_executor m_executor;
    PeerIdentity m_identity;
    Log m_log;
    std::size_t m_questions = 0;
};

} // namespace

AskIfRan makeAttemptQuery(const asio::any_io_executor &executor, PeerIdentity identity, Log log)
{
    const auto query =
            std::make_shared<AttemptQuery>(executor, std::move(identity), std::move(log));
    return [query](RouteGrant grant, AttemptId attempt) {
        return query->ask(std::move(grant), std::move(attempt));
    };
}

} // namespace greengageseam
