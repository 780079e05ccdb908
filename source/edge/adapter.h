/**
 * Interface between the roles (entry and agent) and the platform, as a set of hooks. The roles
 * contain no names or formats of the platform's wire protocols.
 */
#pragma once

#include "edge/operatorwatcher.h"
#include "net/callcodec.h"
#include "net/replicahooks.h"

#include <functional>

namespace greengageseam {

/**
 * Access to the platform's store, wire formats and backend servers.
 *
 * @see makePlatformAdapter
 */
struct PlatformAdapter
{
    /** Reads the topic that the operator writes: configurations and target versions of weights. */
    TopicReader operatorTopic;
    /** Reads the topic in which backend servers register. */
    TopicReader replicaTopic;
    /** Decoders for the records of the operator's topic. The role adds its own event handlers. */
    OperatorHooks operatorHooks;
    /** Decodes the registration of a backend server. @returns an error if it is invalid */
    std::function<Result<ReplicaEntry>(const ReplicaId &id, std::string_view bytes)> decodeReplica;
    /** Encodes and decodes the header fields of requests and responses. */
    CallCodec codec;
    /** Creates the client for the backend server at an address. */
    std::function<ReplicaHooks(Address address)> openReplica;
    /** Creates the client for the weight origin at an address. */
    OpenOrigin openOrigin;
};

} // namespace greengageseam
