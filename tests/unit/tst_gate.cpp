/**
 * Tests of the gate of an agent whose process has no room for further requests.
 */
#include "agent/gate.h"
#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

constexpr std::size_t budgetBytes = 1024UL * 1024;
constexpr std::size_t linkCapacity = 16;
constexpr StreamId stream = 1;

/** A gate behind a link that only collects messages, with a budget that another holder uses up. */
class FullGateFixture
{
protected:
    FullGateFixture()
        : m_budget(
                  std::make_shared<ProcessBudget>(BudgetLimits {budgetBytes, 0}, m_metrics, m_log)),
          m_commands(makeMailbox<LinkCommand>(m_context.get_executor(), linkCapacity)),
          m_link(HelloMessage(), m_commands, 0), m_startedAt(wallNow()),
          m_other(m_budget->add([] { }))
    {
        GateOptions options;
        options.backendAddress = Address("127.0.0.1:1");
        options.service = ServiceName("desk");
        options.startedAt = m_startedAt;
        m_gate = std::make_shared<Gate>(
                m_context.get_executor(), options, m_budget,
                [this](const GateStatus &status) {
                    m_mostRunning = std::max(m_mostRunning, status.running);
                },
                m_metrics, m_log);
        m_gate->start();
        m_budget->setPhase(m_other, HolderPhase::Serving);
        REQUIRE(m_budget->hold(m_other, budgetBytes));
    }

    void makeRoom() { m_budget->remove(m_other); }

    /** Requests the start of an attempt. @returns the gate's rejection, if it sent one */
    std::optional<FailedMessage> start(const std::string &attempt, const std::string &claimKey = {})
    {
        OpenMessage open;
        open.attempt = AttemptId(attempt);
        open.service = ServiceName("desk");
        open.stamp = {m_startedAt, monotonicNow()};
        open.claimKey = claimKey;
        if (!claimKey.empty()) {
            open.claimOffset = Offset {1};
        }
        m_gate->mailbox()->post(StartAttempt {open, m_link, stream});
        m_context.poll();
        std::optional<FailedMessage> rejection;
        asio::co_spawn(m_context, lastRejection(rejection), asio::detached);
        m_context.poll();
        return rejection;
    }

    Awaitable<void> lastRejection(std::optional<FailedMessage> &rejection)
    {
        while (std::optional<LinkCommand> command = co_await m_commands->receive()) {
            const auto *sent = std::get_if<SendOnLink>(&*command);
            if (sent != nullptr && std::holds_alternative<FailedMessage>(sent->message.message)) {
                rejection = std::get<FailedMessage>(sent->message.message);
                co_return;
            }
        }
    }

    asio::io_context m_context;
    Log m_log {LogLevel::Error, {}};
    std::shared_ptr<Metrics> m_metrics = std::make_shared<Metrics>();
    ProcessBudgetPtr m_budget;
    MailboxPtr<LinkCommand> m_commands;
    PeerLinkHandle m_link;
    WallTime m_startedAt;
    HolderId m_other;
    std::shared_ptr<Gate> m_gate;
    std::uint32_t m_mostRunning = 0;
};

TEST_CASE_METHOD(FullGateFixture, "gate_noRoom_rejectsAsNotExecuted")
{
    const std::optional<FailedMessage> rejection = start("one");
    REQUIRE(rejection);
    REQUIRE(rejection->failure.kind == ErrorKind::Overloaded);
    REQUIRE(rejection->ran == ExecutionStatus::NotExecuted);
}

// Its entry was told that it has not run, so a copy that arrives later must not run either.
TEST_CASE_METHOD(FullGateFixture, "gate_attemptRejectedForRoomComesAgain_isNotStarted")
{
    REQUIRE(start("one"));
    makeRoom();
    const std::optional<FailedMessage> rejection = start("one");
    REQUIRE(rejection);
    REQUIRE(rejection->failure.kind == ErrorKind::DuplicateAttempt);
    REQUIRE(rejection->ran == ExecutionStatus::NotExecuted);
}

TEST_CASE_METHOD(FullGateFixture, "gate_roomAgain_nextAttemptIsStarted")
{
    REQUIRE(start("one"));
    makeRoom();
    REQUIRE(m_mostRunning == 0);
    start("two");
    REQUIRE(m_mostRunning == 1);
}

} // namespace
} // namespace greengageseam
