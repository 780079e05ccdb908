/**
 * Guards against deadlines that stand still while the machine is suspended.
 * labels: failure
 *
 * The program replaces clock_gettime() of the C library, so that a test can play a suspension: the
 * clocks that count suspended time move on, CLOCK_MONOTONIC does not.
 */
#include "net/clock.h"
#include "net/httpconnection.h"
#include "net/mailbox.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

/** Total time for which the machine was suspended. */
std::chrono::seconds suspendedTime {0};

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME) {
        time->tv_sec += suspendedTime.count();
    }
    return result;
}

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SuspensionFixture
{
protected:
    SuspensionFixture() : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        suspendedTime = seconds(0);
        startTicker(m_context.get_executor(), milliseconds(20), [] { return true; });
    }

    /** Runs the tasks until all that they do at present waits for time or bytes. */
    void runFor(Duration time) { m_context.run_for(time); }

    /** Runs the tasks for at most two seconds. @returns whether they set @p isDone */
    bool runUntil(const bool &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(2);
        while (!isDone && std::chrono::steady_clock::now() < end) {
            m_context.run_for(milliseconds(20));
        }
        return isDone;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

TEST_CASE_METHOD(SuspensionFixture, "monotonicNow_machineWasSuspended_countsThatTime")
{
    const Instant before = monotonicNow();
    suspendedTime = seconds(10);
    REQUIRE(monotonicNow() - before >= seconds(10));
}

TEST_CASE_METHOD(SuspensionFixture, "mailbox_timeoutPassesWhileSuspended_endsTheWaitOnceItRuns")
{
    const auto mailbox = makeMailbox<int>(m_context.get_executor(), 1);
    bool isDone = false;
    asio::co_spawn(
            m_context,
            [&]() -> Awaitable<void> {
                co_await mailbox->receiveWithin(seconds(10));
                isDone = true;
            },
            asio::detached);
    runFor(milliseconds(50));
    REQUIRE_FALSE(isDone);
    suspendedTime = seconds(10);
    REQUIRE(runUntil(isDone));
}

TEST_CASE_METHOD(SuspensionFixture, "connection_deadlinePassesWhileSuspended_timesOutOnceItRuns")
{
    const auto connection = std::make_shared<HttpConnection>(m_context.get_executor());
    HttpIoStatus status = HttpIoStatus::Done;
    bool isDone = false;
    asio::co_spawn(
            m_context,
            [&]() -> Awaitable<void> {
                co_await connection->connect(m_acceptor.local_endpoint(), seconds(10));
                const auto head = co_await connection->readHead(false, seconds(10));
                status = head.ioStatus;
                isDone = true;
            },
            asio::detached);
    runFor(milliseconds(50));
    REQUIRE_FALSE(isDone);
    suspendedTime = seconds(10);
    REQUIRE(runUntil(isDone));
    REQUIRE(status == HttpIoStatus::TimedOut);
}

} // namespace
} // namespace greengageseam
