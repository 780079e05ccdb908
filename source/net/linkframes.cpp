#include "net/linkframes.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace greengageseam {

Awaitable<bool> writeFrame(const LinkSocket &socket, StreamMessage message)
{
    const std::string bytes = encodeFrame(message);
    auto [ec, n] = co_await asio::async_write(*socket, asio::buffer(bytes), asTuple);
    co_return !ec;
}

Awaitable<Outcome<StreamMessage>> readFrame(const LinkSocket &socket, std::size_t maxBytes)
{
    FrameHeader header {};
    auto [headerError, headerBytes] =
            co_await asio::async_read(socket->socket(), asio::buffer(header), asTuple);
    if (headerError) {
        co_return Failure {ErrorKind::AnswerBroken, headerError.message()};
    }
    const Outcome<std::size_t> length = toOutcome([&] { return frameLength(header); });
    if (const Failure *failure = failureOf(length)) {
        co_return *failure;
    }
    if (std::get<std::size_t>(length) > maxBytes) {
        co_return Failure {ErrorKind::ProtocolViolation, "a frame is larger than allowed here"};
    }
    std::string bytes(std::get<std::size_t>(length), '\0');
    auto [bodyError, bodyBytes] =
            co_await asio::async_read(socket->socket(), asio::buffer(bytes), asTuple);
    if (bodyError) {
        co_return Failure {ErrorKind::AnswerBroken, bodyError.message()};
    }
    co_return toOutcome([&] { return decodeFrame(bytes); });
}

} // namespace greengageseam
