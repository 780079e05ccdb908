#include "sidecar/coldprobe.h"

#include "net/clock.h"
#include "net/timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto probePeriod = std::chrono::milliseconds(100);

} // namespace

ColdProbe::ColdProbe(const asio::any_io_executor &executor, ReplicaHooks hooks,
                     ColdLeftObserver observer, Log log)
    : m_executor(executor), m_hooks(std::move(hooks)), m_observer(std::move(observer)),
      m_log(std::move(log))
{ }

void ColdProbe::setHealthPath(std::string path)
{
    m_healthPath = std::move(path);
    if (m_isRunning || m_healthPath.empty()) {
        return;
    }
    m_isRunning = true;
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> ColdProbe::run()
{
    Timer timer(m_executor);
    while (!m_healthPath.empty()) {
        timer.expires_after(probePeriod);
        const Outcome<Duration> result = co_await m_hooks.readColdLeft(m_healthPath);
        handleResult(result);
        co_await timer.async_wait(asTuple);
    }
    m_isRunning = false;
}

void ColdProbe::handleResult(const Outcome<Duration> &result)
{
    const Failure *failure = failureOf(result);
    if ((failure != nullptr) != m_isLost) {
        m_isLost = failure != nullptr;
        m_log.info(m_isLost ? "replica.health-lost" : "replica.health-regained",
                   {{"reason", m_isLost ? failure->detail : ""}});
    }
    if (failure == nullptr) {
        m_observer(std::get<Duration>(result));
    }
}

} // namespace greengageseam
