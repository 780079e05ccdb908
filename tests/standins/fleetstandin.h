/**
 * Stand-ins for the platform that run within the process of a test: the store, and a backend
 * server.
 */
#pragma once

#include "net/httpserver.h"

#include <map>
#include <string>
#include <vector>

namespace greengageseam {

/** An in-memory store of topics with keyed records. */
class StoreStandin
{
public:
    StoreStandin(const asio::any_io_executor &executor, const Log &log);

    /** Appends a record to a topic. A record without a value deletes the key. */
    void put(const std::string &topic, const std::string &key, std::optional<std::string> value);
    /** Announces an era of its history in all further answers. */
    void setEra(std::uint64_t era) { m_era = era; }
    /**
     * Comes back from an older copy: begins the next era without the newest records of topics.
     * Reads that wait get no answer.
     * @param lost number of records that each topic loses
     */
    void restoreOlderCopy(const std::map<std::string, std::size_t> &lost);
    /** Answers all further requests with this status; 200 restores normal operation. */
    void failWith(int status) { m_status = status; }
    /** Holds back all answers, also those to requests in progress, until it is set to false. */
    void hang(bool hangs) { m_hangs = hangs; }
    /** @returns the address that the store listens on */
    const Address &address() const { return m_address; }

private:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
    };

    Awaitable<void> handle(HttpExchange &exchange);
    Awaitable<HttpResponse> readTail(const HttpRequest &request);
    HttpResponse readNewest(const HttpRequest &request) const;

    asio::any_io_executor m_executor;
    std::shared_ptr<HttpServer> m_server;
    Address m_address;
    std::map<std::string, std::vector<Record>> m_topics;
    /** Empty if its answers name no era. */
    std::optional<std::uint64_t> m_era;
    int m_status = 200;
    bool m_hangs = false;
};

/** How a backend server handles further requests. */
enum class ReplicaBehaviour {
    /** Executes the request and returns a response. */
    Answers,
    /** Reports that it did not execute the request. */
    Rejects,
    /** Identifies itself as another server than the one that the request is meant for. */
    IsOtherServer,
    /** Returns an internal error. */
    Fails,
    /** Executes the request, and resets the connection before any response. */
    BreaksBeforeAnswer,
    /** Sends two complete events of a stream, and resets the connection within the third. */
    BreaksWithinStream,
    /** Sends a complete stream. */
    Streams,
    /** Does not respond. */
    Hangs,
    /** Returns a response without the server's seal. */
    AnswersUnsealed,
    /** Returns a response that belongs to another request. */
    AnswersOtherRequest,
};

/** A backend server that records which requests it has received and executed. */
class ReplicaStandin
{
public:
    ReplicaStandin(const asio::any_io_executor &executor, std::string id, const Log &log);

    /** Sets how further requests are handled. */
    void setBehaviour(ReplicaBehaviour behaviour) { m_behaviour = behaviour; }
    /** Resets the connection of each request whose prompt has this part, before any event. */
    void crashOnPart(std::string part) { m_deadlyPart = std::move(part); }
    /** @returns the number of requests received so far whose prompt has the part */
    std::size_t receivedWithPart(const std::string &part) const;
    const Address &address() const { return m_address; }
    const std::string &id() const { return m_id; }
    /** @returns all requests received so far */
    const std::vector<HttpRequest> &receivedRequests() const { return m_receivedRequests; }
    /** @returns the number of requests executed so far */
    std::size_t runs() const { return m_runs; }
    /** @returns the record of this server in the list of backend servers, as JSON */
    std::string listEntry(const std::string &service, const std::string &state) const;
    /** @returns its record as an engine that serves a version of a model, as JSON */
    std::string engineListEntry(const std::string &service, const std::string &model,
                                std::uint64_t version) const;

private:
    Awaitable<void> handle(HttpExchange &exchange);
    Awaitable<void> stream(HttpExchange &exchange, HttpResponse head, std::uint64_t last);

    asio::any_io_executor m_executor;
    std::string m_id;
    std::shared_ptr<HttpServer> m_server;
    Address m_address;
    ReplicaBehaviour m_behaviour = ReplicaBehaviour::Answers;
    /** Empty if no part crashes the server. */
    std::string m_deadlyPart;
    std::vector<HttpRequest> m_receivedRequests;
    std::size_t m_runs = 0;
};

} // namespace greengageseam
