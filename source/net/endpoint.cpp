#include "net/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace greengageseam {

namespace {

boost::leaf::error_id invalidAddress(const Address &address)
{
    return fail(ErrorKind::InvalidRequest,
                "'" + address.text()
                        + "' is not a valid address; expected a numeric IP address, ':' and a port "
                          "from 0 to 65535");
}

} // namespace

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const Address &address)
{
    const std::string &text = address.text();
    const std::size_t n = text.rfind(':');
    if (n == std::string::npos) {
        return invalidAddress(address);
    }
    std::string host = text.substr(0, n);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, numberError] = std::from_chars(text.data() + n + 1, end, port);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(host, ec);
    if (ec || numberError != std::errc() || parsedEnd != end) {
        return invalidAddress(address);
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Address &address)
{
    BOOST_LEAF_AUTO(endpoint, parseEndpoint(address));
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    acceptor.bind(endpoint, ec);
    if (!ec) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return fail(ErrorKind::InvalidRequest, address.text() + ": cannot listen: " + ec.message());
    }
    return {};
}

Address addressOf(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return Address(endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port);
}

} // namespace greengageseam
