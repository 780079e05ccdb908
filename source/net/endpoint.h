/**
 * Addresses of processes: a numeric IP address and a port.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace greengageseam {

/**
 * Reads an address such as `127.0.0.1:8080` or `[::1]:8080`.
 * @returns the endpoint, or InvalidRequest; names are not looked up
 */
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const Address &address);

/**
 * Binds and opens an acceptor.
 * @returns InvalidRequest if the address is malformed or cannot be listened on
 */
Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Address &address);

/** @returns the address of an endpoint */
Address addressOf(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace greengageseam
