/**
 * Client of the platform's list of instances, which lags behind the truth.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** An instance as the platform's list shows it. */
struct ListedInstance
{
    InstanceId instance;
    ZoneName zone;
    bool isLeaving = false;
    /** `entry` or `agent`; empty if the list does not say. */
    std::string role;
    /** Where other processes of the system reach it; empty if the list does not say. */
    Address address;

    auto operator<=>(const ListedInstance &) const = default;
};

/** Hook that reads the list. @returns PlatformUnavailable if it cannot be had */
using ReadInstanceList = std::function<Awaitable<Outcome<std::vector<ListedInstance>>>()>;

/**
 * @param limit time for one call
 * @returns a hook that reads the list over HTTP
 */
ReadInstanceList makeListReader(const asio::any_io_executor &executor, Address address,
                                Duration timeout);

} // namespace greengageseam
