/**
 * Non-blocking spdlog sink. Lines that the descriptor cannot accept immediately wait in a bounded
 * queue. When the queue is full, further lines are dropped and counted.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace greengageseam {

/**
 * Writes log lines to a file descriptor without blocking the caller.
 *
 * The class is not thread-safe: it must be used by one thread only.
 */
class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /** @param descriptor a pipe, file or terminal that must stay open as long as the sink exists */
    explicit BoundedSink(int descriptor) : m_descriptor(descriptor) { }

    /** @returns the number of lines dropped since the sink was created */
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override; // NOLINT: name is spdlog's
    void flush_() override;                                          // NOLINT: name is spdlog's

private:
    bool canWrite() const;
    void drain();
    void enqueue(std::string line);

    int m_descriptor;
    /** Lines not written yet. Invariant: at most maxQueuedLines. */
    std::deque<std::string> m_queue;
    std::uint64_t m_dropped = 0;
    /** Dropped lines that no `log.dropped` line has reported yet. */
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace greengageseam
