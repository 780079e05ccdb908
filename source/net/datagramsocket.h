/**
 * UDP socket of a task.
 */
#pragma once

#include "core/common/errors.h"
#include "net/mailbox.h"

#include <boost/asio/ip/udp.hpp>
#include <string>

namespace greengageseam {

/** A datagram and who sent it. */
struct ReceivedDatagram
{
    std::string bytes;
    asio::ip::udp::endpoint sender;
};

/** Sends and receives datagrams; what cannot be sent at once is dropped. */
class DatagramSocket
{
public:
    explicit DatagramSocket(const asio::any_io_executor &executor);

    /** Binds the socket. @returns InvalidRequest if the address cannot be used */
    Result<void> bind(const std::string &ip, std::uint16_t port);
    /** Sends without waiting. */
    void send(const std::string &bytes, const asio::ip::udp::endpoint &receiver);
    /** Waits for a datagram of at most @p maxBytes. @returns nothing if the socket failed */
    Awaitable<std::optional<ReceivedDatagram>> receive(std::size_t maxBytes);

private:
    asio::ip::udp::socket m_socket;
};

} // namespace greengageseam
