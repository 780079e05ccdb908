/**
 * What an entry provides to the tasks that handle its callers' requests.
 */
#pragma once

#include "edge/dispatcher.h"
#include "edge/promptquarantine.h"
#include "net/callcodec.h"
#include "net/log.h"
#include "net/metrics.h"

namespace greengageseam {

/** Services of the entry that every request uses. */
struct RequestContext
{
    asio::any_io_executor executor;
    MailboxPtr<DispatchCommand> dispatcher;
    MailboxPtr<QuarantineCommand> quarantine;
    CallCodec codec;
    std::shared_ptr<Metrics> metrics;
    Log log;
};

} // namespace greengageseam
