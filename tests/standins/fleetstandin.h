/**
 * Stand-ins of the users' platform within one process: the store, and a backend server.
 */
#pragma once

#include "net/httpserver.h"

#include <map>
#include <string>
#include <vector>

namespace greengageseam {

/** A store of keyed topics, held in memory. */
class StoreStandin
{
public:
    StoreStandin(const asio::any_io_executor &executor, const Log &log);

    /** Writes a record; without a value the key is dropped. */
    void put(const std::string &topic, const std::string &key, std::optional<std::string> value);
    /** From now on every call is answered with this status; 200 ends that. */
    void failWith(int status) { m_status = status; }
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
    int m_status = 200;
};

/** How a backend server treats the next requests. */
enum class ReplicaBehaviour {
    Answers,
    /** Says that it did not run the request. */
    Rejects,
    /** Is another one than the caller means. */
    IsOtherServer,
    /** Answers with a failure of its own. */
    Fails,
    /** Runs the request, and breaks off before any answer. */
    BreaksBeforeAnswer,
    /** Sends two events of a stream, and breaks off. */
    BreaksWithinStream,
    /** Sends a whole stream. */
    Streams,
    /** Does not answer. */
    Hangs,
    /** Answers without its seal. */
    AnswersUnsealed,
    /** Answers another request. */
    AnswersOtherRequest,
};

/** A backend server that tells what it has run. */
class ReplicaStandin
{
public:
    ReplicaStandin(const asio::any_io_executor &executor, std::string id, const Log &log);

    void setBehaviour(ReplicaBehaviour behaviour) { m_behaviour = behaviour; }
    const Address &address() const { return m_address; }
    const std::string &id() const { return m_id; }
    /** @returns the requests that reached it */
    const std::vector<HttpRequest> &receivedRequests() const { return m_receivedRequests; }
    /** @returns how many requests it has run */
    std::size_t runs() const { return m_runs; }
    /** @returns its entry in the list */
    std::string listEntry(const std::string &service, const std::string &state) const;
    /** @returns its entry as an engine that runs a version of a model */
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
    std::vector<HttpRequest> m_receivedRequests;
    std::size_t m_runs = 0;
};

} // namespace greengageseam
