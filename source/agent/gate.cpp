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
/** A body is held by its attempt, and by the request to the backend server. */
constexpr std::size_t bodyCopies = 2;
/** Bytes of a response that are sent at most before the entry has read them. */
constexpr std::size_t maxWindowBytes = 128UL * 1024;

} // namespace

Gate::Gate(const asio::any_io_executor &executor, GateOptions options, ProcessBudgetPtr budget,
           GateObserver observer, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_options(std::move(options)), m_budget(std::move(budget)),
      m_observer(std::move(observer)), m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<GateCommand>(executor, mailboxCapacity)),
      m_attempts(m_options.attempts),
      m_claimedRequests(AttemptRegistryOptions()
                                .withRetention(m_options.keyRetention)
                                .withCapacity(m_options.maxKeys)),
      m_holder(m_budget->add([] { }))
{
    // Closing it is not possible: its requests may be running.
    m_budget->setPhase(m_holder, HolderPhase::Serving);
}

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
    if (const std::optional<Failure> failure = rejectionReason(open)) {
        reject(command, *failure, ExecutionStatus::NotExecuted);
        return;
    }
    HeldBytesPtr held = holdBytesOf(open);
    if (!held && rejectForRoom(command)) {
        return;
    }
    switch (admit(open, monotonicNow())) {
    case StartResult::Start:
        startAttempt(command, std::move(held));
        return;
    case StartResult::Cancelled:
        reject(command, {ErrorKind::DuplicateAttempt, "the attempt was cancelled"},
               ExecutionStatus::NotExecuted);
        return;
    case StartResult::TooOld:
        reject(command, {ErrorKind::NoBackendServer, "the attempt is too old"},
               ExecutionStatus::NotExecuted);
        return;
    case StartResult::AlreadySeen:
        break;
    }
    reject(command,
           {ErrorKind::DuplicateAttempt, "the attempt or its claimed request was already started"},
           ExecutionStatus::Unknown);
}

/**
 * Registers an attempt. A claimed request starts only if neither its attempt nor its key was seen
 * before.
 */
StartResult Gate::admit(const OpenMessage &open, Instant now)
{
    const AttemptId key(open.claimKey);
    const StartResult verdict = m_attempts.start(open.attempt, open.stamp.clock, now);
    if (verdict != StartResult::Start || key.isEmpty()) {
        return verdict;
    }
    const StartResult keyVerdict = m_claimedRequests.start(key, open.stamp.clock, now);
    if (keyVerdict == StartResult::Start) {
        m_claimedRequests.finish(key, now);
    } else {
        m_attempts.finish(open.attempt, now);
    }
    return keyVerdict;
}

HeldBytesPtr Gate::holdBytesOf(const OpenMessage &open)
{
    const auto window = static_cast<std::size_t>(std::max<std::int64_t>(open.window, 0));
    const std::size_t bytes = bodyCopies * open.body.size() + std::min(window, maxWindowBytes)
            + m_options.attemptBytes;
    const auto held = std::make_shared<HeldBytes>(m_budget, m_holder);
    return held->resize(bytes) ? held : nullptr;
}

bool Gate::rejectForRoom(const StartAttempt &command)
{
    const OpenMessage &open = command.open;
    const AttemptId key(open.claimKey);
    if (!key.isEmpty() && m_claimedRequests.isTracked(key)) {
        return false;
    }
    const AttemptPhase phase = m_attempts.cancel(open.attempt, open.stamp.clock, monotonicNow());
    if (phase != AttemptPhase::Unseen) {
        return false;
    }
    reject(command, {ErrorKind::Overloaded, "the agent holds too much for its entries"},
           ExecutionStatus::NotExecuted);
    return true;
}

void Gate::startAttempt(const StartAttempt &command, HeldBytesPtr held)
{
    const OpenMessage &open = command.open;
    ++m_runningByManifest[open.manifest];
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    m_running.emplace(open.attempt, RunningAttempt {events, std::move(held)});
    command.link.subscribe(command.stream, events);
    auto onEnded = [mailbox = m_mailbox, attempt = open.attempt,
                    manifest = open.manifest]() -> Awaitable<void> {
        GateCommand command = AttemptEnded {attempt, manifest};
        co_await mailbox->send(std::move(command));
    };
    const AttemptTarget target {m_options.backendAddress, m_options.service};
    std::make_shared<Attempt>(m_executor, target, open, command.link, command.stream, events,
                              std::move(onEnded), m_log)
            ->start();
    publishStatus();
}

void Gate::apply(const CancelAttempt &command)
{
    const CancelMessage &cancel = command.cancel;
    ExecutionStatus executionStatus = ExecutionStatus::Unknown;
    if (cancel.stamp.startedAt == m_options.startedAt) {
        const AttemptPhase phase =
                m_attempts.cancel(cancel.attempt, cancel.stamp.clock, monotonicNow());
        const bool neverExecuted =
                phase == AttemptPhase::Unseen || phase == AttemptPhase::Tombstone;
        executionStatus = neverExecuted ? ExecutionStatus::NotExecuted : ExecutionStatus::Unknown;
    }
    const auto it = m_running.find(cancel.attempt);
    if (it != m_running.end()) {
        it->second.events->post(StreamEvent(Message(cancel)));
    }
    command.link.post(command.stream, CancelAckMessage {executionStatus});
}

void Gate::apply(const AttemptEnded &command)
{
    m_attempts.finish(command.attempt, monotonicNow());
    m_running.erase(command.attempt);
    const auto it = m_runningByManifest.find(command.manifest);
    if (it != m_runningByManifest.end() && --it->second == 0) {
        m_runningByManifest.erase(it);
    }
    completeReleases();
    publishStatus();
}

void Gate::apply(const EngineStateReceived &command)
{
    m_servedVersions = std::set<Digest>(command.state.serving.begin(), command.state.serving.end());
}

void Gate::apply(const IncarnationUpdated &command)
{
    m_incarnation = command.number;
}

void Gate::apply(const ReleaseVersion &command)
{
    m_closedVersions.insert(command.manifest);
    m_pendingReleases.push_back(command);
    completeReleases();
}

void Gate::apply(const ReopenVersion &command)
{
    m_closedVersions.erase(command.manifest);
}

void Gate::apply(const DrainGate &command)
{
    m_isDraining = true;
    if (command.reply) {
        m_pendingDrains.push_back(command);
    }
    completeReleases();
    publishStatus();
}

void Gate::apply(const GateTick &)
{
    m_attempts.expire(monotonicNow());
    m_claimedRequests.expire(monotonicNow());
}

std::optional<Failure> Gate::rejectionReason(const OpenMessage &open) const
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
    if (std::optional<Failure> failure = claimRejectionReason(open, monotonicNow())) {
        return failure;
    }
    if (open.service != m_options.service) {
        return Failure {ErrorKind::NoBackendServer,
                        "the backend server belongs to another service"};
    }
    const bool isModel = m_options.service.isEmpty();
    if (isModel
        && (!m_servedVersions.contains(open.manifest)
            || m_closedVersions.contains(open.manifest))) {
        return Failure {ErrorKind::NoBackendServer, "the engine does not serve this version"};
    }
    return std::nullopt;
}

/**
 * Checks the claim of a request. An entry that was paused between making the claim and sending the
 * attempt may hold a claim that has expired from the log meanwhile, so old claims are rejected.
 */
std::optional<Failure> Gate::claimRejectionReason(const OpenMessage &open, Instant now) const
{
    if (open.claimKey.empty()) {
        return std::nullopt;
    }
    if (open.claimOffset.value == 0) {
        return Failure {ErrorKind::NoBackendServer, "the claim has no log offset"};
    }
    if (open.stamp.clock > now || now - open.stamp.clock > m_options.maxClaimAge) {
        return Failure {ErrorKind::NoBackendServer,
                        "the claim's timestamp is too old or lies in the future"};
    }
    return std::nullopt;
}

void Gate::reject(const StartAttempt &command, const Failure &failure,
                  ExecutionStatus executionStatus)
{
    m_metrics->count("attempts_refused_total", "Attempts that the agent rejected",
                     {{"kind", std::string(descriptorFor(failure.kind).name)}});
    m_log.debug("attempt.refused",
                {{"request", command.open.request.text()},
                 {"attempt", command.open.attempt.text()},
                 {"reason", failure.detail}});
    command.link.post(command.stream, FailedMessage {failure, executionStatus});
}

void Gate::completeReleases()
{
    std::erase_if(m_pendingReleases, [this](const ReleaseVersion &pending) {
        if (m_runningByManifest.contains(pending.manifest)) {
            return false;
        }
        pending.reply->post(Released {});
        return true;
    });
    if (m_attempts.runningCount() > 0) {
        return;
    }
    for (const DrainGate &pending : m_pendingDrains) {
        pending.reply->post(Released {});
    }
    m_pendingDrains.clear();
}

void Gate::publishStatus()
{
    m_metrics->set("attempts_running", "Attempts in progress", m_attempts.runningCount());
    m_observer({m_attempts.runningCount(), m_isDraining});
}

} // namespace greengageseam
