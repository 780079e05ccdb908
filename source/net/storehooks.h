/**
 * Hooks through which tasks read topics of the platform's store, independent of its protocol.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/time.h"
#include "core/fleet/storerecords.h"
#include "net/mailbox.h"

#include <functional>

namespace greengageseam {

/** Hook that reads the newest record of every key of a topic. */
using ReadSnapshot = std::function<Awaitable<Outcome<KeyedSnapshot>>()>;
/**
 * Hook that reads the records of a topic, beginning with a position. If there are none yet, it
 * waits for up to the given time (long poll).
 * @returns the records, or NotFound if there are none at the position any more, because they have
 *     been deleted or the store has begun another era
 */
using ReadTail = std::function<Awaitable<Outcome<KeyedBatch>>(TopicPosition from, Duration wait)>;

} // namespace greengageseam
