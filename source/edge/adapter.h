/**
 * What a process needs of the users' platform, as hooks: the roles know no names of the wire.
 */
#pragma once

#include "edge/storewatchers.h"
#include "net/callcodec.h"
#include "net/replicahooks.h"

#include <functional>

namespace greengageseam {

/** The platform. */
struct PlatformAdapter
{
    /** What the operator writes. */
    TopicReader operatorTopic;
    /** The list of backend servers. */
    TopicReader replicaTopic;
    /** The decoders of what the operator writes; what to do with it is for the role to fill in. */
    OperatorHooks operatorHooks;
    std::function<Result<ReplicaEntry>(const ReplicaId &id, std::string_view bytes)> decodeReplica;
    CallCodec codec;
    /** Deals with the backend server at an address. */
    std::function<ReplicaHooks(Address address)> openReplica;
    OpenOrigin openOrigin;
};

} // namespace greengageseam
