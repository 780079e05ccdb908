#include "net/http.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <openssl/evp.h>

namespace greengageseam {

namespace {

constexpr std::string_view basicPrefix = "Basic ";
constexpr std::size_t maxBasicField = 1024;
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

std::optional<std::string> HttpRequest::basicPassword() const
{
    const std::optional<std::string> field = header("Authorization");
    if (!field || !field->starts_with(basicPrefix) || field->size() > maxBasicField) {
        return std::nullopt;
    }
    const std::string encoded = field->substr(basicPrefix.size());
    std::string decoded(encoded.size(), '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(decoded.data()),
                                  reinterpret_cast<const unsigned char *>(encoded.data()),
                                  static_cast<int>(encoded.size()));
    if (n < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock() decodes padding to trailing zero bytes, which are not part of the password.
    decoded = decoded.substr(0, std::min(decoded.find('\0'), static_cast<std::size_t>(n)));
    const std::size_t colon = decoded.find(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    return decoded.substr(colon + 1);
}

HttpResponse problemResponse(const Failure &failure, ExecutionStatus ran)
{
    const ErrorDescriptor &answer = descriptorFor(failure.kind);
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
    return problemResponse(failure, descriptorFor(failure.kind).ran);
}

} // namespace greengageseam
