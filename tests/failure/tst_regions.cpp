/**
 * Failure tests of restricted regions and evacuated zones: requests stay where they are allowed
 * when servers fail, leave, or are evacuated, and when the configuration changes.
 * labels: platform
 */
#include "scriptedfleet.h"

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Time within which a rejection counts as immediate. */
constexpr auto immediately = milliseconds(150);

/** An entry in the zone a of the region north, with a server there and one in the zone b of south.
 */
class RegionsFixture : public ScriptedFleet
{
protected:
    RegionsFixture()
        : m_north(m_context.get_executor(), "i-n", m_log),
          m_south(m_context.get_executor(), "i-s", m_log)
    {
        m_settings.region = RegionName("north");
        m_settings.zoneRegions = {{ZoneName("a"), RegionName("north")},
                                  {ZoneName("b"), RegionName("south")}};
        configureRegions(1, R"(["north"])");
        listIn("a", "i-n", m_north.address());
        listIn("b", "i-s", m_south.address());
    }

    /** Writes a configuration with a free route /x/ and a restricted one /n/. */
    void configureRegions(int version, const std::string &allowed)
    {
        const std::string rest = R"("host":"a.example","routeKind":"idempotent","timeoutMs":3000,)"
                                 R"("targetLatencyMs":400,"service":"p","maxAttempts":2)";
        m_store.put("keyed.op", "config",
                    R"({"version":)" + std::to_string(version)
                            + R"(,"routes":[{"name":"x","pathPrefix":"/x/",)" + rest
                            + R"(},{"name":"n","pathPrefix":"/n/","allowedRegions":)" + allowed
                            + "," + rest + R"(}],"services":[{"name":"p"}],"tenants":[)"
                            + R"({"name":"ann","apiKeys":["key"]},{"name":"bob",)"
                            + R"("apiKeys":["bob"],"allowedRegions":["south"]}]})");
    }

    void listIn(const std::string &zone, const std::string &id, const Address &address)
    {
        m_store.put("keyed.servers", id,
                    R"({"service":"p","address":")" + address.text() + R"(","zone":")" + zone
                            + R"(","slots":8,"state":"ready","born":1})");
    }

    CallerResponse sendTo(const std::string &path, const std::string &key = "key")
    {
        const std::string id = std::to_string(++m_sent);
        return send(m_settings.frontAddress,
                    "POST " + path + "1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                            + "\r\nKey: " + key
                            + "\r\nRemaining-Time-Ms: 2500\r\nContent-Length: 0\r\n\r\n");
    }

    /** Sends requests that must all be answered with 200. */
    void sendAll(const std::string &path, int n, const std::string &key = "key")
    {
        for (int i = 0; i < n; ++i) {
            REQUIRE(sendTo(path, key).status == 200);
        }
    }

    void requireImmediateRejection(const std::string &path, const std::string &key = "key")
    {
        const Instant begin = monotonicNow();
        const CallerResponse response = sendTo(path, key);
        REQUIRE(response.status == 503);
        REQUIRE(response.head.header("Retry-After"));
        REQUIRE(monotonicNow() - begin < immediately);
    }

    void evacuate(const std::string &zone, bool isEvacuated = true)
    {
        const std::optional<std::string> value = isEvacuated ? std::optional("{}") : std::nullopt;
        m_store.put("keyed.op", "evacuate/" + zone, value);
        runFor(milliseconds(1000));
    }

    std::string metrics()
    {
        const Address address("127.0.0.1:" + std::to_string(m_settings.lastPort));
        return send(address, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body;
    }

    ReplicaStandin m_north;
    ReplicaStandin m_south;
    int m_sent = 0;
};

TEST_CASE_METHOD(RegionsFixture, "regions_serverOfTheRegionFails_noneElsewhereIsAsked")
{
    startEntry();
    sendAll("/n/", 20);
    const auto behaviour = GENERATE(ReplicaBehaviour::Rejects, ReplicaBehaviour::Fails,
                                    ReplicaBehaviour::BreaksBeforeAnswer, ReplicaBehaviour::Hangs);
    m_north.setBehaviour(behaviour);
    for (int i = 0; i < 4; ++i) {
        REQUIRE(sendTo("/n/").status >= 500);
    }
    REQUIRE(m_south.receivedRequests().empty());
}

TEST_CASE_METHOD(RegionsFixture, "regions_serverOfTheRegionIsGone_isRejectedAtOnce")
{
    startEntry();
    m_store.put("keyed.servers", "i-n", std::nullopt);
    runFor(milliseconds(1500));
    requireImmediateRejection("/n/");
    sendAll("/x/", 3);
    const std::string counted = "greengageseam_region_rejections_total 1";
    REQUIRE(metrics().find(counted) != std::string::npos);
}

TEST_CASE_METHOD(RegionsFixture, "regions_accountIsRestrictedToo_bothBind")
{
    startEntry();
    requireImmediateRejection("/n/", "bob");
    sendAll("/x/", 5, "bob");
    REQUIRE(m_north.receivedRequests().empty());
}

TEST_CASE_METHOD(RegionsFixture, "regions_regionOfAZoneIsUnknown_isNotAllowed")
{
    m_settings.zoneRegions.erase(ZoneName("b"));
    startEntry();
    requireImmediateRejection("/x/", "bob");
}

TEST_CASE_METHOD(RegionsFixture, "regions_configurationChanges_newRuleBinds")
{
    startEntry();
    sendAll("/n/", 3);
    configureRegions(2, R"(["south"])");
    runFor(milliseconds(1000));
    sendAll("/n/", 5);
    REQUIRE(m_north.receivedRequests().size() == 3);
}

TEST_CASE_METHOD(RegionsFixture, "evacuation_ofAZone_getsNothingAndComesBack")
{
    startEntry();
    evacuate("a");
    sendAll("/x/", 20);
    requireImmediateRejection("/n/");
    REQUIRE(m_north.receivedRequests().empty());
    REQUIRE(metrics().find("greengageseam_evacuated_zones 1") != std::string::npos);
    evacuate("a", false);
    sendAll("/n/", 3);
    REQUIRE(m_north.receivedRequests().size() == 3);
}

TEST_CASE_METHOD(RegionsFixture, "evacuation_serverElsewhereFails_retryDoesNotReachTheZone")
{
    startEntry();
    evacuate("b");
    m_north.setBehaviour(ReplicaBehaviour::BreaksBeforeAnswer);
    REQUIRE(sendTo("/x/").status >= 500);
    REQUIRE(m_south.receivedRequests().empty());
}

TEST_CASE_METHOD(RegionsFixture, "evacuation_requestIsInProgress_itIsCompleted")
{
    m_script->answers = {{"HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n"
                          "Content-Length: 5\r\n\r\nwhole",
                          AfterAnswer::Keeps, "", milliseconds(1200)}};
    m_store.put("keyed.servers", "i-s", std::nullopt);
    listIn("a", "i-n", m_first.address());
    startEntry();
    std::optional<CallerResponse> response;
    asio::co_spawn(m_context,
                   exchange(m_context.get_executor(), m_settings.frontAddress, requestText("one"),
                            response),
                   asio::detached);
    REQUIRE(waitUntil([this] { return m_script->requests.size() == 1; }));
    evacuate("a");
    REQUIRE(sendTo("/x/").status == 503);
    REQUIRE(waitUntil([&] { return response.has_value(); }));
    REQUIRE(response->status == 200);
}

/** A dispatcher whose only servers, one in each region, are full. */
class WaitingFixture
{
protected:
    using Answer = std::variant<ReplicaLease, ReplicaUnavailable>;

    WaitingFixture() : m_log(LogLevel::Error, {})
    {
        DispatcherOptions options;
        options.loads.zone = ZoneName("a");
        options.loads.zoneRegions = {{ZoneName("a"), RegionName("north")},
                                     {ZoneName("b"), RegionName("south")}};
        m_dispatcher =
                std::make_shared<Dispatcher>(m_context.get_executor(), options, DispatcherHooks(),
                                             std::make_shared<Metrics>(), m_log);
        m_dispatcher->start();
        m_admittedWith = table({});
        post(RoutesChanged {m_admittedWith});
        post(ReplicasChanged {{replica("a"), replica("b")}});
        while (std::optional<Answer> answer = acquire()) {
            m_leases.push_back(std::get<ReplicaLease>(*answer));
        }
    }

    static RouteTablePtr table(const AllowedRegions &allowed)
    {
        FleetConfig config;
        Route route;
        route.name = RouteName("r");
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = {{ServiceName("p"), 1}};
        route.allowedRegions = allowed;
        config.routes = {route};
        return std::make_shared<const RouteTable>(config);
    }

    static ReplicaEntry replica(const std::string &zone)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(zone);
        entry.service = ServiceName("p");
        entry.address = Address("127.0.0.1:" + std::to_string(zone.front()));
        entry.zone = ZoneName(zone);
        entry.slots = 1;
        entry.startedAtMs = 1;
        return entry;
    }

    template <typename Command>
    void post(Command command)
    {
        m_dispatcher->mailbox()->post(std::move(command));
        run();
    }

    void run()
    {
        m_context.restart();
        m_context.run_for(milliseconds(10));
    }

    /** Asks for a server, for a request that may wait long. @returns empty while it waits */
    std::optional<Answer> acquire()
    {
        m_reply = makeMailbox<Answer>(m_context.get_executor(), 1);
        m_answer.reset();
        asio::co_spawn(m_context, receive(m_reply), asio::detached);
        AcquireReplica query;
        query.table = m_admittedWith;
        query.routed = {&m_admittedWith->config().routes.front(), nullptr};
        query.requirements.service = ServiceName("p");
        query.requirements.latencyObjective = std::chrono::seconds(9);
        query.waitsSince = monotonicNow();
        query.deadline = query.waitsSince + std::chrono::seconds(9);
        query.lateAfter = query.deadline;
        query.wait = {std::chrono::seconds(9), std::chrono::seconds(9), std::chrono::seconds(9)};
        query.reply = m_reply;
        post(query);
        return m_answer;
    }

    Awaitable<void> receive(MailboxPtr<Answer> reply)
    {
        std::optional<Answer> answer = co_await reply->receive();
        m_answer = std::move(answer);
    }

    /** Ends one of the requests at a server, which sets a slot free there. */
    void release(const std::string &replica)
    {
        const auto it =
                std::find_if(m_leases.begin(), m_leases.end(), [&](const ReplicaLease &lease) {
                    return lease.replica.id.text() == replica;
                });
        LeaseReleased released;
        released.lease = it->id;
        released.replica = it->replica.id;
        released.address = it->replica.address;
        m_leases.erase(it);
        post(released);
    }

    asio::io_context m_context;
    Log m_log;
    std::shared_ptr<Dispatcher> m_dispatcher;
    RouteTablePtr m_admittedWith;
    std::vector<ReplicaLease> m_leases;
    MailboxPtr<Answer> m_reply;
    std::optional<Answer> m_answer;
};

// The rule that a request was admitted with must not outlast the configuration while it waits.
TEST_CASE_METHOD(WaitingFixture, "waiting_routeIsRestrictedMeanwhile_usesNoServerElsewhere")
{
    post(RoutesChanged {table({RegionName("north")})});
    release("b");
    REQUIRE_FALSE(m_answer);
    release("a");
    REQUIRE(m_answer);
    REQUIRE(std::get<ReplicaLease>(*m_answer).replica.id == ReplicaId("a"));
}

TEST_CASE_METHOD(WaitingFixture, "waiting_noServerIsAllowedAnyMore_isRejectedAtOnce")
{
    post(RoutesChanged {table({RegionName("east")})});
    REQUIRE(m_answer);
    REQUIRE(std::get<ReplicaUnavailable>(*m_answer).kind == ErrorKind::NoBackendServer);
}

TEST_CASE_METHOD(WaitingFixture, "waiting_zoneIsEvacuatedMeanwhile_goesElsewhere")
{
    post(EvacuationsChanged {{ZoneName("a")}});
    release("a");
    REQUIRE_FALSE(m_answer);
    release("b");
    REQUIRE(m_answer);
    REQUIRE(std::get<ReplicaLease>(*m_answer).replica.id == ReplicaId("b"));
}

} // namespace
} // namespace greengageseam
