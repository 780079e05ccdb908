/**
 * Timer that calls a hook again and again, mostly to post a tick into a task's mailbox.
 */
#pragma once

#include "core/common/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>

namespace greengageseam {

/** Hook of a ticker. @returns whether the ticker goes on */
using OnTick = std::function<bool()>;

/** Calls the hook at once and then after each period, until it returns false. */
void startTicker(const boost::asio::any_io_executor &executor, Duration period, OnTick onTick);

} // namespace greengageseam
