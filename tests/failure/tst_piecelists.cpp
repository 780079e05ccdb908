/**
 * Failure tests of piece lists: the origin sends a list that is not intact, and everything that
 * depends on it has to recover. Two processes of a zone exchange weights over loopback.
 * labels: failure
 */
#include "core/common/hashing.h"
#include "exchange/weightexchange.h"
#include "net/clock.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t pieceBytes = 1024;
constexpr std::uint32_t pieceCount = 8;
constexpr std::uint64_t targetVersion = 2;
const std::string entryIp = "127.0.3.1";
const std::string agentIp = "127.0.3.2";
/** Well within the time in which new weights must be loaded. */
constexpr auto patience = std::chrono::seconds(6);

/** The number of a piece and its version, repeated up to the size of a piece. */
std::string pieceBytesOf(std::uint64_t version, std::uint32_t number)
{
    std::string bytes = std::to_string(version) + "/" + std::to_string(number) + " ";
    bytes.resize(pieceBytes, 'w');
    return bytes;
}

/** An origin of weights that spoils the lists of which the test says so. */
class SimulatedOrigin
{
public:
    WeightOriginHooks hooks()
    {
        WeightOriginHooks hooks;
        hooks.readPieceList = [this](ModelName model,
                                     std::uint64_t version) -> Awaitable<Outcome<PieceList>> {
            PieceList list {std::move(model), version, pieceBytes, {}};
            for (std::uint32_t number = 0; number < pieceCount; ++number) {
                list.digests.push_back(digestOf(pieceBytesOf(version, number)));
            }
            if (++m_lists <= m_spoiltLists) {
                m_spoil(list);
            }
            co_return list;
        };
        hooks.readPiece = [](ModelName, std::uint64_t version,
                             std::uint32_t number) -> Awaitable<Outcome<std::string>> {
            co_return pieceBytesOf(version, number);
        };
        return hooks;
    }

    /** Spoils the next lists. */
    void spoilLists(int count, std::function<void(PieceList &list)> spoil)
    {
        m_spoiltLists = m_lists + count;
        m_spoil = std::move(spoil);
    }

    int lists() const { return m_lists; }

private:
    int m_lists = 0;
    int m_spoiltLists = 0;
    std::function<void(PieceList &list)> m_spoil;
};

/** The exchange of one process, and the versions that it has completed. */
class ExchangeNode
{
public:
    ExchangeNode(asio::io_context &context, SimulatedOrigin &origin, const std::string &ip,
                 std::uint16_t port, bool isEntry)
        : m_executor(context.get_executor())
    {
        ExchangeOptions options;
        options.fetcher.self = InstanceId(ip);
        options.fetcher.zone = ZoneName("a");
        options.fetcher.isSeeder = isEntry;
        options.fetcher.peerPort = port;
        options.secret = "secret";
        options.maxFetches = 4;
        m_exchange = std::make_shared<WeightExchange>(
                m_executor, options, [&origin](const Address &) { return origin.hooks(); },
                ReadStagedPiece(),
                [this](const CompleteVersion &completed) { m_completed = completed; },
                std::make_shared<Metrics>(), Log(LogLevel::Error, {}));
    }

    bool start()
    {
        return failureOf(toOutcome([this] { return startExchange(); })) == nullptr;
    }
    const MailboxPtr<FetcherCommand> &fetcher() const { return m_exchange->fetcher(); }
    const std::optional<CompleteVersion> &completed() const { return m_completed; }

private:
    Result<int> startExchange()
    {
        BOOST_LEAF_CHECK(m_exchange->start());
        return 0;
    }

    asio::any_io_executor m_executor;
    std::shared_ptr<WeightExchange> m_exchange;
    std::optional<CompleteVersion> m_completed;
};

/** An entry and an agent of one zone, whose backend server runs version 1. */
class PieceListFixture
{
protected:
    PieceListFixture()
    {
        for (std::uint16_t port = firstPort; port < firstPort + triedPorts; ++port) {
            m_entry = std::make_unique<ExchangeNode>(m_context, m_origin, entryIp, port, true);
            m_agent = std::make_unique<ExchangeNode>(m_context, m_origin, agentIp, port, false);
            if (m_entry->start() && m_agent->start()) {
                break;
            }
        }
    }

    /** Names the target version at both processes. */
    void nameVersion()
    {
        FleetConfig config;
        Service engines;
        engines.name = ServiceName("engines");
        engines.engine = EngineCosts {};
        engines.engine->model = ModelName("m");
        engines.engine->pieceCount = pieceCount;
        engines.engine->pieceBytes = pieceBytes;
        config.services[engines.name] = engines;
        Service origin;
        origin.name = ServiceName("origin");
        origin.origin = Address("127.0.0.1:1");
        config.services[origin.name] = origin;
        const auto table = std::make_shared<const RouteTable>(config);
        for (ExchangeNode *node : {m_entry.get(), m_agent.get()}) {
            node->fetcher()->post(FetcherConfigChanged {table});
            node->fetcher()->post(
                    FetcherEntriesChanged {{{InstanceId("e"), ZoneName("a"), entryIp}}});
            node->fetcher()->post(FetcherLoadedVersionsChanged {{1}});
            node->fetcher()->post(FetcherTargetVersionChanged {{ModelName("m"), targetVersion}});
        }
    }

    /** Runs the processes until both have completed a version. @returns false if not in time */
    bool waitForBoth()
    {
        const Instant end = monotonicNow() + patience;
        while (monotonicNow() < end && !(m_entry->completed() && m_agent->completed())) {
            m_context.restart();
            m_context.run_for(milliseconds(5));
        }
        return m_entry->completed() && m_agent->completed();
    }

    static bool isIntact(const CompleteVersion &completed)
    {
        std::vector<Chunk> chunks;
        for (std::uint32_t number = 0; number < pieceCount; ++number) {
            chunks.push_back({digestOf(pieceBytesOf(completed.version, number)), pieceBytes});
        }
        return completed.manifest == Manifest(chunks);
    }

    static constexpr std::uint16_t firstPort = 21'700;
    static constexpr std::uint16_t triedPorts = 50;
    asio::io_context m_context;
    SimulatedOrigin m_origin;
    std::unique_ptr<ExchangeNode> m_entry;
    std::unique_ptr<ExchangeNode> m_agent;
};

/** Changes one digit of a digest, so that no piece matches it. */
void changeDigit(PieceList &list)
{
    std::string text = list.digests[3].text();
    text[20] = text[20] == '0' ? '1' : '0';
    list.digests[3] = Digest(text);
}

TEST_CASE_METHOD(PieceListFixture, "pieceList_originIsSound_isReadOnce")
{
    nameVersion();
    REQUIRE(waitForBoth());
    REQUIRE(isIntact(*m_entry->completed()));
    REQUIRE(m_origin.lists() == 1);
}

// Spoilt lists must not keep new weights from a zone for good (review case 1).
TEST_CASE_METHOD(PieceListFixture, "pieceList_digitWasSpoiltTwice_versionStillCompletesEverywhere")
{
    m_origin.spoilLists(2, changeDigit);
    nameVersion();
    REQUIRE(waitForBoth());
    REQUIRE(isIntact(*m_entry->completed()));
    REQUIRE(isIntact(*m_agent->completed()));
}

// A list of another version, or with fewer pieces, must not be taken for that of the target
// version.
TEST_CASE_METHOD(PieceListFixture, "pieceList_fieldsWereSpoilt_isReadAgain")
{
    const std::vector<std::function<void(PieceList & list)>> spoils {
            [](PieceList &list) { list.model = ModelName("n"); },
            [](PieceList &list) { list.version = targetVersion + 1; },
            [](PieceList &list) { list.pieceBytes = pieceBytes + 1; },
            [](PieceList &list) { list.digests.pop_back(); },
            [](PieceList &list) { list.digests[0] = Digest("00"); },
    };
    const std::size_t n = GENERATE(0, 1, 2, 3, 4);
    m_origin.spoilLists(1, spoils[n]);
    nameVersion();
    REQUIRE(waitForBoth());
    REQUIRE(isIntact(*m_entry->completed()));
    REQUIRE(isIntact(*m_agent->completed()));
}

} // namespace
} // namespace greengageseam
