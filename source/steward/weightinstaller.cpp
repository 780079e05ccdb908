#include "steward/weightinstaller.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto retryAfterFailure = std::chrono::milliseconds(250);
/** Time after which an order without visible effect is sent again. */
constexpr auto orderPatience = std::chrono::milliseconds(1500);
constexpr std::array<std::string_view, 6> stageNames {"idle",    "staging",  "staged",
                                                      "leaving", "ordering", "ordered"};

std::string_view nameOf(std::size_t stage)
{
    return stageNames.at(stage);
}

} // namespace

WeightInstaller::WeightInstaller(const asio::any_io_executor &executor, InstallerOptions options,
                                 ReplicaHooks replica, MailboxPtr<WeightCommand> weights,
                                 ReadReplicas readReplicas, TellLeaving tellLeaving, Log log)
    : m_executor(executor), m_options(std::move(options)), m_replica(std::move(replica)),
      m_weights(std::move(weights)), m_readReplicas(std::move(readReplicas)),
      m_tellLeaving(std::move(tellLeaving)), m_log(std::move(log)),
      m_mailbox(makeMailbox<InstallerCommand>(executor, mailboxCapacity))
{ }

void WeightInstaller::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(InstallerTick {});
        return mailbox->isOpen();
    });
}

Awaitable<void> WeightInstaller::run()
{
    while (std::optional<InstallerCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void WeightInstaller::apply(const InstallerNamed &command)
{
    const bool isNew = m_named.emplace(command.version, command.at).second;
    if (isNew) {
        asio::co_spawn(
                m_executor, [self = shared_from_this()] { return self->askMembers(); },
                asio::detached);
    }
}

Awaitable<void> WeightInstaller::askMembers()
{
    const Outcome<std::vector<ReplicaEntry>> read = co_await m_readReplicas();
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("weights.members-unknown", {{"reason", failure->detail}});
        co_return;
    }
    InstallerMembers known;
    for (const ReplicaEntry &entry : std::get<std::vector<ReplicaEntry>>(read)) {
        if (entry.service == m_options.service) {
            known.members.push_back(agentBeside(entry.address));
        }
    }
    InstallerCommand command = std::move(known);
    co_await m_mailbox->send(std::move(command));
}

void WeightInstaller::apply(const InstallerMembers &command)
{
    m_members = command.members;
}

void WeightInstaller::apply(const InstallerMayCut &command)
{
    m_mayCut = command.mayCut;
}

void WeightInstaller::apply(const HeldVersion &command)
{
    if (!m_held || m_held->version < command.version) {
        m_held = command;
    }
    advance();
}

void WeightInstaller::apply(const InstallerReport &command)
{
    const bool isRestart = m_report && command.report.bornMs != m_report->bornMs;
    m_report = command.report;
    if (isRestart) {
        m_log.info("replica.restarted", {{"born", m_report->bornMs}});
        restart("the backend server has restarted");
    }
    advance();
}

void WeightInstaller::apply(const InstallerStepDone &command)
{
    if (command.step != m_step) {
        return;
    }
    if (const Failure *failure = failureOf(command.result)) {
        m_log.warning("weights.step-failed",
                      {{"version", m_version},
                       {"stage", nameOf(static_cast<std::size_t>(m_stage))},
                       {"reason", failure->detail}});
        restart(failure->detail);
        m_notBefore = monotonicNow() + retryAfterFailure;
        return;
    }
    enter(m_stage == Stage::Staging ? Stage::Staged : Stage::Ordered);
    advance();
}

void WeightInstaller::apply(const InstallerTick &)
{
    advance();
}

void WeightInstaller::enter(Stage stage)
{
    m_stage = stage;
    m_stageSince = monotonicNow();
    m_log.info("weights.stage",
               {{"version", m_version}, {"stage", nameOf(static_cast<std::size_t>(stage))}});
    tellLeaving();
}

void WeightInstaller::tellLeaving()
{
    const bool isLeaving =
            m_stage == Stage::Leaving || m_stage == Stage::Ordering || m_stage == Stage::Ordered;
    if (isLeaving != m_isLeaving) {
        m_isLeaving = isLeaving;
        m_tellLeaving(isLeaving);
    }
}

void WeightInstaller::restart(std::string_view reason)
{
    if (m_stage != Stage::Idle) {
        m_log.info("weights.restart", {{"version", m_version}, {"reason", reason}});
    }
    ++m_step;
    m_stage = Stage::Idle;
    tellLeaving();
}

/** Starts the next step if its conditions are met. */
void WeightInstaller::advance()
{
    const Instant now = monotonicNow();
    if (!m_report || !m_held || now < m_notBefore) {
        return;
    }
    const std::uint64_t loaded = m_report->loaded.wholeVersion();
    if (m_stage == Stage::Ordered && loaded == m_version && !m_report->isOrderBusy) {
        m_log.info("weights.loaded", {{"version", m_version}});
        restart("done");
    }
    if (loaded >= m_held->version) {
        return;
    }
    const bool isReplaceable =
            m_stage == Stage::Staging || m_stage == Stage::Staged || m_stage == Stage::Leaving;
    if (m_version != m_held->version && (isReplaceable || m_stage == Stage::Idle)) {
        restart("a newer version is complete");
        m_version = m_held->version;
    }
    switch (m_stage) {
    case Stage::Idle:
        begin(Stage::Staging);
        break;
    case Stage::Staged:
        if (!m_report->isOrderBusy && isTurn(now)) {
            leaveOrLoad(now);
        }
        break;
    case Stage::Leaving:
        leaveOrLoad(now);
        break;
    case Stage::Ordered:
        if (!m_report->isOrderBusy && now - m_stageSince > orderPatience) {
            restart("the order to load had no visible effect in time");
        }
        break;
    default:
        break;
    }
}

/**
 * Drains the backend server before the order to load. Entries stop sending requests to it first, so
 * that only requests already in progress can be cut off. An empty backend server is not drained.
 */
void WeightInstaller::leaveOrLoad(Instant now)
{
    const bool isEmpty = m_report->loaded.wholeVersion() == 0;
    if (!isEmpty && m_stage == Stage::Staged) {
        enter(Stage::Leaving);
        return;
    }
    const Duration since = now - m_stageSince;
    if (isEmpty || isLoadDue(*m_report, since, m_mayCut, m_options.rollout)) {
        begin(Stage::Ordering);
    }
}

/**
 * Returns whether the rollout slot of the backend server is reached. An empty backend server serves
 * no requests, so it loads at once. For all others, the slot is relative to the time at which the
 * oldest version that they have not loaded was named, since its time limit expires first.
 */
bool WeightInstaller::isTurn(Instant now) const
{
    const std::uint64_t loaded = m_report->loaded.wholeVersion();
    const auto oldest = m_named.upper_bound(loaded);
    if (loaded == 0 || oldest == m_named.end()) {
        return true;
    }
    const Duration turn = rolloutTurn(m_members, m_options.self, m_version, m_options.rollout);
    return now >= oldest->second + turn;
}

void WeightInstaller::begin(Stage stage)
{
    enter(stage);
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), step = ++m_step, version = *m_held, stage] {
                return stage == Stage::Staging ? self->stage(step, version)
                                               : self->order(step, version);
            },
            asio::detached);
}

Awaitable<void> WeightInstaller::finish(std::uint64_t step, Settled result)
{
    InstallerCommand done = InstallerStepDone {step, std::move(result)};
    co_await m_mailbox->send(std::move(done));
}

Awaitable<void> WeightInstaller::stage(std::uint64_t step, HeldVersion version)
{
    Settled result = std::monostate();
    std::uint32_t number = 0;
    for (const Chunk &chunk : version.manifest.chunks()) {
        if (step != m_step) {
            co_return;
        }
        result = co_await stageOne(version.model, number, chunk);
        if (failureOf(result) != nullptr) {
            break;
        }
        ++number;
    }
    co_await finish(step, std::move(result));
}

Awaitable<Settled> WeightInstaller::stageOne(ModelName model, std::uint32_t number, Chunk chunk)
{
    const auto reply = makeMailbox<Outcome<ChunkBytes>>(m_executor, 1);
    WeightCommand read = ChunkRead {chunk.digest, reply};
    co_await m_weights->send(std::move(read));
    const std::optional<Outcome<ChunkBytes>> bytes = co_await reply->receive();
    if (!bytes || failureOf(*bytes) != nullptr) {
        co_return Failure {ErrorKind::NotFound, "a chunk to stage is no longer stored"};
    }
    co_return co_await m_replica.stagePiece(model, number, std::get<ChunkBytes>(*bytes));
}

/** Reads back all staged pieces and verifies them. A corrupt piece is staged again and reread. */
Awaitable<Settled> WeightInstaller::verifyStaged(HeldVersion version)
{
    constexpr int tries = 3;
    std::uint32_t number = 0;
    for (const Chunk &chunk : version.manifest.chunks()) {
        bool isGood = false;
        for (int i = 0; i < tries && !isGood; ++i) {
            const Outcome<std::string> staged =
                    co_await m_replica.readStaged(version.model, number);
            isGood = failureOf(staged) == nullptr
                    && digestOf(std::get<std::string>(staged)) == chunk.digest;
            if (isGood) {
                break;
            }
            m_log.warning("weights.piece-corrupt",
                          {{"version", version.version}, {"piece", number}});
            const Settled mended = co_await stageOne(version.model, number, chunk);
            if (const Failure *failure = failureOf(mended)) {
                co_return *failure;
            }
        }
        if (!isGood) {
            co_return Failure {ErrorKind::CorruptData,
                               "a staged piece is still corrupt after it was staged again"};
        }
        ++number;
    }
    co_return std::monostate();
}

Awaitable<void> WeightInstaller::order(std::uint64_t step, HeldVersion version)
{
    Settled result = co_await verifyStaged(version);
    if (step != m_step) {
        co_return;
    }
    if (failureOf(result) == nullptr) {
        const LoadOrder order {version.model, version.version, m_mayCut};
        const Outcome<OrderAnswer> answer = co_await m_replica.giveOrder(order);
        const Failure *failure = failureOf(answer);
        const bool isUnfit =
                failure == nullptr && std::get<OrderAnswer>(answer) == OrderAnswer::Unfit;
        m_log.info("weights.ordered",
                   {{"version", version.version},
                    {"cuts", order.cutsRunning},
                    {"running", m_report->running},
                    {"outcome",
                     failure != nullptr ? failure->detail
                             : isUnfit  ? "unfit"
                                        : "accepted"}});
        // Without a response the order may have been accepted; a later report will show whether it
        // was.
        if (failure != nullptr && failure->kind != ErrorKind::OutcomeUnknown) {
            result = *failure;
        } else if (isUnfit) {
            result = Failure {ErrorKind::ChangeConflict,
                              "the order to load does not fit the state of the backend server"};
        }
    }
    co_await finish(step, std::move(result));
}

} // namespace greengageseam
