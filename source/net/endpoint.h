/**
 * Conversion between textual addresses (numeric IP address and port) and TCP endpoints.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace greengageseam {

/**
 * Parses an address such as `127.0.0.1:8080` or `[::1]:8080`. Host names are not resolved.
 * @returns the endpoint, or InvalidRequest if the address is malformed
 */
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const Address &address);

/**
 * Opens an acceptor, binds it to an address and starts to listen.
 * @returns InvalidRequest if the address is malformed or cannot be bound
 */
Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Address &address);

/** @returns the endpoint as text, with an IPv6 address in brackets */
Address addressOf(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace greengageseam
