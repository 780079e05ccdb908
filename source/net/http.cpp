#include "net/http.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace greengageseam {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr int retryAfterSeconds = 1;

} // namespace

std::optional<std::string> HttpRequest::header(std::string_view name) const
{
    for (const HttpHeader &field : headers) {
        if (boost::beast::iequals(field.name, {name.data(), name.size()})) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::string HttpRequest::path() const
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::parameter(std::string_view name) const
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        return std::nullopt;
    }
    for (const auto &param : parsed->params()) {
        if (param.key == name) {
            return std::string(param.value);
        }
    }
    return std::nullopt;
}

std::optional<std::string> HttpRequest::bearerToken() const
{
    const std::optional<std::string> field = header("Authorization");
    if (!field || !field->starts_with(bearerPrefix)) {
        return std::nullopt;
    }
    return field->substr(bearerPrefix.size());
}

HttpResponse problemResponse(const Failure &failure, Ran ran)
{
    const ErrorAnswer &answer = answerFor(failure.kind);
    const boost::json::object problem {{"type", "about:blank#" + std::string(answer.name)},
                                       {"title", answer.title},
                                       {"status", answer.httpStatus},
                                       {"detail", failure.detail},
                                       {"kind", answer.name},
                                       {"ran", textOf(ran)},
                                       {"retry", textOf(answer.retry)}};
    HttpResponse response {answer.httpStatus, "application/problem+json", {}, {}};
    response.body = boost::json::serialize(problem) + "\n";
    if (answer.retry == RetryAdvice::Later) {
        response.headers.push_back({"Retry-After", std::to_string(retryAfterSeconds)});
    }
    return response;
}

HttpResponse problemResponse(const Failure &failure)
{
    return problemResponse(failure, answerFor(failure.kind).ran);
}

} // namespace greengageseam
