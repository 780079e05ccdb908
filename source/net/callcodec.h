/**
 * Hooks that convert between HTTP header fields and the values they carry. They keep the names of
 * the header fields out of the request-handling tasks.
 */
#pragma once

#include "core/fleet/call.h"
#include "net/http.h"
#include "net/httpconnection.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** Encodes and decodes requests and responses in HTTP. */
struct CallCodec
{
    /** Decodes the header fields of a caller's request. */
    std::function<CallFields(const HttpRequest &request)> decodeCall;
    /** Serializes a complete request, head and body, for a backend server. */
    std::function<std::string(const HttpRequest &request, const SendFields &fields)> encodeSend;
    /** Decodes the header fields of a response from a backend server. */
    std::function<AnswerFields(const WireHead &head)> decodeAnswer;
    /** Selects the header fields of a response that are forwarded to the caller. */
    std::function<std::vector<HttpHeader>(const WireHead &head)> forwardedFields;
};

} // namespace greengageseam
