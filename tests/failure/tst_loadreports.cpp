/**
 * Failure tests of the datagrams between entries and agents: what an agent tells entries that
 * cannot read the store.
 * labels: failure
 */
#include "edge/loadlistener.h"
#include "net/clock.h"
#include "sidecar/loadreporter.h"
#include "testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <list>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

const ModelName model("m");

/** Runs the reporter of an agent, and sends subscriptions to it as two entries do. */
class LoadReportsFixture
{
protected:
    /** An entry as far as the agent sees it. */
    struct EntryStandin
    {
        explicit EntryStandin(asio::io_context &context) : socket(context.get_executor()) { }

        DatagramSocket socket;
        std::vector<KnownTargetVersion> heard;
        std::vector<LoadReport> reports;
        /** Lists of entries received; the agent sends one last in its answer to a subscription. */
        std::size_t lists = 0;
    };

    /** An agent as far as an entry sees it; it counts the subscriptions. */
    struct AgentStandin
    {
        explicit AgentStandin(asio::io_context &context) : socket(context.get_executor()) { }

        DatagramSocket socket;
        int subscriptions = 0;
        /** Subscriptions that ask for the entries that the agent knows. */
        int questions = 0;
        /** The last subscription. */
        LoadSubscription subscription;
    };

    LoadReportsFixture() : m_log(LogLevel::Error, {}), m_first(m_context), m_second(m_context)
    {
        asio::ip::udp::socket probe(
                m_context, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_port = probe.local_endpoint().port();
        probe.close();
        LoadReporterHooks hooks;
        hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
        hooks.onTargetVersion = [this](const TargetVersion &named) { m_told.push_back(named); };
        m_agent = std::make_shared<LoadReporter>(m_context.get_executor(), ZoneName("a"),
                                                 ServiceName("pool"), hooks, m_log);
        REQUIRE(m_agent->start("127.0.0.1", m_port));
        listen(m_first, "127.0.0.2");
        listen(m_second, "127.0.0.3");
    }

    void listen(EntryStandin &entry, const std::string &ip)
    {
        REQUIRE(entry.socket.bind(ip, 0));
        asio::co_spawn(m_context, receive(entry), asio::detached);
    }

    /** Starts stand-ins of agents, each on an address of its own. @returns where they are */
    std::vector<AgentSite> startAgents(int n)
    {
        std::vector<AgentSite> sites;
        for (int i = 0; i < n; ++i) {
            const std::string ip = "127.0.1." + std::to_string(1 + i);
            AgentStandin &agent = m_agents.emplace_back(m_context);
            REQUIRE(agent.socket.bind(ip, m_port));
            asio::co_spawn(m_context, count(agent), asio::detached);
            sites.push_back({Address(ip + ":80"), ZoneName("a")});
        }
        return sites;
    }

    static Awaitable<void> count(AgentStandin &agent)
    {
        while (std::optional<ReceivedDatagram> received =
                       co_await agent.socket.receive(maxDatagramBytes)) {
            const auto read = toOutcome([&] { return decodeDatagram(received->bytes); });
            const auto *datagram = std::get_if<Datagram>(&read);
            const auto *wanted = datagram ? std::get_if<LoadSubscription>(datagram) : nullptr;
            agent.subscription = wanted != nullptr ? *wanted : agent.subscription;
            agent.subscriptions += wanted != nullptr ? 1 : 0;
            agent.questions += wanted != nullptr && wanted->wantsEntries ? 1 : 0;
        }
    }

    /** Starts the listener of an entry in zone a. */
    std::shared_ptr<LoadListener> startListener(LoadListenerHooks hooks)
    {
        const EntryLocation self {InstanceId("entry-1"), ZoneName("a"), "127.0.0.4"};
        auto listener = std::make_shared<LoadListener>(m_context.get_executor(), self, m_port,
                                                       std::move(hooks), m_log);
        REQUIRE(listener->start());
        return listener;
    }

    static Awaitable<void> receive(EntryStandin &entry)
    {
        while (std::optional<ReceivedDatagram> received =
                       co_await entry.socket.receive(maxDatagramBytes)) {
            const auto read = toOutcome([&] { return decodeDatagram(received->bytes); });
            const auto *datagram = std::get_if<Datagram>(&read);
            const auto *known = datagram ? std::get_if<KnownTargetVersions>(datagram) : nullptr;
            if (datagram != nullptr && std::holds_alternative<KnownEntries>(*datagram)) {
                ++entry.lists;
            }
            if (const auto *report = datagram ? std::get_if<LoadReport>(datagram) : nullptr) {
                entry.reports.push_back(*report);
            }
            if (known != nullptr) {
                entry.heard.insert(entry.heard.end(), known->versions.begin(),
                                   known->versions.end());
            }
        }
    }

    /**
     * Subscribes an entry that knows a version of the model, or none if it is 0, and waits for the
     * agent's answer.
     *
     * @param age how long ago the version was announced, by the entry's estimate
     */
    void subscribe(EntryStandin &entry, std::uint64_t version, Duration age = maxKnownVersionAge)
    {
        LoadSubscription subscription {InstanceId("e"), ZoneName("b"), 0, 0, {}};
        if (version != 0) {
            subscription.targetVersions.push_back({{model, version}, age});
        }
        const std::size_t lists = entry.lists;
        entry.socket.send(encodeDatagram(subscription),
                          {asio::ip::make_address("127.0.0.1"), m_port});
        REQUIRE(waitUntil([&] { return entry.lists > lists; }));
    }

    /**
     * Subscribes both entries, each under a name of its own in the agent's zone, and lets the agent
     * report a load to them.
     */
    void reportToBoth(std::uint32_t running)
    {
        int n = 0;
        for (EntryStandin *entry : {&m_first, &m_second}) {
            const InstanceId id("entry-" + std::to_string(n++));
            LoadSubscription subscription {id, ZoneName("a"), 0, 0};
            subscription.demands = {{ServiceName("pool"), 10, 0}};
            const std::size_t lists = entry->lists;
            entry->socket.send(encodeDatagram(subscription),
                               {asio::ip::make_address("127.0.0.1"), m_port});
            REQUIRE(waitUntil([&] { return entry->lists > lists; }));
        }
        LoadReport report;
        report.backend = Address("127.0.0.1:80");
        report.running = running;
        const std::size_t reports = m_first.reports.size() + m_second.reports.size();
        m_agent->mailbox()->post(report);
        REQUIRE(waitUntil(
                [&] { return m_first.reports.size() + m_second.reports.size() >= reports + 2; }));
    }

    /** The agent itself reads a version of the model. */
    void readVersion(std::uint64_t version, Instant since)
    {
        m_agent->mailbox()->post(TargetVersionKnown {{model, version}, since});
        m_context.restart();
        m_context.poll();
    }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, std::chrono::seconds(10));
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    asio::io_context m_context;
    Log m_log;
    std::uint16_t m_port = 0;
    EntryStandin m_first;
    EntryStandin m_second;
    std::vector<TargetVersion> m_told;
    std::shared_ptr<LoadReporter> m_agent;
    std::list<AgentStandin> m_agents;
};

TEST_CASE_METHOD(LoadReportsFixture, "agent_serverHasThreeFreeSlots_dividesThemAmongEntries")
{
    m_agent->mailbox()->post(SlotsChanged {8});
    reportToBoth(5);
    const std::uint32_t first = *m_first.reports.back().credits;
    const std::uint32_t second = *m_second.reports.back().credits;
    REQUIRE(first + second == 3);
    REQUIRE(first >= 1);
    REQUIRE(second >= 1);
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_slotsUnknown_handsOutNoCredits")
{
    reportToBoth(6);
    REQUIRE_FALSE(m_first.reports.back().credits);
    REQUIRE_FALSE(m_second.reports.back().credits);
}

// While a cold server was empty, its agent handed out a credit for each of its slots.
TEST_CASE_METHOD(LoadReportsFixture, "agent_serverIsCold_tellsEntriesAndLimitsCredits")
{
    constexpr std::uint32_t credited = 17;
    m_agent->mailbox()->post(SlotsChanged {64});
    m_agent->mailbox()->post(ColdStartRulesChanged {{std::chrono::seconds(20), 17, 30.5, true}});
    m_agent->mailbox()->post(ColdLeftMeasured {std::chrono::seconds(10)});
    reportToBoth(0);
    LoadReport empty;
    empty.backend = Address("127.0.0.1:80");
    // The subscriptions hold for 800 ms.
    for (int i = 0; i < 12; ++i) {
        m_agent->mailbox()->post(empty);
        runFor(milliseconds(50));
    }
    std::uint32_t sum = 0;
    for (const EntryStandin *entry : {&m_first, &m_second}) {
        for (const LoadReport &report : entry->reports) {
            sum += report.credits.value_or(0);
            REQUIRE(report.coldLeft.value_or(milliseconds(0)) > milliseconds(8000));
            REQUIRE(report.sentAt);
        }
    }
    REQUIRE(sum > 0);
    REQUIRE(sum <= credited);
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_toldOfTargetVersionByOneEntry_tellsAnother")
{
    subscribe(m_first, 2);
    subscribe(m_second, 1);
    REQUIRE(m_second.heard.size() == 1);
    REQUIRE(m_second.heard.front().targetVersion == TargetVersion {model, 2});
    REQUIRE(m_first.heard.empty());
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_targetVersionUnknownToEntry_isRepeatedUntilItIsKnown")
{
    subscribe(m_first, 2);
    subscribe(m_second, 0);
    subscribe(m_second, 0);
    REQUIRE(m_second.heard.size() == 2);
    subscribe(m_second, 2);
    subscribe(m_second, 3);
    REQUIRE(m_second.heard.size() == 2);
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_toldOfOlderTargetVersion_keepsTheNewerOne")
{
    subscribe(m_first, 3);
    subscribe(m_second, 2);
    readVersion(1, monotonicNow());
    subscribe(m_second, 0);
    REQUIRE(m_second.heard.size() == 2);
    REQUIRE(m_second.heard.back().targetVersion == TargetVersion {model, 3});
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_hasReadTargetVersionItself_tellsEntriesItsAge")
{
    const Instant since = monotonicNow() - milliseconds(4000);
    readVersion(2, since);
    subscribe(m_first, 0);
    REQUIRE(m_first.heard.size() == 1);
    REQUIRE(m_first.heard.front().age >= milliseconds(4000));
    REQUIRE(m_first.heard.front().age <= monotonicNow() - since);
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_readsThatKnownTargetVersionIsOld_tellsTheHigherAge")
{
    subscribe(m_first, 2);
    readVersion(2, monotonicNow() - std::chrono::hours(2));
    subscribe(m_second, 0);
    REQUIRE(m_second.heard.size() == 1);
    REQUIRE(m_second.heard.front().age == maxKnownVersionAge);
}

// An entry that heard of a version late must not keep its estimate if the agent knows better.
TEST_CASE_METHOD(LoadReportsFixture, "agent_entryTakesTargetVersionForNewer_tellsItsAge")
{
    readVersion(2, monotonicNow() - milliseconds(4000));
    subscribe(m_first, 2, milliseconds(1000));
    REQUIRE(m_first.heard.size() == 1);
    REQUIRE(m_first.heard.front().age >= milliseconds(4000));
    subscribe(m_first, 2, milliseconds(4100));
    REQUIRE(m_first.heard.size() == 1);
}

TEST_CASE_METHOD(LoadReportsFixture, "agent_entryDoesNotAskForOtherEntries_isNotSentThem")
{
    subscribe(m_first, 0);
    LoadSubscription subscription {InstanceId("f"), ZoneName("b"), 0, 0, {}};
    subscription.wantsEntries = false;
    m_second.socket.send(encodeDatagram(subscription),
                         {asio::ip::make_address("127.0.0.1"), m_port});
    runFor(milliseconds(300));
    m_agent->mailbox()->post(LoadReport());
    runFor(milliseconds(300));
    REQUIRE(m_second.lists == 0);
}

TEST_CASE_METHOD(LoadReportsFixture, "entry_agentKnowsNewerTargetVersion_hearsOfIt")
{
    std::vector<KnownTargetVersion> heard;
    LoadListenerHooks hooks;
    hooks.onReport = [](const LoadReport &) { };
    hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
    hooks.onTargetVersion = [&](const KnownTargetVersion &known) { heard.push_back(known); };
    const auto listener = startListener(hooks);
    subscribe(m_first, 2);
    listener->mailbox()->post(AgentsUpdated {{{Address("127.0.0.1:80"), ZoneName("a")}}});
    REQUIRE(waitUntil([&] { return !heard.empty(); }));
    REQUIRE(heard.front().targetVersion == TargetVersion {model, 2});
    listener->mailbox()->post(AnnounceTargetVersion {{model, 2}});
    runFor(milliseconds(100));
    const std::size_t count = heard.size();
    runFor(milliseconds(700));
    REQUIRE(heard.size() == count);
}

// While entries came and went, the lists that all agents sent to all entries filled the links.
TEST_CASE_METHOD(LoadReportsFixture, "entry_manyAgents_asksFewOfThemForOtherEntries")
{
    constexpr int agents = 24;
    constexpr int maxAskedAtOnce = 4;
    LoadListenerHooks hooks;
    hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
    const auto listener = startListener(hooks);
    listener->mailbox()->post(AgentsUpdated {startAgents(agents)});
    runFor(milliseconds(3000));
    int rounds = 0;
    int questions = 0;
    for (const AgentStandin &agent : m_agents) {
        rounds = std::max(rounds, agent.subscriptions);
        questions += agent.questions;
    }
    REQUIRE(rounds >= 5);
    REQUIRE(questions >= rounds);
    REQUIRE(questions <= rounds * maxAskedAtOnce);
}

// While backend servers were added one after the other, each of them had all agents asked again.
TEST_CASE_METHOD(LoadReportsFixture, "entry_agentsAreAddedOneByOne_asksOnlyTheNewOnes")
{
    LoadListenerHooks hooks;
    hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
    const auto listener = startListener(hooks);
    const std::vector<AgentSite> sites = startAgents(20);
    for (std::size_t n = 1; n <= sites.size(); ++n) {
        listener->mailbox()->post(
                AgentsUpdated {{sites.begin(), sites.begin() + static_cast<std::ptrdiff_t>(n)}});
        runFor(milliseconds(5));
    }
    REQUIRE(waitUntil([this] { return m_agents.back().subscriptions > 0; }));
    // Without regular subscriptions, the first agent is asked once.
    REQUIRE(m_agents.front().subscriptions < 10);
}

// An entry that no datagram reached took all others for gone, and read the store itself.
TEST_CASE_METHOD(LoadReportsFixture, "entry_hearsOfNoAgentForLong_keepsTheEntriesItKnows")
{
    std::vector<EntryLocation> known;
    LoadListenerHooks hooks;
    hooks.onEntriesChanged = [&known](const std::vector<EntryLocation> &entries) {
        known = entries;
    };
    const auto listener = startListener(hooks);
    listener->mailbox()->post(AgentsUpdated {startAgents(1)});
    const EntryLocation other {InstanceId("entry-2"), ZoneName("a"), "127.0.0.5"};
    m_agents.front().socket.send(encodeDatagram(KnownEntries {{other}}),
                                 {asio::ip::make_address("127.0.0.4"), m_port});
    REQUIRE(waitUntil([&known] { return known.size() == 2; }));
    runFor(milliseconds(2500));
    REQUIRE(known.size() == 2);
}

// A version that was lost within the entry must not look like one that is announced later.
TEST_CASE_METHOD(LoadReportsFixture, "subscription_versionWasLostBeforeItsDate_isToldWithTheView")
{
    LoadListenerHooks hooks;
    hooks.onReport = [](const LoadReport &) { };
    hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
    const auto listener = startListener(hooks);
    listener->mailbox()->post(AgentsUpdated {startAgents(1)});
    while (listener->mailbox()->post(DemandMeasured {})) { }
    const AnnounceTargetVersion announced {{model, 2}, monotonicNow()};
    listener->mailbox()->post(announced);
    runFor(milliseconds(100));
    listener->mailbox()->post(OperatorViewConfirmed {monotonicNow(), {announced}});
    const LoadSubscription &told = m_agents.front().subscription;
    REQUIRE(waitUntil([&] { return told.operatorViewAge.has_value(); }));
    REQUIRE(told.targetVersions.size() == 1);
}

} // namespace
} // namespace greengageseam
