/**
 * Non-blocking UDP socket that is owned by one task.
 */
#pragma once

#include "core/common/errors.h"
#include "net/mailbox.h"

#include <boost/asio/ip/udp.hpp>
#include <string>

namespace greengageseam {

/** A received datagram and the address of its sender. */
struct ReceivedDatagram
{
    std::string bytes;
    asio::ip::udp::endpoint sender;
};

/**
 * Sends and receives UDP datagrams. A datagram that the socket cannot send immediately is dropped.
 */
class DatagramSocket
{
public:
    explicit DatagramSocket(const asio::any_io_executor &executor);

    /**
     * Opens the socket and binds it to a local address.
     * @param ip numeric IP address
     * @param port port number, or 0 for any free port
     * @returns InvalidRequest if the address is malformed or cannot be bound
     */
    Result<void> bind(const std::string &ip, std::uint16_t port);
    /** Sends a datagram without waiting; errors are ignored, as datagrams may be lost anyway. */
    void send(const std::string &bytes, const asio::ip::udp::endpoint &receiver);
    /**
     * Waits for a datagram.
     * @param maxBytes longer datagrams are truncated to this size
     * @returns the datagram, or an empty optional if the socket failed
     */
    Awaitable<std::optional<ReceivedDatagram>> receive(std::size_t maxBytes);

private:
    asio::ip::udp::socket m_socket;
};

} // namespace greengageseam
