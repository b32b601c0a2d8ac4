#pragma once

#include <variant>

#include <core/error.h>
#include <gossip/membership.h>
#include <json/value.h>
#include <lease/lease_manager.h>
#include <limits/rate_limiter.h>
#include <platform/object_store.h>

namespace trefoil {

/// Request for a peer's copy of a configuration object.
struct config_fetch
{
    std::string name;
};

/// Any request from one instance to another.
using peer_request = std::variant<gossip_ping, gossip_relay, gossip_sync, confirm_request,
                                  grant_request, config_fetch>;

/// Any answer to a peer_request. An object with version 0 means that the peer does not have it.
using peer_answer = std::variant<gossip_ack, gossip_relayed, confirm_answer, grant_answer, object>;

/// Encodes @p request as a wire message. Thread-safe.
Json::Value toJson(const peer_request &request);

/// Decodes a request. Error: "bad-message". Thread-safe.
result<peer_request> peerRequestFromJson(const Json::Value &message);

/// Encodes @p answer as a wire message. Thread-safe.
Json::Value toJson(const peer_answer &answer);

/// Decodes an answer. Error: "bad-message". Thread-safe.
result<peer_answer> peerAnswerFromJson(const Json::Value &message);

} // namespace trefoil
