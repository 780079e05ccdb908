/**
 * Guards against a view of the store that is taken for newer than what it shows: a read that is
 * dated too late, a date that arrives without the value that it belongs to, and a view of another
 * process that has waited on its way.
 * labels: failure
 */
#include "edge/dispatcher.h"
#include "edge/storewatchers.h"
#include "net/clock.h"
#include "net/httpserver.h"
#include "platform/keyedstore.h"
#include "testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** How long a read asks the store to wait for records. */
constexpr auto readWait = milliseconds(600);
constexpr auto storeTimeout = std::chrono::seconds(2);
constexpr auto conditionTimeout = std::chrono::seconds(10);

/** Runs tasks in real time, with a store whose answers a test provides. */
class ViewDateFixture
{
protected:
    ViewDateFixture() : m_log(LogLevel::Error, {}) { }

    /** Serves the store. @returns the reader of one of its topics */
    TopicReader serveTopic(HttpHandler handler)
    {
        const ProcessBudgetPtr budget = makeUnlimitedBudget(m_log);
        m_server = std::make_shared<HttpServer>(m_context.get_executor(), HttpServerOptions(),
                                                budget, std::move(handler), m_log);
        const auto bound = toOutcome([&] { return m_server->listen(Address("127.0.0.1:0")); });
        m_server->start();
        const KeyedStore store(m_context.get_executor(), std::get<Address>(bound), storeTimeout);
        return store.topicReader("keyed.op");
    }

    /** @returns the result of a read */
    template <typename T>
    T resultOf(Awaitable<T> read)
    {
        std::optional<T> result;
        asio::co_spawn(m_context, std::move(read), [&result](const std::exception_ptr &, T value) {
            result = std::move(value);
        });
        REQUIRE(waitUntil([&] { return result.has_value(); }));
        return *result;
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    asio::io_context m_context;
    Log m_log;
    std::shared_ptr<HttpServer> m_server;
};

// An answer that was not held for as long as asked shows nothing of the time for which it
// travelled.
TEST_CASE_METHOD(ViewDateFixture, "read_answerIsSlowAndWasNotHeld_isDatedByItsSending")
{
    Instant readAt;
    const TopicReader reader = serveTopic([&](HttpExchange &exchange) -> Awaitable<void> {
        readAt = monotonicNow();
        HttpResponse response;
        response.body = std::string(16, '\0');
        Timer timer(m_context.get_executor(), readWait / 2);
        co_await timer.async_wait(asTuple);
        co_await exchange.respond(std::move(response));
    });
    const auto read = resultOf(reader.tail({}, readWait));
    REQUIRE(failureOf(read) == nullptr);
    REQUIRE(std::get<KeyedBatch>(read).completeAsOf <= readAt);
}

// A list that breaks off would look like one from which keys were removed.
TEST_CASE_METHOD(ViewDateFixture, "snapshot_pageIsEmptyBeforeTheLast_isNotComplete")
{
    const TopicReader reader = serveTopic([](HttpExchange &exchange) -> Awaitable<void> {
        HttpResponse response;
        response.body = R"({"items":[],"hasMore":true,"end":7})";
        co_await exchange.respond(std::move(response));
    });
    REQUIRE(failureOf(resultOf(reader.snapshot())) != nullptr);
}

/** An entry's dispatcher, and routes by version: version N has the routes /r1/ to /rN/. */
class DenialFixture : public ViewDateFixture
{
protected:
    DenialFixture()
    {
        DispatcherOptions options;
        options.bounds.configApply = std::chrono::seconds(2);
        m_dispatcher =
                std::make_shared<Dispatcher>(m_context.get_executor(), options, DispatcherHooks(),
                                             std::make_shared<Metrics>(), m_log);
    }

    static RouteTablePtr tableOf(std::uint64_t version)
    {
        FleetConfig config;
        config.version = version;
        for (std::uint64_t n = 1; n <= version; ++n) {
            Route route;
            route.host = "a.example";
            route.pathPrefix = "/r" + std::to_string(n) + "/";
            route.targets.push_back({ServiceName("p"), 1});
            config.routes.push_back(std::move(route));
        }
        return std::make_shared<const RouteTable>(std::move(config));
    }

    /** Fills the dispatcher's mailbox before its task has run. */
    void fillMailbox()
    {
        while (m_dispatcher->mailbox()->post(DispatchTick {})) { }
    }

    /** @returns why a request to the route of a version is not admitted; empty if it is */
    std::optional<ErrorKind> denial(std::uint64_t version)
    {
        const auto reply = makeMailbox<Outcome<Admission>>(m_context.get_executor(), 1);
        AdmissionQuery query;
        query.host = "a.example";
        query.target = "/r" + std::to_string(version) + "/x";
        query.reply = reply;
        m_dispatcher->mailbox()->post(std::move(query));
        const auto answer = resultOf(reply->receive());
        const Failure *failure = failureOf(*answer);
        return failure == nullptr ? std::nullopt : std::optional(failure->kind);
    }

    std::shared_ptr<Dispatcher> m_dispatcher;
};

// The table may be lost on its way to the dispatcher, but not its date without it.
TEST_CASE_METHOD(DenialFixture, "denial_tableWasLostBeforeItsDate_isNotGiven")
{
    const RouteTablePtr first = tableOf(1);
    const RouteTablePtr second = tableOf(2);
    m_dispatcher->mailbox()->post(RoutesChanged {first});
    m_dispatcher->mailbox()->post(RoutesConfirmed {first, monotonicNow()});
    fillMailbox();
    m_dispatcher->mailbox()->post(RoutesChanged {second});
    m_dispatcher->start();
    runFor(milliseconds(100));
    m_dispatcher->mailbox()->post(RoutesConfirmed {second, monotonicNow()});
    REQUIRE(denial(2) != ErrorKind::NotFound);
}

/** An entry that gets the list of backend servers from its peers, and reads it without them. */
class PeerListFixture : public ViewDateFixture
{
protected:
    void startWatcher()
    {
        TopicReader reader;
        reader.snapshot = []() -> Awaitable<Outcome<KeyedSnapshot>> {
            co_return KeyedSnapshot {{}, {}, monotonicNow()};
        };
        reader.tail = [this](TopicPosition from, Duration) -> Awaitable<Outcome<KeyedBatch>> {
            ++m_reads;
            co_return KeyedBatch {{}, from, false, monotonicNow()};
        };
        ReplicaWatcherHooks hooks;
        hooks.onChanged = [](const std::vector<ReplicaEntry> &) { };
        hooks.onDelta = [](const ReplicaListDelta &) { };
        hooks.onStoreRecovered = [] { };
        m_watcher = std::make_shared<ReplicaWatcher>(m_context.get_executor(), reader, hooks,
                                                     milliseconds(100), m_log);
        m_watcher->start();
        runFor(milliseconds(50));
        m_watcher->relyOnPeers(1);
    }

    std::shared_ptr<ReplicaWatcher> m_watcher;
    int m_reads = 0;
};

// A delta that has waited during a pause is as old as the pause, whatever age its sender gave it.
TEST_CASE_METHOD(PeerListFixture, "replicas_deltaWaitedDuringPause_listIsReadAtOnce")
{
    startWatcher();
    m_watcher->applyPeerDelta({{}, {}, {}, {}});
    runFor(milliseconds(300));
    std::this_thread::sleep_for(milliseconds(2000));
    m_reads = 0;
    m_watcher->applyPeerDelta({{}, {}, {}, {}});
    runFor(milliseconds(500));
    REQUIRE(m_reads > 0);
}

} // namespace
} // namespace greengageseam
