/**
 * Request of the instance list, and parsing of its JSON response.
 */
#include "logservice/listclient.h"

#include "net/httpclient.h"
#include "protocol/jsontext.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxListBytes = 16U * 1024 * 1024;
constexpr int statusOk = 200;

using List = std::vector<ListedInstance>;

Result<std::string> optionalText(const boost::json::object &object, std::string_view key)
{
    return object.contains(key) ? stringMember(object, key) : Result<std::string>(std::string());
}

Result<List> parseList(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(array, arrayMember(object, "instances"));
    List list;
    for (const boost::json::value &value : array) {
        if (!value.is_object()) {
            return fail(ErrorKind::CorruptData, "an instance in the list is not a JSON object");
        }
        BOOST_LEAF_AUTO(id, stringMember(value.get_object(), "id"));
        BOOST_LEAF_AUTO(zone, stringMember(value.get_object(), "zone"));
        BOOST_LEAF_AUTO(state, stringMember(value.get_object(), "state"));
        BOOST_LEAF_AUTO(role, optionalText(value.get_object(), "role"));
        BOOST_LEAF_AUTO(address, optionalText(value.get_object(), "address"));
        list.push_back(
                {InstanceId(id), ZoneName(zone), state == "leaving", role, Address(address)});
    }
    return list;
}

Awaitable<Outcome<List>> readList(asio::any_io_executor executor, Address address, Duration timeout)
{
    const HttpRequest request {"GET", "/instances", {}, {}};
    const Outcome<HttpResponse> outcome =
            co_await callHttp(executor, address, request, timeout, maxListBytes);
    if (const Failure *failure = failureOf(outcome)) {
        co_return Failure {ErrorKind::PlatformUnavailable, "the instance list: " + failure->detail};
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk) {
        co_return Failure {ErrorKind::PlatformUnavailable,
                           "the instance list responded with status "
                                   + std::to_string(response.status)};
    }
    co_return toOutcome([&] { return parseList(response.body); });
}

} // namespace

ReadInstanceList makeListReader(const asio::any_io_executor &executor, Address address,
                                Duration timeout)
{
    return [executor, address = std::move(address), timeout] {
        return readList(executor, address, timeout);
    };
}

} // namespace greengageseam
