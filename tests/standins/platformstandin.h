/**
 * Stand-in for the platform: the log service, the weight store and the list of instances.
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

/** How the platform behaves. */
struct PlatformOptions
{
    /** Bytes that the origin gives out each second, over all readers; 0 is without limit. */
    std::uint64_t originBytesPerSecond = 0;
    /** How many records a stream of the log keeps. */
    std::size_t retainedRecords = 100'000;

    auto operator<=>(const PlatformOptions &) const = default;
};

/** The three services of the platform on one port. */
class PlatformStandin : public std::enable_shared_from_this<PlatformStandin>
{
public:
    explicit PlatformStandin(PlatformOptions options);

    /** Answers a request of the system. */
    Awaitable<void> handle(HttpExchange &exchange);
    /** Answers a request on the admin port. */
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
