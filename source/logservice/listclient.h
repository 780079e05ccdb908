/**
 * HTTP client of the platform's list of instances. The list may be out of date.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** An entry of the platform's instance list. */
struct ListedInstance
{
    InstanceId instance;
    ZoneName zone;
    bool isLeaving = false;
    /** `entry` or `agent`; empty if the list does not state it. */
    std::string role;
    /** Address for links of other processes; empty if the list does not state it. */
    Address address;

    auto operator<=>(const ListedInstance &) const = default;
};

/** Hook that reads the list. @returns PlatformUnavailable if the request fails */
using ReadInstanceList = std::function<Awaitable<Outcome<std::vector<ListedInstance>>>()>;

/**
 * @param timeout time limit for one call
 * @returns a hook that reads the list over HTTP
 */
ReadInstanceList makeListReader(const asio::any_io_executor &executor, Address address,
                                Duration timeout);

} // namespace greengageseam
