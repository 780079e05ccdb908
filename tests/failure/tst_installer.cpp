/**
 * Failure tests of the installer of weights: the staged pieces change between the check and the
 * moment at which the backend server accepts the order to load them.
 * labels: failure
 */
#include "core/common/hashing.h"
#include "net/clock.h"
#include "net/ticker.h"
#include "sidecar/weightinstaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <utility>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t pieces = 4;
constexpr std::uint64_t oldVersion = 2;
constexpr std::uint64_t newVersion = 3;
constexpr auto callTime = milliseconds(1);
/** Time after which the caller gives up an order without an answer. */
constexpr auto callTimeout = milliseconds(2000);
constexpr auto orderDelayAfterFreeze = milliseconds(2);
constexpr auto reportPeriod = milliseconds(50);
/** A piece that turned bad this shortly before the order was accepted cannot be noticed. */
constexpr auto unnoticedDecay = milliseconds(3000);

std::string pieceOf(std::uint64_t version, std::uint32_t number)
{
    return "version " + std::to_string(version) + " piece " + std::to_string(number);
}

CompleteVersion completeVersion(std::uint64_t version)
{
    std::vector<Chunk> chunks;
    for (std::uint32_t number = 0; number < pieces; ++number) {
        const std::string bytes = pieceOf(version, number);
        chunks.push_back({digestOf(bytes), bytes.size()});
    }
    return {ModelName("m"), version, Manifest(std::move(chunks))};
}

/** The staged pieces at the moment at which an order was accepted. */
struct AcceptedLoad
{
    std::uint64_t version = 0;
    std::vector<std::string> staged;
};

/** An installer beside a backend server without weights, whose calls follow a script. */
class InstallerFixture
{
protected:
    InstallerFixture()
        : m_log(LogLevel::Error, {}),
          m_weights(makeMailbox<WeightCommand>(m_context.get_executor(), 64)), m_staged(pieces)
    {
        ReplicaHooks replica;
        replica.sendOrder = [this](LoadOrder order) { return sendOrder(std::move(order)); };
        replica.stagePiece = [this](ModelName, std::uint32_t number,
                                    std::shared_ptr<const std::string> bytes) {
            return stagePiece(number, std::move(bytes));
        };
        replica.readStaged = [this](ModelName, std::uint32_t number) { return readStaged(number); };
        InstallerOptions options;
        options.service = ServiceName("pool");
        const auto executor = m_context.get_executor();
        m_installer = std::make_shared<WeightInstaller>(
                executor, options, replica, m_weights,
                []() -> Awaitable<Outcome<std::vector<ReplicaEntry>>> {
                    co_return std::vector<ReplicaEntry>();
                },
                [](bool) {}, m_log);
        m_installer->start();
        asio::co_spawn(executor, [this] { return serveChunks(); }, asio::detached);
        startTicker(executor, reportPeriod, [this] {
            if (!isFrozen()) {
                m_installer->mailbox()->post(InstallerReportReceived {m_report});
            }
            return true;
        });
        m_report.startedAtMs = 1;
    }

    void complete(std::uint64_t version) { m_installer->mailbox()->post(completeVersion(version)); }

    /** Restarts the backend server, whose staged pieces survive. */
    void restart()
    {
        ++m_report.startedAtMs;
        m_report.loaded = {};
    }

    void acceptOrder(std::uint64_t version)
    {
        m_loads.push_back({version, m_staged});
        for (std::uint32_t number = 0; number < pieces; ++number) {
            const bool isDecayFresh =
                    m_spoiltPiece == number && monotonicNow() - m_spoiltAt <= unnoticedDecay;
            if (isDecayFresh) {
                m_loads.back().staged[number] = pieceOf(version, number);
            }
        }
        m_report.loaded.version = version;
        ++m_report.acceptedOrders;
    }

    void runUntilLoaded(std::uint64_t version)
    {
        const Instant end = monotonicNow() + milliseconds(20000);
        while (m_report.loaded.version != version && monotonicNow() < end) {
            m_context.run_for(milliseconds(10));
        }
        REQUIRE(m_report.loaded.version == version);
    }

    void requireWholeLoads() const
    {
        for (const AcceptedLoad &load : m_loads) {
            for (std::uint32_t number = 0; number < pieces; ++number) {
                CAPTURE(load.version, number);
                REQUIRE(load.staged[number] == pieceOf(load.version, number));
            }
        }
    }

    Awaitable<void> pause(Duration time)
    {
        Timer timer(m_context.get_executor(), time);
        co_await timer.async_wait(asTuple);
    }

    asio::io_context m_context;
    Log m_log;
    MailboxPtr<WeightCommand> m_weights;
    std::shared_ptr<WeightInstaller> m_installer;
    std::vector<std::string> m_staged;
    ReplicaReport m_report;
    std::vector<AcceptedLoad> m_loads;
    std::optional<std::uint32_t> m_spoiltPiece;
    Instant m_spoiltAt;
    int m_reads = 0;
    /** The time that the read with this count, from 0, takes; the bytes are those at its end. */
    std::map<int, Duration> m_readTimes;
    /** The time after which the backend server stores a piece with these bytes for the first time.
     */
    std::map<std::string, Duration> m_putTimes;
    std::function<void(int read)> m_onRead = [](int) { };
    std::function<void(const std::string &bytes)> m_onStored = [](const std::string &) { };
    /** The backend server freezes for this time when the first order arrives. */
    Duration m_freezeAtOrder {};
    /** The first order never reaches the backend server, which the caller cannot know. */
    bool m_isFirstOrderLost = false;

private:
    Instant m_frozenUntil;

    Awaitable<void> serveChunks()
    {
        std::map<Digest, std::string> stored;
        for (const std::uint64_t version : {oldVersion, newVersion}) {
            for (std::uint32_t number = 0; number < pieces; ++number) {
                stored[digestOf(pieceOf(version, number))] = pieceOf(version, number);
            }
        }
        while (std::optional<WeightCommand> command = co_await m_weights->receive()) {
            const auto &query = std::get<ChunkQuery>(*command);
            query.reply->post(std::make_shared<const std::string>(stored.at(query.chunk)));
        }
    }

    Awaitable<VoidOutcome> stagePiece(std::uint32_t number,
                                      std::shared_ptr<const std::string> bytes)
    {
        const auto scripted = m_putTimes.find(*bytes);
        const Duration time = scripted == m_putTimes.end() ? callTime : scripted->second;
        m_putTimes.erase(*bytes);
        co_await pause(std::max<Duration>(time, m_frozenUntil - monotonicNow()));
        m_staged[number] = *bytes;
        m_onStored(*bytes);
        co_return std::monostate();
    }

    Awaitable<Outcome<std::string>> readStaged(std::uint32_t number)
    {
        const int read = m_reads++;
        m_onRead(read);
        const auto scripted = m_readTimes.find(read);
        const Duration time = scripted == m_readTimes.end() ? callTime : scripted->second;
        co_await pause(std::max<Duration>(time, m_frozenUntil - monotonicNow()));
        co_return m_staged[number];
    }

    bool isFrozen() const { return monotonicNow() < m_frozenUntil; }

    /** Handles an order that waited during the freeze, after the writes that waited as well. */
    Awaitable<void> acceptAfterFreeze(std::uint64_t version)
    {
        co_await pause(m_frozenUntil - monotonicNow() + orderDelayAfterFreeze);
        if (m_report.loaded.version != version) {
            acceptOrder(version);
        }
    }

    Awaitable<Outcome<OrderResult>> sendOrder(LoadOrder order)
    {
        if (m_freezeAtOrder > Duration() && m_frozenUntil == Instant()) {
            m_frozenUntil = monotonicNow() + m_freezeAtOrder;
        }
        if (isFrozen()) {
            asio::co_spawn(
                    m_context,
                    [this, version = order.version] { return acceptAfterFreeze(version); },
                    asio::detached);
            co_await pause(callTimeout);
            co_return Failure {ErrorKind::OutcomeUnknown, "no answer"};
        }
        if (std::exchange(m_isFirstOrderLost, false)) {
            co_return Failure {ErrorKind::OutcomeUnknown, "no answer"};
        }
        if (m_report.loaded.version == order.version) {
            co_return OrderResult::AlreadyInEffect;
        }
        acceptOrder(order.version);
        co_return OrderResult::Started;
    }
};

TEST_CASE_METHOD(InstallerFixture, "load_newerVersionFollowsALoad_takesPiecesOfOneVersion")
{
    complete(oldVersion);
    runUntilLoaded(oldVersion);
    complete(newVersion);
    runUntilLoaded(newVersion);
    requireWholeLoads();
}

// The check of an order abandoned by a restart must not put back pieces of the older version.
TEST_CASE_METHOD(InstallerFixture, "load_checkOfAnAbandonedOrderGoesOn_takesPiecesOfOneVersion")
{
    m_readTimes[1] = milliseconds(800);
    m_readTimes[5] = milliseconds(1500);
    m_onRead = [this](int read) {
        if (read == 1) {
            restart();
            complete(newVersion);
        }
    };
    complete(oldVersion);
    runUntilLoaded(newVersion);
    requireWholeLoads();
}

// An order without an answer may be accepted while the next version is being staged.
TEST_CASE_METHOD(InstallerFixture, "load_unansweredOrderIsAcceptedLate_takesPiecesOfOneVersion")
{
    m_freezeAtOrder = milliseconds(4500);
    m_onRead = [this](int read) {
        if (read == 0) {
            complete(newVersion);
        }
    };
    complete(oldVersion);
    runUntilLoaded(newVersion);
    requireWholeLoads();
}

// An order that was lost is repeated, also if a piece has turned bad, and then gives way to the
// next.
TEST_CASE_METHOD(InstallerFixture, "load_unansweredOrderIsLost_isRepeatedBeforeTheNextVersion")
{
    m_isFirstOrderLost = true;
    m_onRead = [this](int read) {
        if (read == pieces - 1) {
            complete(newVersion);
        }
        if (read == pieces) {
            m_staged[0] = "spoilt";
        }
    };
    complete(oldVersion);
    runUntilLoaded(newVersion);
    REQUIRE(m_loads.size() == 2);
    REQUIRE(m_loads.front().version == oldVersion);
    requireWholeLoads();
}

// A piece of an abandoned staging must not arrive after the check of the newer version.
TEST_CASE_METHOD(InstallerFixture, "load_pieceOfAnAbandonedStagingIsLate_takesPiecesOfOneVersion")
{
    m_putTimes[pieceOf(oldVersion, 1)] = milliseconds(800);
    m_readTimes[3] = milliseconds(1500);
    m_onStored = [this](const std::string &bytes) {
        if (bytes == pieceOf(oldVersion, 0)) {
            complete(newVersion);
        }
    };
    complete(oldVersion);
    runUntilLoaded(newVersion);
    requireWholeLoads();
}

// A check that lasts longer than a piece may be bad unnoticed must be made again.
TEST_CASE_METHOD(InstallerFixture, "load_pieceTurnsBadDuringALongCheck_takesIntactPieces")
{
    m_readTimes[1] = milliseconds(1200);
    m_readTimes[2] = milliseconds(1200);
    m_readTimes[3] = milliseconds(1200);
    m_onRead = [this](int read) {
        if (read == 1) {
            m_staged[0] = "spoilt";
            m_spoiltPiece = 0;
            m_spoiltAt = monotonicNow();
        }
    };
    complete(newVersion);
    runUntilLoaded(newVersion);
    requireWholeLoads();
}

} // namespace
} // namespace greengageseam
