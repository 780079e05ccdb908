/**
 * Stand-in for the platform: log service, weight store and list of instances.
 */
#pragma once

#include "core/routing/tokenbucket.h"
#include "faults.h"
#include "net/httpserver.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace greengageseam {

/** Behaviour of the platform stand-in. */
struct PlatformOptions
{
    /** Download rate of the origin over all readers; 0 means no limit. */
    std::uint64_t originBytesPerSecond = 0;
    /** Number of records that a stream of the log retains; older ones are deleted. */
    std::size_t retainedRecords = 100'000;

    auto operator<=>(const PlatformOptions &) const = default;
};

/** Provides the three services on one port. */
class PlatformStandin : public std::enable_shared_from_this<PlatformStandin>
{
public:
    explicit PlatformStandin(PlatformOptions options);

    /** Handles a request from the system. */
    Awaitable<void> handle(HttpExchange &exchange);
    /**
     * Handles a request on the admin port: injects faults, deletes old records of a stream,
     * replaces the log by an empty one, or returns the counters.
     */
    Awaitable<void> handleAdmin(HttpExchange &exchange);

private:
    struct Stream
    {
        std::uint64_t first = 1;
        std::deque<std::string> records;
    };

    Awaitable<HttpResponse> answerLog(const HttpRequest &request);
    Awaitable<HttpResponse> readLog(const HttpRequest &request, std::string name);
    Awaitable<HttpResponse> answerStore(const HttpRequest &request);
    Awaitable<HttpResponse> readStored(const std::string &path);
    HttpResponse answerList(const HttpRequest &request);
    HttpResponse append(const std::string &name, const std::string &text);
    boost::json::object counts() const;

    PlatformOptions m_options;
    std::map<std::string, Faults> m_faults;
    std::string m_logId;
    std::map<std::string, Stream> m_streams;
    std::map<std::string, std::string> m_store;
    TokenBucket m_originBucket;
    std::string m_list = R"({"instances":[]})";
    std::uint64_t m_originBytes = 0;
    std::uint64_t m_appends = 0;
};

} // namespace greengageseam
