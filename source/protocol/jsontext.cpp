#include "protocol/jsontext.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxDepth = 32;

boost::leaf::error_id memberError(std::string_view key, std::string_view expectedType)
{
    return fail(ErrorKind::InvalidRequest,
                "member '" + std::string(key) + "' is missing or is not "
                        + std::string(expectedType));
}

} // namespace

Result<boost::json::object> parseObject(std::string_view text)
{
    boost::json::parse_options options;
    options.max_depth = maxDepth;
    boost::json::error_code ec;
    boost::json::value value =
            boost::json::parse(boost::json::string_view(text.data(), text.size()), ec, {}, options);
    if (ec) {
        return fail(ErrorKind::InvalidRequest, "the text is not valid JSON: " + ec.message());
    }
    if (!value.is_object()) {
        return fail(ErrorKind::InvalidRequest, "the JSON value is not an object");
    }
    return std::move(value.get_object());
}

Result<std::string> stringMember(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_string()) {
        return memberError(key, "a string");
    }
    return std::string(value->get_string());
}

Result<std::uint64_t> numberMember(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_number()) {
        return memberError(key, "an integer");
    }
    boost::json::error_code ec;
    const auto n = value->to_number<std::uint64_t>(ec);
    if (ec) {
        return memberError(key, "a non-negative integer");
    }
    return n;
}

Result<boost::json::array> arrayMember(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_array()) {
        return memberError(key, "an array");
    }
    return value->get_array();
}

Result<boost::json::object> objectMember(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_object()) {
        return memberError(key, "an object");
    }
    return value->get_object();
}

} // namespace greengageseam
