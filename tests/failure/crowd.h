/**
 * Crowds of callers outside the limits, and what a process uses while they are connected.
 */
#pragma once

#include "core/common/ids.h"
#include "net/mailbox.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace greengageseam {

/** Longest time for which a crowd sends. */
constexpr auto crowdTime = std::chrono::seconds(6);
constexpr std::size_t fewCallers = 8;
constexpr std::size_t manyCallers = 90;
constexpr std::size_t idleCallers = 700;
/** Bytes that a caller sends at most if the process goes on reading. */
constexpr std::size_t maxBytesOfCaller = 24UL * 1024 * 1024;
/** Bytes that are missing from the end of an unfinished body. */
constexpr std::size_t missingBytes = 10;

/** What a caller of a crowd sends. It reads nothing, and keeps its connection open. */
struct CallerScript
{
    std::string opening;
    /** Sent over and over after the opening; nothing if empty. */
    std::string repeated;
    /** Total of the repetitions. */
    std::size_t repeatedBytes = 0;

    auto operator<=>(const CallerScript &) const = default;
};

/** @returns the text as often as it fits into one piece that is sent at once */
std::string pieceOf(const std::string &text);
/** @returns the header field that announces the length of a body */
std::string lengthField(std::size_t bytes);
/** @returns the header of a frame between processes */
std::string frameHeader(std::size_t bytes);
/** The header field of a body without an announced length. */
extern const std::string chunkedField;

/** Callers that stay connected until the crowd is destroyed. */
class CallerCrowd
{
public:
    /** @param context runs the callers' tasks, and does not run out of work meanwhile */
    explicit CallerCrowd(boost::asio::io_context &context)
        : m_context(context), m_work(context.get_executor())
    { }

    /** Adds callers that connect to an address and send a script. */
    void add(std::size_t callers, const Address &address, const CallerScript &script);
    /** @returns whether each caller has sent everything, or its connection was closed */
    bool isDone() const;

private:
    struct Member;

    boost::asio::io_context &m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::shared_ptr<Member>> m_members;
};

/** @returns the peak of a process's resident memory in kilobytes; 0 if it is gone */
std::size_t peakMemoryKb(pid_t id);
/** @returns the number of sockets that a process has open */
std::size_t openSockets(pid_t id);

} // namespace greengageseam
