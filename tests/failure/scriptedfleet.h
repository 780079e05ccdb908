/**
 * An entry on the platform with a stand-in store and two backend servers that play one script.
 */
#pragma once

#include "edge/edge.h"
#include "fleetstandin.h"
#include "net/clock.h"
#include "platform/platform.h"
#include "scriptedstandin.h"
#include "testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace greengageseam {

/** Fixture that runs an entry against two servers i-1 and i-2, which play one script. */
class ScriptedFleet
{
protected:
    ScriptedFleet()
        : m_log(LogLevel::Error, {}), m_store(m_context.get_executor(), m_log),
          m_script(std::make_shared<AnswerScript>()), m_first(m_context.get_executor(), m_script),
          m_second(m_context.get_executor(), m_script)
    {
        m_settings.instance = InstanceId("entry-1");
        m_settings.zone = ZoneName("a");
        m_settings.ip = "127.0.0.1";
        m_settings.frontAddress = freeAddress(m_context);
        m_settings.readyAddress = freeAddress(m_context);
        m_settings.controlAddress = freeAddress(m_context);
        m_settings.firstPort = portOf(freeAddress(m_context));
        m_settings.lastPort = portOf(freeAddress(m_context));
        m_settings.storeAddress = m_store.address();
    }

    /** Writes a configuration with one route to the store. */
    void configure(const std::string &kind, int attempts, bool canResume = true)
    {
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                    R"("routeKind":")"
                            + kind
                            + R"(","timeoutMs":3000,"targetLatencyMs":400,"priority":1,)"
                              R"("service":"p","maxAttempts":)"
                            + std::to_string(attempts) + R"(,"streamResume":)"
                            + (canResume ? "true" : "false")
                            + R"(}],"services":[{"name":"p"}],)"
                              R"("tenants":[{"name":"ann","apiKeys":["key"]}]})");
    }

    /** Writes a server's record to the list. */
    void list(const std::string &id, const Address &address, int startedAt = 1,
              const std::string &state = "ready", int slots = 8)
    {
        m_store.put("keyed.servers", id,
                    R"({"service":"p","address":")" + address.text() + R"(","zone":"a","slots":)"
                            + std::to_string(slots) + R"(,"state":")" + state + R"(","born":)"
                            + std::to_string(startedAt) + "}");
    }

    /** Lists i-1 as started anew, so that the entry has no earlier failures of it on record. */
    void restartServer()
    {
        list("i-1", m_first.address(), ++m_starts);
        runFor(std::chrono::milliseconds(150));
    }

    void startEntry()
    {
        m_edge.emplace(m_context.get_executor(), m_settings,
                       makePlatformAdapter(m_context.get_executor(), m_settings), "secret", m_log);
        REQUIRE(m_edge->start());
        REQUIRE(waitUntil([this] {
            return send(m_settings.readyAddress, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                           .status
                    == 200;
        }));
    }

    /** Starts an entry with both servers, or with i-1 alone. */
    void startFleet(const std::string &kind, std::deque<ScriptedAnswer> answers,
                    bool hasSecond = true, bool canResume = true)
    {
        m_script->answers = std::move(answers);
        configure(kind, 2, canResume);
        list("i-1", m_first.address());
        if (hasSecond) {
            list("i-2", m_second.address());
        }
        startEntry();
    }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, std::chrono::seconds(10));
    }

    /** Lets time pass for what nothing can be waited for. */
    void runFor(Duration time) { m_context.run_for(time); }

    static std::string requestText(const std::string &attemptId, const std::string &body = "body",
                                   const std::string &httpVersion = "1.1")
    {
        return "POST /x/1 HTTP/" + httpVersion + "\r\nHost: a.example\r\nAttempt-Id: " + attemptId
                + "\r\nKey: key\r\nRemaining-Time-Ms: 2500\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    CallerResponse send(const Address &address, const std::string &text)
    {
        std::optional<CallerResponse> received;
        asio::co_spawn(m_context, exchange(m_context.get_executor(), address, text, received),
                       asio::detached);
        REQUIRE(waitUntil([&] { return received.has_value(); }));
        return *received;
    }

    CallerResponse sendRequest(const std::string &attemptId)
    {
        return send(m_settings.frontAddress, requestText(attemptId));
    }

    asio::io_context m_context;
    Log m_log;
    NodeSettings m_settings;
    StoreStandin m_store;
    std::shared_ptr<AnswerScript> m_script;
    ScriptedStandin m_first;
    ScriptedStandin m_second;
    std::optional<Edge> m_edge;
    int m_starts = 1;
};

} // namespace greengageseam
