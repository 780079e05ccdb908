#include "protocol/claimcodec.h"

#include "protocol/jsontext.h"

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr std::string_view madeName = "made";
constexpr std::string_view endedName = "ended";
constexpr std::string_view releasedName = "released";

ExecutionStatus parseRan(std::string_view text)
{
    return text == textOf(ExecutionStatus::Executed) ? ExecutionStatus::Executed
                                                     : ExecutionStatus::Unknown;
}

/** Encodes each type of item as a JSON object. */
struct ClaimItemEncoder
{
    json::object operator()(const ClaimCreated &made) const
    {
        return {{"kind", madeName},
                {"key", textOf(made.key)},
                {"fingerprint", made.fingerprint},
                {"claimant", made.claimantNonce}};
    }

    json::object operator()(const ClaimFinished &ended) const
    {
        json::object object {
                {"kind", endedName}, {"key", textOf(ended.key)}, {"ran", textOf(ended.ran)}};
        if (ended.response) {
            object["answer"] = json::object {{"status", ended.response->status},
                                             {"type", ended.response->contentType},
                                             {"body", ended.response->body}};
        }
        return object;
    }

    json::object operator()(const ClaimReleased &released) const
    {
        return {{"kind", releasedName},
                {"key", textOf(released.key)},
                {"offset", released.position.offset.value},
                {"index", released.position.index}};
    }
};

Result<ClaimFinished> readEnded(const json::object &object, const ClaimKey &key)
{
    BOOST_LEAF_AUTO(ran, stringMember(object, "ran"));
    ClaimFinished ended {key, parseRan(ran), std::nullopt};
    if (object.contains("answer")) {
        BOOST_LEAF_AUTO(member, objectMember(object, "answer"));
        BOOST_LEAF_AUTO(status, numberMember(member, "status"));
        BOOST_LEAF_AUTO(type, stringMember(member, "type"));
        BOOST_LEAF_AUTO(body, stringMember(member, "body"));
        const auto code = static_cast<std::int32_t>(status);
        // Without a valid status there is no answer to repeat, but the request has ended.
        if (classOfStatus(code) == StatusClass::Final) {
            ended.response = StoredResponse {code, type, body};
        }
    }
    return ended;
}

Result<ClaimItem> readItem(const json::object &object)
{
    BOOST_LEAF_AUTO(kind, stringMember(object, "kind"));
    BOOST_LEAF_AUTO(keyText, stringMember(object, "key"));
    const std::optional<ClaimKey> key = parseClaimKey(keyText);
    if (!key) {
        return fail(ErrorKind::CorruptData, "the key of a claim is malformed");
    }
    if (kind == madeName) {
        BOOST_LEAF_AUTO(fingerprint, numberMember(object, "fingerprint"));
        BOOST_LEAF_AUTO(claimant, numberMember(object, "claimant"));
        return ClaimItem(ClaimCreated {*key, fingerprint, claimant});
    }
    if (kind == endedName) {
        BOOST_LEAF_AUTO(ended, readEnded(object, *key));
        return ClaimItem(ended);
    }
    if (kind == releasedName) {
        BOOST_LEAF_AUTO(offset, numberMember(object, "offset"));
        BOOST_LEAF_AUTO(index, numberMember(object, "index"));
        const ClaimPosition position {Offset {offset}, static_cast<std::uint32_t>(index)};
        return ClaimItem(ClaimReleased {*key, position});
    }
    return fail(ErrorKind::CorruptData, "a claim record has the unknown kind '" + kind + "'");
}

} // namespace

std::string encodeClaims(const std::vector<ClaimItem> &items)
{
    json::array array;
    for (const ClaimItem &item : items) {
        array.push_back(std::visit(ClaimItemEncoder {}, item));
    }
    return json::serialize(json::object {{"claims", std::move(array)}});
}

Result<std::vector<ClaimItem>> decodeClaims(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(array, arrayMember(object, "claims"));
    std::vector<ClaimItem> items;
    for (const json::value &value : array) {
        if (!value.is_object()) {
            return fail(ErrorKind::CorruptData, "a claim record is not a JSON object");
        }
        BOOST_LEAF_AUTO(item, readItem(value.get_object()));
        items.push_back(std::move(item));
    }
    return items;
}

bool isRecordText(std::string_view bytes)
{
    const json::string string(bytes);
    json::error_code ec;
    json::parse(json::serialize(string), ec);
    return !ec;
}

} // namespace greengageseam
