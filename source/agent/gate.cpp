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
      m_claimedCalls(AttemptRegistryOptions()
                             .withRetention(m_options.rememberKeysFor)
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
        reject(command, *failure, ExecutionStatus::NotExecuted);
        return;
    }
    switch (admit(open, monotonicNow())) {
    case StartResult::Start:
        run(command);
        return;
    case StartResult::Cancelled:
        reject(command, {ErrorKind::DuplicateAttempt, "the attempt was cancelled"},
               ExecutionStatus::NotExecuted);
        return;
    case StartResult::TooOld:
        reject(command, {ErrorKind::NoBackendServer, "the attempt was made too long ago"},
               ExecutionStatus::NotExecuted);
        return;
    case StartResult::AlreadySeen:
        break;
    }
    reject(command, {ErrorKind::DuplicateAttempt, "the call has started before"},
           ExecutionStatus::Unknown);
}

/** A claimed call starts only if neither its attempt nor its key was seen before. */
StartResult Gate::admit(const OpenMessage &open, Instant now)
{
    const AttemptId key(open.claimKey);
    const StartResult verdict = m_ledger.start(open.attempt, open.stamp.clock, now);
    if (verdict != StartResult::Start || key.isEmpty()) {
        return verdict;
    }
    const StartResult keyVerdict = m_claimedCalls.start(key, open.stamp.clock, now);
    if (keyVerdict == StartResult::Start) {
        m_claimedCalls.finish(key, now);
    } else {
        m_ledger.finish(open.attempt, now);
    }
    return keyVerdict;
}

void Gate::run(const StartAttempt &command)
{
    const OpenMessage &open = command.open;
    ++m_runningByManifest[open.manifest];
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    m_events.emplace(open.attempt, events);
    command.link.subscribe(command.stream, events);
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
    ExecutionStatus ran = ExecutionStatus::Unknown;
    if (cancel.stamp.startedAt == m_options.startedAt) {
        const AttemptPhase phase =
                m_ledger.cancel(cancel.attempt, cancel.stamp.clock, monotonicNow());
        const bool neverRan = phase == AttemptPhase::Unseen || phase == AttemptPhase::Tombstone;
        ran = neverRan ? ExecutionStatus::NotExecuted : ExecutionStatus::Unknown;
    }
    const auto it = m_events.find(cancel.attempt);
    if (it != m_events.end()) {
        it->second->post(StreamEvent(Message(cancel)));
    }
    command.link.post(command.stream, CancelAckMessage {ran});
}

void Gate::apply(const AttemptEnded &command)
{
    m_ledger.finish(command.attempt, monotonicNow());
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
        return Failure {ErrorKind::Draining, "the backend server is leaving"};
    }
    if (open.incarnation.value != 0 && open.incarnation != m_incarnation) {
        return Failure {ErrorKind::NoBackendServer, "the attempt is meant for a predecessor"};
    }
    if (open.stamp.startedAt != m_options.startedAt) {
        return Failure {ErrorKind::NoBackendServer, "the attempt is meant for another process"};
    }
    if (std::optional<Failure> failure = reasonToRefuseClaim(open, monotonicNow())) {
        return failure;
    }
    if (open.service != m_options.service) {
        return Failure {ErrorKind::NoBackendServer, "the backend server is not this service"};
    }
    const bool isModel = m_options.service.isEmpty();
    if (isModel && (!m_serving.contains(open.manifest) || m_released.contains(open.manifest))) {
        return Failure {ErrorKind::NoBackendServer, "the engine does not serve this version"};
    }
    return std::nullopt;
}

/** The log may have forgotten a claim whose holder was paused before the hand-off. */
std::optional<Failure> Gate::reasonToRefuseClaim(const OpenMessage &open, Instant now) const
{
    if (open.claimKey.empty()) {
        return std::nullopt;
    }
    if (open.claimOffset.value == 0) {
        return Failure {ErrorKind::NoBackendServer, "the claim has no offset"};
    }
    if (open.stamp.clock > now || now - open.stamp.clock > m_options.claimLimit) {
        return Failure {ErrorKind::NoBackendServer, "the claim is too old"};
    }
    return std::nullopt;
}

void Gate::reject(const StartAttempt &command, const Failure &failure, ExecutionStatus ran)
{
    m_metrics->count("attempts_refused_total", "Attempts that the agent did not start",
                     {{"kind", std::string(descriptorFor(failure.kind).name)}});
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
    if (m_ledger.runningCount() > 0) {
        return;
    }
    for (const DrainGate &waiting : m_waitingDrains) {
        waiting.reply->post(Released {});
    }
    m_waitingDrains.clear();
}

void Gate::publish()
{
    m_metrics->set("attempts_running", "Attempts in progress", m_ledger.runningCount());
    m_observer({m_ledger.runningCount(), m_isDraining});
}

} // namespace greengageseam
