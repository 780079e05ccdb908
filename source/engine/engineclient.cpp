#include "engine/engineclient.h"

#include "protocol/jsontext.h"

namespace greengageseam {

const std::string attemptIdHeader = "X-Attempt-Id";
const std::string manifestHeader = "X-Manifest";

namespace {

constexpr std::size_t maxResponseBytes = 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;

Result<std::vector<Digest>> digestsMember(const boost::json::object &object, std::string_view key)
{
    BOOST_LEAF_AUTO(array, arrayMember(object, key));
    std::vector<Digest> digests;
    for (const boost::json::value &value : array) {
        if (!value.is_string() || !isDigest(std::string_view(value.get_string()))) {
            return fail(ErrorKind::BackendFailed, "the engine reported an invalid manifest digest");
        }
        digests.emplace_back(std::string(value.get_string()));
    }
    return digests;
}

Result<EngineState> parseState(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(serving, digestsMember(object, "serving"));
    BOOST_LEAF_AUTO(loading, digestsMember(object, "loading"));
    BOOST_LEAF_AUTO(slots, numberMember(object, "slots"));
    BOOST_LEAF_AUTO(running, numberMember(object, "running"));
    BOOST_LEAF_AUTO(queued, numberMember(object, "queued"));
    return EngineState {serving, loading, static_cast<std::uint32_t>(slots),
                        static_cast<std::uint32_t>(running), static_cast<std::uint32_t>(queued)};
}

std::string orderText(const EngineOrder &order)
{
    return boost::json::serialize(
            boost::json::object {{"order", order.kind == OrderKind::Load ? "load" : "unload"},
                                 {"manifest", order.manifest.text()},
                                 {"fence", order.fence.value},
                                 {"source", order.source.text()}});
}

} // namespace

EngineClient::EngineClient(const asio::any_io_executor &executor, Address address, Duration timeout)
    : m_executor(executor), m_address(std::move(address)), m_timeout(timeout)
{ }

Awaitable<Outcome<EngineState>> EngineClient::readState() const
{
    const HttpRequest request {"GET", "/state", {}, {}};
    const Outcome<HttpResponse> outcome =
            co_await callHttp(m_executor, m_address, request, m_timeout, maxResponseBytes);
    if (const Failure *failure = failureOf(outcome)) {
        co_return Failure {ErrorKind::BackendFailed,
                           "reading the engine's state failed: " + failure->detail};
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk) {
        co_return Failure {ErrorKind::BackendFailed,
                           "reading the engine's state failed: HTTP status "
                                   + std::to_string(response.status)};
    }
    co_return toOutcome([&] { return parseState(response.body); });
}

Awaitable<VoidOutcome> EngineClient::sendOrder(EngineOrder order) const
{
    const HttpRequest request {"POST", "/orders", {}, orderText(order)};
    const Outcome<HttpResponse> outcome =
            co_await callHttp(m_executor, m_address, request, m_timeout, maxResponseBytes);
    if (const Failure *failure = failureOf(outcome)) {
        co_return Failure {ErrorKind::OutcomeUnknown,
                           "no response from the engine to an order: " + failure->detail};
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status == statusConflict) {
        co_return Failure {ErrorKind::Forbidden, "the engine rejected the order: " + response.body};
    }
    if (response.status != statusOk) {
        co_return Failure {ErrorKind::BackendFailed,
                           "the engine did not accept an order: HTTP status "
                                   + std::to_string(response.status)};
    }
    co_return std::monostate();
}

SendOrder EngineClient::orderSender() const
{
    return [client = *this](EngineOrder order) { return client.sendOrder(std::move(order)); };
}

ReadEngineState EngineClient::stateReader() const
{
    return [client = *this] { return client.readState(); };
}

} // namespace greengageseam
