#include "net/boundedsink.h"

#include <poll.h>
#include <unistd.h>

namespace greengageseam {

namespace {

constexpr std::size_t maxQueuedLines = 1024;
/**
 * Upper limit of a line, equal to PIPE_BUF on Linux: a pipe that poll() reports as writable accepts
 * this many bytes without blocking.
 */
constexpr std::size_t maxLineBytes = 4096;

} // namespace

bool BoundedSink::canWrite() const
{
    pollfd pollRequest {m_descriptor, POLLOUT, 0};
    return ::poll(&pollRequest, 1, 0) > 0 && (pollRequest.revents & POLLOUT) != 0;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    std::string line(message.payload.data(), message.payload.size());
    // Replaces a line over the limit, because a truncated line is not valid JSON.
    if (line.size() >= maxLineBytes) {
        line = R"({"event":"log.line-too-long","bytes":)" + std::to_string(line.size()) + "}";
    }
    enqueue(line + "\n");
    drain();
}

void BoundedSink::flush_()
{
    drain();
}

void BoundedSink::enqueue(std::string line)
{
    if (m_queue.size() >= maxQueuedLines) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    m_queue.push_back(std::move(line));
}

void BoundedSink::drain()
{
    while (!m_queue.empty() && canWrite()) {
        const std::string &line = m_queue.front();
        if (::write(m_descriptor, line.data(), line.size()) < 0) {
            ++m_dropped;
            ++m_unreportedDrops;
        }
        m_queue.pop_front();
    }
    if (m_unreportedDrops > 0 && m_queue.empty()) {
        const std::string line =
                R"({"event":"log.dropped","lines":)" + std::to_string(m_unreportedDrops) + "}\n";
        m_unreportedDrops = 0;
        m_queue.push_back(line);
    }
}

} // namespace greengageseam
