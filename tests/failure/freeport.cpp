#include "freeport.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>

namespace greengageseam {

int bindFreePort(std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(fd, generic, n) != 0 || getsockname(fd, generic, &n) != 0) {
        throw std::runtime_error("cannot bind a free port");
    }
    port = ntohs(address.sin_port);
    return fd;
}

} // namespace greengageseam
