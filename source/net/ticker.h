/**
 * Periodic timer, used mainly to post ticks into the mailbox of a task.
 */
#pragma once

#include "core/common/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>

namespace greengageseam {

/** Hook that a ticker calls. @returns whether the ticker continues */
using OnTick = std::function<bool()>;

/** Calls the hook immediately and then once per period, until it returns false. */
void startTicker(const boost::asio::any_io_executor &executor, Duration period, OnTick onTick);

} // namespace greengageseam
