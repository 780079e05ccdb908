/**
 * Tests of BoundedSink: a full pipe must neither block the logger nor lose lines unnoticed.
 */
#include "net/boundedsink.h"

#include <array>
#include <catch2/catch.hpp>
#include <spdlog/logger.h>
#include <unistd.h>

namespace greengageseam {
namespace {

/** A logger that writes into a pipe; the test decides when to read from it. */
class BoundedSinkFixture
{
protected:
    BoundedSinkFixture()
    {
        REQUIRE(::pipe(m_pipe.data()) == 0);
        m_sink = std::make_shared<BoundedSink>(m_pipe[1]);
        m_logger = std::make_shared<spdlog::logger>("test", m_sink);
    }
    ~BoundedSinkFixture()
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string read() const
    {
        std::string bytes(1 << 20, '\0');
        const ssize_t n = ::read(m_pipe[0], bytes.data(), bytes.size());
        bytes.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        return bytes;
    }

    std::array<int, 2> m_pipe {};
    std::shared_ptr<BoundedSink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
};

TEST_CASE_METHOD(BoundedSinkFixture, "sink_nobodyReads_dropsLinesBeyondLimitWithoutBlocking")
{
    const std::string line(1000, 'x');
    for (int n = 0; n < 10'000; ++n) {
        m_logger->info("{}", line);
    }
    REQUIRE(m_sink->dropped() > 8000);
}

TEST_CASE_METHOD(BoundedSinkFixture, "sink_readAfterDrops_reportsNumberOfDroppedLines")
{
    const std::string line(1000, 'x');
    for (int n = 0; n < 10'000; ++n) {
        m_logger->info("{}", line);
    }
    std::string all;
    while (all.find("log.dropped") == std::string::npos) {
        all = read();
        m_logger->info("on");
    }
    REQUIRE(all.find("\"lines\":") != std::string::npos);
}

TEST_CASE_METHOD(BoundedSinkFixture, "sink_lineTooLong_isReplacedByOneLineWithItsSize")
{
    m_logger->info("{}", std::string(100'000, 'x'));
    REQUIRE(read() == "{\"event\":\"log.line-too-long\",\"bytes\":100000}\n");
}

} // namespace
} // namespace greengageseam
