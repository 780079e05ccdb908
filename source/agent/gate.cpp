#include "agent/gate.h"

#include "agent/attempt.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr std::size_t streamCapacity = 4096;
constexpr auto tickPeriod = std::chrono::seconds(1);

} // namespace

Gate::Gate(const asio::any_io_executor &executor, GateOptions options, GateObserver observer,
           std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_options(std::move(options)), m_observer(std::move(observer)),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<GateCommand>(executor, mailboxCapacity)), m_ledger(m_options.ledger),
      m_claimedCalls(LedgerOptions()
                             .withKeepFor(m_options.rememberKeysFor)
                             .withCapacity(m_options.maxKeys))
{ }

void Gate::start()
{
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->runCommands(); },
            asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(GateTick {});
        return true;
    });
}

Awaitable<void> Gate::runCommands()
{
    while (std::optional<GateCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void Gate::apply(const StartAttempt &command)
{
    const OpenMessage &open = command.open;
    if (const std::optional<Failure> failure = reasonToRefuse(open)) {
        refuse(command, *failure, Ran::No);
        return;
    }
    switch (admit(open, monotonicNow())) {
    case StartVerdict::Start:
        run(command);
        return;
    case StartVerdict::Cancelled:
        refuse(command, {ErrorKind::DuplicateAttempt, "the attempt was cancelled"}, Ran::No);
        return;
    case StartVerdict::TooOld:
        refuse(command, {ErrorKind::NoBackendServer, "the attempt is too old"}, Ran::No);
        return;
    case StartVerdict::AlreadySeen:
        break;
    }
    refuse(command,
           {ErrorKind::DuplicateAttempt, "the attempt or its claimed request was already started"},
           Ran::Unknown);
}

/**
 * Registers an attempt. A claimed request starts only if neither its attempt nor its key was seen
 * before.
 */
StartVerdict Gate::admit(const OpenMessage &open, Instant now)
{
    const AttemptId key(open.claimKey);
    const StartVerdict verdict = m_ledger.start(open.attempt, open.stamp.clock, now);
    if (verdict != StartVerdict::Start || key.isEmpty()) {
        return verdict;
    }
    const StartVerdict keyVerdict = m_claimedCalls.start(key, open.stamp.clock, now);
    if (keyVerdict == StartVerdict::Start) {
        m_claimedCalls.end(key, now);
    } else {
        m_ledger.end(open.attempt, now);
    }
    return keyVerdict;
}

void Gate::run(const StartAttempt &command)
{
    const OpenMessage &open = command.open;
    ++m_runningByManifest[open.manifest];
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    m_events.emplace(open.attempt, events);
    command.link.listen(command.stream, events);
    auto ended = [mailbox = m_mailbox, attempt = open.attempt,
                  manifest = open.manifest]() -> Awaitable<void> {
        GateCommand command = AttemptEnded {attempt, manifest};
        co_await mailbox->send(std::move(command));
    };
    const AttemptTarget target {m_options.backendAddress, m_options.service};
    std::make_shared<Attempt>(m_executor, target, open, command.link, command.stream, events,
                              std::move(ended), m_log)
            ->start();
    publish();
}

void Gate::apply(const CancelAttempt &command)
{
    const CancelMessage &cancel = command.cancel;
    Ran ran = Ran::Unknown;
    if (cancel.stamp.startedAt == m_options.startedAt) {
        const AttemptPhase phase =
                m_ledger.cancel(cancel.attempt, cancel.stamp.clock, monotonicNow());
        const bool neverRan = phase == AttemptPhase::Unseen || phase == AttemptPhase::Tombstone;
        ran = neverRan ? Ran::No : Ran::Unknown;
    }
    const auto it = m_events.find(cancel.attempt);
    if (it != m_events.end()) {
        it->second->post(StreamEvent(Message(cancel)));
    }
    command.link.post(command.stream, CancelSeenMessage {ran});
}

void Gate::apply(const AttemptEnded &command)
{
    m_ledger.end(command.attempt, monotonicNow());
    m_events.erase(command.attempt);
    const auto it = m_runningByManifest.find(command.manifest);
    if (it != m_runningByManifest.end() && --it->second == 0) {
        m_runningByManifest.erase(it);
    }
    answerReleases();
    publish();
}

void Gate::apply(const EngineSeen &command)
{
    m_serving = std::set<Digest>(command.state.serving.begin(), command.state.serving.end());
}

void Gate::apply(const IncarnationKnown &command)
{
    m_incarnation = command.number;
}

void Gate::apply(const ReleaseVersion &command)
{
    m_released.insert(command.manifest);
    m_waitingReleases.push_back(command);
    answerReleases();
}

void Gate::apply(const ReopenVersion &command)
{
    m_released.erase(command.manifest);
}

void Gate::apply(const DrainGate &command)
{
    m_isDraining = true;
    if (command.reply) {
        m_waitingDrains.push_back(command);
    }
    answerReleases();
    publish();
}

void Gate::apply(const GateTick &)
{
    m_ledger.expire(monotonicNow());
    m_claimedCalls.expire(monotonicNow());
}

std::optional<Failure> Gate::reasonToRefuse(const OpenMessage &open) const
{
    if (m_isDraining) {
        return Failure {ErrorKind::Draining, "the backend server is draining"};
    }
    if (open.incarnation.value != 0 && open.incarnation != m_incarnation) {
        return Failure {ErrorKind::NoBackendServer,
                        "the attempt is addressed to another incarnation"};
    }
    if (open.stamp.startedAt != m_options.startedAt) {
        return Failure {ErrorKind::NoBackendServer,
                        "the attempt is addressed to another agent process"};
    }
    if (std::optional<Failure> failure = reasonToRefuseClaim(open, monotonicNow())) {
        return failure;
    }
    if (open.service != m_options.service) {
        return Failure {ErrorKind::NoBackendServer,
                        "the backend server belongs to another service"};
    }
    const bool isModel = m_options.service.isEmpty();
    if (isModel && (!m_serving.contains(open.manifest) || m_released.contains(open.manifest))) {
        return Failure {ErrorKind::NoBackendServer, "the engine does not serve this version"};
    }
    return std::nullopt;
}

/**
 * Checks the claim of a request. An entry that was paused between making the claim and sending the
 * attempt may hold a claim that has expired from the log meanwhile, so old claims are rejected.
 */
std::optional<Failure> Gate::reasonToRefuseClaim(const OpenMessage &open, Instant now) const
{
    if (open.claimKey.empty()) {
        return std::nullopt;
    }
    if (open.claim.value == 0) {
        return Failure {ErrorKind::NoBackendServer, "the claim has no log offset"};
    }
    if (open.stamp.clock > now || now - open.stamp.clock > m_options.claimLimit) {
        return Failure {ErrorKind::NoBackendServer,
                        "the claim's timestamp is too old or lies in the future"};
    }
    return std::nullopt;
}

void Gate::refuse(const StartAttempt &command, const Failure &failure, Ran ran)
{
    m_metrics->count("attempts_refused_total", "Attempts that the agent rejected",
                     {{"kind", std::string(answerFor(failure.kind).name)}});
    m_log.debug("attempt.refused",
                {{"request", command.open.request.text()},
                 {"attempt", command.open.attempt.text()},
                 {"reason", failure.detail}});
    command.link.post(command.stream, FailedMessage {failure, ran});
}

void Gate::answerReleases()
{
    std::erase_if(m_waitingReleases, [this](const ReleaseVersion &waiting) {
        if (m_runningByManifest.contains(waiting.manifest)) {
            return false;
        }
        waiting.reply->post(Released {});
        return true;
    });
    if (m_ledger.running() > 0) {
        return;
    }
    for (const DrainGate &waiting : m_waitingDrains) {
        waiting.reply->post(Released {});
    }
    m_waitingDrains.clear();
}

void Gate::publish()
{
    m_metrics->set("attempts_running", "Attempts in progress", m_ledger.running());
    m_observer({m_ledger.running(), m_isDraining});
}

} // namespace greengageseam
