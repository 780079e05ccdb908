#include "sidecar/replicaprobe.h"

#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

ReplicaProbe::ReplicaProbe(const asio::any_io_executor &executor, ReplicaHooks hooks,
                           Duration period, ReportObserver observer, Log log)
    : m_executor(executor), m_hooks(std::move(hooks)), m_period(period),
      m_observer(std::move(observer)), m_log(std::move(log))
{ }

void ReplicaProbe::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> ReplicaProbe::run()
{
    Timer timer(m_executor);
    while (true) {
        timer.expires_after(m_period);
        const Outcome<ReplicaReport> result = co_await m_hooks.readReport();
        handleResult(result);
        co_await timer.async_wait(asTuple);
    }
}

void ReplicaProbe::handleResult(const Outcome<ReplicaReport> &result)
{
    const Failure *failure = failureOf(result);
    if ((failure != nullptr) != m_isLost) {
        m_isLost = failure != nullptr;
        m_log.info(m_isLost ? "replica.lost" : "replica.regained",
                   {{"reason", m_isLost ? failure->detail : ""}});
    }
    m_observer(failure == nullptr ? std::optional<ReplicaReport>(std::get<ReplicaReport>(result))
                                  : std::nullopt);
}

} // namespace greengageseam
