#include <control/peer_codec.h>

#include <array>
#include <optional>
#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <core/json.h>
#include <platform/codec.h>

namespace trefoil {

namespace {

// Field names are short because rumors make up most of the traffic between peers.
constexpr const char *kindField = "k";

/// Minimum size in bytes of an object value that is sent deflated. Configuration tables are
/// repetitive text and compress well.
constexpr std::size_t minDeflatedSize = 1024;

/// Maximum size in bytes of an inflated value: the object size limit of the platform plus headroom.
constexpr std::size_t maxInflatedSize = 2 << 20;

std::string deflateToBase64(const std::string &text)
{
    std::ostringstream packed;
    {
        Poco::Base64Encoder encoder(packed, Poco::BASE64_URL_ENCODING);
        Poco::DeflatingOutputStream deflater(encoder, Poco::DeflatingStreamBuf::STREAM_ZLIB);
        deflater << text;
        deflater.close();
        encoder.close();
    }
    return packed.str();
}

/// Reverses deflateToBase64(). Returns nothing if @p packed is malformed or inflates to more than
/// maxInflatedSize bytes.
std::optional<std::string> inflateFromBase64(const std::string &packed)
{
    try {
        std::istringstream input(packed);
        Poco::Base64Decoder decoder(input, Poco::BASE64_URL_ENCODING);
        Poco::InflatingInputStream inflater(decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::string text;
        std::array<char, 8192> buffer {};
        while (inflater.good() && text.size() <= maxInflatedSize) {
            inflater.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
            text.append(buffer.data(), static_cast<std::size_t>(inflater.gcount()));
        }
        if (inflater.bad() || text.size() > maxInflatedSize)
            return std::nullopt;
        return text;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

Json::Value rumorsToJson(const std::vector<rumor> &rumors)
{
    Json::Value list(Json::arrayValue);
    for (const rumor &item : rumors) {
        Json::Value entry(Json::arrayValue);
        entry.append(item.topic);
        entry.append(item.key);
        entry.append(Json::UInt64(item.version));
        entry.append(item.payload);
        list.append(std::move(entry));
    }
    return list;
}

std::vector<rumor> rumorsFromJson(const Json::Value &list)
{
    std::vector<rumor> rumors;
    if (!list.isArray())
        return rumors;
    for (const Json::Value &entry : list) {
        const bool valid = entry.isArray() && entry.size() == 4 && entry[0].isString()
            && entry[1].isString() && entry[2].isUInt64() && entry[3].isString();
        // Only the malformed rumor is dropped; the others in the message are kept.
        if (valid)
            rumors.push_back({.topic = entry[0].asString(),
                              .key = entry[1].asString(),
                              .version = entry[2].asUInt64(),
                              .payload = entry[3].asString()});
    }
    return rumors;
}

Json::Value settledToJson(const std::vector<grant_settlement> &settled)
{
    Json::Value list(Json::arrayValue);
    for (const grant_settlement &item : settled) {
        Json::Value entry(Json::arrayValue);
        entry.append(Json::UInt64(item.epoch));
        entry.append(Json::UInt64(item.grant));
        entry.append(item.unused);
        list.append(std::move(entry));
    }
    return list;
}

std::vector<grant_settlement> settledFromJson(const Json::Value &list)
{
    std::vector<grant_settlement> settled;
    if (!list.isArray())
        return settled;
    for (const Json::Value &entry : list) {
        if (entry.isArray() && entry.size() == 3 && entry[0].isUInt64() && entry[1].isUInt64()
            && entry[2].isNumeric())
            settled.push_back({.epoch = entry[0].asUInt64(),
                               .grant = entry[1].asUInt64(),
                               .unused = entry[2].asDouble()});
    }
    return settled;
}

/// Visitor that encodes each kind of message.
struct message_encoder
{
    Json::Value operator()(const gossip_ping &ping) const
    {
        Json::Value message = newMessage("ping");
        message["from"] = ping.from;
        message["r"] = rumorsToJson(ping.rumors);
        return message;
    }
    Json::Value operator()(const gossip_relay &relay) const
    {
        Json::Value message = newMessage("relay");
        message["from"] = relay.from;
        message["target"] = relay.target;
        return message;
    }
    Json::Value operator()(const gossip_sync &sync) const
    {
        Json::Value message = newMessage("sync");
        message["from"] = sync.from;
        for (const std::uint64_t hash : sync.hashes)
            message["h"].append(Json::UInt64(hash));
        return message;
    }
    Json::Value operator()(const confirm_request &request) const
    {
        Json::Value message = newMessage("confirm");
        message["from"] = request.from;
        message["items"] = Json::Value(Json::arrayValue);
        for (const confirm_request::item &item : request.items) {
            Json::Value entry(Json::arrayValue);
            entry.append(item.key);
            entry.append(Json::UInt64(item.epoch));
            message["items"].append(std::move(entry));
        }
        return message;
    }
    Json::Value operator()(const grant_request &request) const
    {
        Json::Value message = newMessage("grant");
        message["from"] = request.from;
        message["team"] = request.team;
        message["needed"] = request.needed;
        message["queued"] = request.queued;
        message["extra"] = request.extra;
        if (!request.settled.empty())
            message["settled"] = settledToJson(request.settled);
        return message;
    }
    Json::Value operator()(const config_fetch &fetch) const
    {
        Json::Value message = newMessage("fetch");
        message["name"] = fetch.name;
        return message;
    }
    Json::Value operator()(const gossip_ack &ack) const
    {
        Json::Value message = newMessage("ack");
        message["r"] = rumorsToJson(ack.rumors);
        return message;
    }
    Json::Value operator()(const gossip_relayed &relayed) const
    {
        Json::Value message = newMessage("relayed");
        message["reached"] = relayed.reached;
        return message;
    }
    Json::Value operator()(const confirm_answer &answer) const
    {
        Json::Value message = newMessage("confirmed");
        message["items"] = Json::Value(Json::arrayValue);
        for (const confirm_answer::item &item : answer.items) {
            Json::Value entry(Json::arrayValue);
            entry.append(item.key);
            entry.append(item.granted);
            entry.append(Json::UInt64(item.epoch));
            message["items"].append(std::move(entry));
        }
        return message;
    }
    Json::Value operator()(const grant_answer &answer) const
    {
        Json::Value message = newMessage("granted");
        message["outcome"] = static_cast<int>(answer.kind);
        message["epoch"] = Json::UInt64(answer.epoch);
        message["grant"] = Json::UInt64(answer.grant);
        message["amount"] = answer.amount;
        message["life_ms"] = Json::Int64(toMilliseconds(answer.lifetime));
        message["retry_ms"] = Json::Int64(toMilliseconds(answer.retryAfter));
        return message;
    }
    Json::Value operator()(const object &item) const
    {
        Json::Value message = newMessage("object");
        message["object"] = toJson(item);
        if (item.value.size() >= minDeflatedSize) {
            message["object"]["value"] = "";
            message["object"]["deflated"] = deflateToBase64(item.value);
        }
        return message;
    }

private:
    static Json::Value newMessage(const char *kind)
    {
        Json::Value message(Json::objectValue);
        message[kindField] = kind;
        return message;
    }
};

tl::unexpected<error> malformedMessage(const std::string &kind)
{
    return failure("bad-message", "a peer sent a malformed message of kind \"" + kind + "\"");
}

result<peer_request> parseSync(const Json::Value &message)
{
    gossip_sync sync {.from = textOr(message, "from")};
    const Json::Value &hashes = message["h"];
    if (!hashes.isArray() || hashes.size() != rumorBuckets)
        return malformedMessage("sync");
    for (Json::ArrayIndex i = 0; i < hashes.size(); ++i) {
        if (!hashes[i].isUInt64())
            return malformedMessage("sync");
        sync.hashes[i] = hashes[i].asUInt64();
    }
    return sync;
}

result<peer_request> parseConfirm(const Json::Value &message)
{
    confirm_request request {.from = textOr(message, "from"), .items = {}};
    if (!message["items"].isArray())
        return malformedMessage("confirm");
    for (const Json::Value &entry : message["items"]) {
        if (!entry.isArray() || entry.size() != 2 || !entry[0].isString() || !entry[1].isUInt64())
            return malformedMessage("confirm");
        request.items.push_back({.key = entry[0].asString(), .epoch = entry[1].asUInt64()});
    }
    return request;
}

result<peer_request> parseGrant(const Json::Value &message)
{
    grant_request request {.from = textOr(message, "from"),
                           .team = textOr(message, "team"),
                           .needed = numberOr(message, "needed"),
                           .queued = numberOr(message, "queued"),
                           .extra = numberOr(message, "extra"),
                           .settled = settledFromJson(message["settled"])};
    if (request.team.empty() || request.needed < 0 || request.queued < 0 || request.extra < 0)
        return malformedMessage("grant");
    return request;
}

result<peer_answer> parseConfirmed(const Json::Value &message)
{
    confirm_answer answer;
    if (!message["items"].isArray())
        return malformedMessage("confirmed");
    for (const Json::Value &entry : message["items"]) {
        const bool valid = entry.isArray() && entry.size() == 3 && entry[0].isString()
            && entry[1].isBool() && entry[2].isUInt64();
        if (!valid)
            return malformedMessage("confirmed");
        answer.items.push_back({.key = entry[0].asString(),
                                .granted = entry[1].asBool(),
                                .epoch = entry[2].asUInt64()});
    }
    return answer;
}

result<peer_answer> parseGranted(const Json::Value &message)
{
    const std::uint64_t outcome = integerOr(message, "outcome", 99);
    if (outcome > static_cast<std::uint64_t>(grant_answer::outcome::TooLarge))
        return malformedMessage("granted");
    grant_answer answer;
    answer.kind = static_cast<grant_answer::outcome>(outcome);
    answer.epoch = integerOr(message, "epoch");
    answer.grant = integerOr(message, "grant");
    answer.amount = numberOr(message, "amount");
    answer.lifetime = std::chrono::milliseconds(integerOr(message, "life_ms"));
    answer.retryAfter = std::chrono::milliseconds(integerOr(message, "retry_ms"));
    return answer;
}

} // namespace

Json::Value toJson(const peer_request &request) { return std::visit(message_encoder {}, request); }

Json::Value toJson(const peer_answer &answer) { return std::visit(message_encoder {}, answer); }

result<peer_request> peerRequestFromJson(const Json::Value &message)
{
    const std::string kind = textOr(message, kindField);
    if (kind == "ping")
        return gossip_ping {.from = textOr(message, "from"),
                            .rumors = rumorsFromJson(message["r"])};
    if (kind == "relay")
        return gossip_relay {.from = textOr(message, "from"), .target = textOr(message, "target")};
    if (kind == "sync")
        return parseSync(message);
    if (kind == "confirm")
        return parseConfirm(message);
    if (kind == "grant")
        return parseGrant(message);
    if (kind == "fetch")
        return config_fetch {.name = textOr(message, "name")};
    return malformedMessage(kind);
}

result<peer_answer> peerAnswerFromJson(const Json::Value &message)
{
    const std::string kind = textOr(message, kindField);
    if (kind == "ack")
        return gossip_ack {.rumors = rumorsFromJson(message["r"])};
    if (kind == "relayed")
        return gossip_relayed {.reached = flagOr(message, "reached", false)};
    if (kind == "confirmed")
        return parseConfirmed(message);
    if (kind == "granted")
        return parseGranted(message);
    if (kind == "object") {
        const Json::Value &item = message["object"];
        std::string value = textOr(item, "value");
        if (item.isObject() && item.isMember("deflated")) {
            std::optional<std::string> inflatedValue = inflateFromBase64(textOr(item, "deflated"));
            if (!inflatedValue)
                return malformedMessage(kind);
            value = std::move(*inflatedValue);
        }
        return object {.name = textOr(item, "name"),
                       .version = integerOr(item, "version"),
                       .value = std::move(value)};
    }
    return malformedMessage(kind);
}

} // namespace trefoil
