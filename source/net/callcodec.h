/**
 * Hooks that turn the header fields of requests and answers into what they say, so that no task
 * knows their names.
 */
#pragma once

#include "core/fleet/requestmetadata.h"
#include "net/http.h"
#include "net/httpconnection.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** How requests and answers are written on the wire. */
struct CallCodec
{
    /** Reads what a caller's request says. */
    std::function<RequestMetadata(const HttpRequest &request)> decodeRequestMetadata;
    /** Writes a whole request for a backend server. */
    std::function<std::string(const HttpRequest &request, const UpstreamRequestMetadata &fields)>
            encodeUpstreamRequest;
    /** Reads what an answer says. */
    std::function<ResponseMetadata(const HttpResponseHead &head)> decodeResponseMetadata;
    /** Picks the fields of an answer that go on to the caller. */
    std::function<std::vector<HttpHeader>(const HttpResponseHead &head)> forwardedFields;
};

} // namespace greengageseam
