/**
 * Datagrams between entries and agents, and their encoding in Thrift's compact protocol.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/loadbook.h"

#include <string>
#include <string_view>
#include <variant>

namespace greengageseam {

/** An entry asks an agent for reports of load, for a while. */
struct LoadWanted
{
    InstanceId instance;
    ZoneName zone;

    auto operator<=>(const LoadWanted &) const = default;
};

/** What a datagram says. */
using Datagram = std::variant<LoadWanted, LoadReport>;

/** Largest datagram in bytes. */
constexpr std::size_t maxDatagramBytes = 1200;

/** @returns the bytes of a datagram */
std::string encodeDatagram(const Datagram &datagram);

/** @returns the datagram, or ProtocolViolation */
Result<Datagram> decodeDatagram(std::string_view bytes);

} // namespace greengageseam
