/**
 * Hooks by which tasks read the platform's store, whoever speaks to it.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/time.h"
#include "core/fleet/storerecords.h"
#include "net/mailbox.h"

#include <functional>

namespace greengageseam {

/** Hook that reads the newest record of each key of a topic. */
using ReadSnapshot = std::function<Awaitable<Outcome<KeyedSnapshot>>()>;
/** Hook that reads the records from an offset on. @returns NotFound if they have been deleted */
using ReadTail = std::function<Awaitable<Outcome<KeyedBatch>>(std::uint64_t from, Duration wait)>;

} // namespace greengageseam
