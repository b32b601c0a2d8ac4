#pragma once

#include <variant>

#include <core/error.h>
#include <gossip/membership.h>
#include <json/value.h>
#include <lease/lease_manager.h>
#include <limits/rate_limiter.h>
#include <platform/object_store.h>

namespace trefoil {

/// Asks a peer for its copy of a configuration object.
struct config_fetch
{
    std::string name;
};

/// Everything that instances ask each other.
using peer_request =
    std::variant<gossip_ping, gossip_relay, gossip_sync, confirm_request, grant_request, config_fetch>;

/// Everything that they answer. An object with version 0 stands for "not known here".
using peer_answer = std::variant<gossip_ack, gossip_relayed, confirm_answer, grant_answer, object>;

/// Returns @p request as the message that travels. Thread-safe.
Json::Value toJson(const peer_request &request);

/// Reads a request. Error: "bad-message". Thread-safe.
result<peer_request> peerRequestFromJson(const Json::Value &message);

/// Returns @p answer as the message that travels. Thread-safe.
Json::Value toJson(const peer_answer &answer);

/// Reads an answer. Error: "bad-message". Thread-safe.
result<peer_answer> peerAnswerFromJson(const Json::Value &message);

} // namespace trefoil
