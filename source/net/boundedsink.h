/**
 * Sink of log lines that never blocks: what standard output does not take at once waits in a
 * bounded queue, and what does not fit there is counted and dropped.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace greengageseam {

/** Writes lines to a descriptor. For use by one thread. */
class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /** @param descriptor a pipe, file or terminal, which stays open */
    explicit BoundedSink(int descriptor) : m_descriptor(descriptor) { }

    /** @returns lines that were dropped so far */
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override; // NOLINT: name is spdlog's
    void flush_() override;                                          // NOLINT: name is spdlog's

private:
    bool canWrite() const;
    void drain();
    void enqueue(std::string line);

    int m_descriptor;
    /** Invariant: at most maxWaiting lines. */
    std::deque<std::string> m_queue;
    std::uint64_t m_dropped = 0;
    /** Drops that no line has told of yet. */
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace greengageseam
