#include "net/datagramsocket.h"

#include <boost/asio/buffer.hpp>

namespace greengageseam {

DatagramSocket::DatagramSocket(const asio::any_io_executor &executor) : m_socket(executor) { }

Result<void> DatagramSocket::bind(const std::string &ip, std::uint16_t port)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(ip, ec);
    const asio::ip::udp::endpoint endpoint(address, port);
    if (!ec) {
        m_socket.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        m_socket.bind(endpoint, ec);
    }
    if (!ec) {
        m_socket.non_blocking(true, ec);
    }
    if (ec) {
        return fail(ErrorKind::InvalidRequest,
                    ip + ":" + std::to_string(port)
                            + ": cannot bind the UDP socket: " + ec.message());
    }
    return {};
}

void DatagramSocket::send(const std::string &bytes, const asio::ip::udp::endpoint &receiver)
{
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), receiver, 0, ignored);
}

Awaitable<std::optional<ReceivedDatagram>> DatagramSocket::receive(std::size_t maxBytes)
{
    ReceivedDatagram datagram;
    datagram.bytes.resize(maxBytes);
    auto [ec, n] = co_await m_socket.async_receive_from(asio::buffer(datagram.bytes),
                                                        datagram.sender, asTuple);
    // When the receiver of an earlier datagram was unreachable, the ICMP error is reported here as
    // a refused connection. The socket itself still works.
    if (ec && ec != asio::error::connection_refused) {
        co_return std::nullopt;
    }
    datagram.bytes.resize(ec ? 0 : n);
    co_return std::move(datagram);
}

} // namespace greengageseam
