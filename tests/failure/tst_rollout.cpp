/**
 * Failure tests of the installer of weights: the list of backend servers, from which it takes its
 * turn in a rollout, cannot be read.
 * labels: failure
 */
#include "net/clock.h"
#include "sidecar/weightinstaller.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t newVersion = 2;

/** An installer whose backend server runs version 1 while version 2 is announced and complete. */
class RolloutFixture
{
protected:
    RolloutFixture() : m_log(LogLevel::Error, {})
    {
        m_rollout.firstStart = milliseconds(0);
        m_rollout.lastStart = milliseconds(4000);
    }

    static ReplicaEntry entry(int machine)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId("i-" + std::to_string(machine));
        entry.service = ServiceName("pool");
        entry.address = Address("10.0.0." + std::to_string(machine) + ":1");
        return entry;
    }

    /** The agents that the list names. */
    static std::vector<InstanceId> members()
    {
        std::vector<InstanceId> members;
        for (int machine = 1; machine <= machines; ++machine) {
            members.push_back(agentOfBackend(entry(machine).address));
        }
        return members;
    }

    /** @returns the agent whose turn comes last */
    InstanceId lastAgent() const
    {
        const auto turn = [this](const InstanceId &agent) {
            return rolloutDelay(members(), agent, newVersion, m_rollout);
        };
        const std::vector<InstanceId> agents = members();
        return *std::max_element(agents.begin(), agents.end(),
                                 [&](const auto &a, const auto &b) { return turn(a) < turn(b); });
    }

    /** Starts the installer of the last agent and announces the new version. */
    void start()
    {
        InstallerOptions options;
        options.self = lastAgent();
        options.service = ServiceName("pool");
        options.rollout = m_rollout;
        ReplicaHooks replica;
        replica.sendOrder = [](LoadOrder) -> Awaitable<Outcome<OrderResult>> {
            co_return OrderResult::Started;
        };
        const auto executor = m_context.get_executor();
        const auto installer = std::make_shared<WeightInstaller>(
                executor, options, replica, makeMailbox<WeightCommand>(executor, 1),
                [this] { return readReplicas(); },
                [this](bool isDraining) {
                    m_drainingAt = isDraining && !m_drainingAt ? monotonicNow() : m_drainingAt;
                },
                m_log);
        installer->start();
        ReplicaReport report;
        report.loaded.version = 1;
        m_announcedAt = monotonicNow();
        installer->mailbox()->post(InstallerTargetVersionChanged {newVersion, m_announcedAt});
        installer->mailbox()->post(InstallerReportReceived {report});
        installer->mailbox()->post(CompleteVersion {ModelName("m"), newVersion, Manifest()});
    }

    Awaitable<Outcome<std::vector<ReplicaEntry>>> readReplicas()
    {
        if (m_reads++ < m_failingReads) {
            co_return Failure {ErrorKind::PlatformUnavailable, "away"};
        }
        std::vector<ReplicaEntry> entries;
        for (int machine = 1; machine <= machines; ++machine) {
            entries.push_back(entry(machine));
        }
        co_return std::move(entries);
    }

    static constexpr int machines = 8;

    asio::io_context m_context;
    Log m_log;
    RolloutOptions m_rollout;
    int m_failingReads = 0;
    int m_reads = 0;
    Instant m_announcedAt;
    std::optional<Instant> m_drainingAt;
};

// One failed read of the list must not make an agent load first, together with all others.
TEST_CASE_METHOD(RolloutFixture, "installer_firstReadOfTheListFails_loadsInItsTurn")
{
    m_failingReads = 1;
    start();
    m_context.run_for(milliseconds(4500));
    REQUIRE(m_reads == 2);
    REQUIRE(m_drainingAt);
    const Duration turn = rolloutDelay(members(), lastAgent(), newVersion, m_rollout);
    REQUIRE(*m_drainingAt - m_announcedAt >= turn);
}

TEST_CASE_METHOD(RolloutFixture, "installer_listStaysUnreadable_doesNotLoadWithTheFirst")
{
    m_failingReads = 1000;
    start();
    m_context.run_for(milliseconds(4500));
    REQUIRE(m_drainingAt);
    REQUIRE(*m_drainingAt - m_announcedAt
            >= rolloutDelayWithoutMembers(lastAgent(), newVersion, m_rollout));
    REQUIRE(m_reads <= 10);
}

} // namespace
} // namespace greengageseam
