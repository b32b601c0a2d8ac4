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

// Members are short because rumors make up most of the bytes between peers.
constexpr const char *kindMember = "k";

/// Values from this size on travel deflated: tables are text of one shape.
constexpr std::size_t leastDeflated = 1024;

/// Largest value that is inflated: an object of the platform and some room.
constexpr std::size_t maxInflated = 2 << 20;

std::string deflated(const std::string &text)
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

/// Returns what deflated() was given, or nothing where @p packed is malformed or too large.
std::optional<std::string> inflated(const std::string &packed)
{
    try {
        std::istringstream input(packed);
        Poco::Base64Decoder decoder(input, Poco::BASE64_URL_ENCODING);
        Poco::InflatingInputStream inflater(decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::string text;
        std::array<char, 8192> piece {};
        while (inflater.good() && text.size() <= maxInflated) {
            inflater.read(piece.data(), static_cast<std::streamsize>(piece.size()));
            text.append(piece.data(), static_cast<std::size_t>(inflater.gcount()));
        }
        if (inflater.bad() || text.size() > maxInflated)
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
        // A malformed rumor is dropped by itself; the others of the message are still good.
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

/// Writes each kind of message; the overload set is what std::visit picks from.
struct message_writer
{
    Json::Value operator()(const gossip_ping &ping) const
    {
        Json::Value message = start("ping");
        message["from"] = ping.from;
        message["r"] = rumorsToJson(ping.rumors);
        return message;
    }
    Json::Value operator()(const gossip_relay &relay) const
    {
        Json::Value message = start("relay");
        message["from"] = relay.from;
        message["target"] = relay.target;
        return message;
    }
    Json::Value operator()(const gossip_sync &sync) const
    {
        Json::Value message = start("sync");
        message["from"] = sync.from;
        for (const std::uint64_t hash : sync.hashes)
            message["h"].append(Json::UInt64(hash));
        return message;
    }
    Json::Value operator()(const confirm_request &ask) const
    {
        Json::Value message = start("confirm");
        message["from"] = ask.from;
        message["items"] = Json::Value(Json::arrayValue);
        for (const confirm_request::item &item : ask.items) {
            Json::Value entry(Json::arrayValue);
            entry.append(item.key);
            entry.append(Json::UInt64(item.epoch));
            message["items"].append(std::move(entry));
        }
        return message;
    }
    Json::Value operator()(const grant_request &ask) const
    {
        Json::Value message = start("grant");
        message["from"] = ask.from;
        message["team"] = ask.team;
        message["needed"] = ask.needed;
        message["queued"] = ask.queued;
        message["extra"] = ask.extra;
        if (!ask.settled.empty())
            message["settled"] = settledToJson(ask.settled);
        return message;
    }
    Json::Value operator()(const config_fetch &fetch) const
    {
        Json::Value message = start("fetch");
        message["name"] = fetch.name;
        return message;
    }
    Json::Value operator()(const gossip_ack &ack) const
    {
        Json::Value message = start("ack");
        message["r"] = rumorsToJson(ack.rumors);
        return message;
    }
    Json::Value operator()(const gossip_relayed &relayed) const
    {
        Json::Value message = start("relayed");
        message["reached"] = relayed.reached;
        return message;
    }
    Json::Value operator()(const confirm_answer &answer) const
    {
        Json::Value message = start("confirmed");
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
        Json::Value message = start("granted");
        message["outcome"] = static_cast<int>(answer.kind);
        message["epoch"] = Json::UInt64(answer.epoch);
        message["grant"] = Json::UInt64(answer.grant);
        message["amount"] = answer.amount;
        message["life_ms"] = Json::Int64(toMilliseconds(answer.life));
        message["retry_ms"] = Json::Int64(toMilliseconds(answer.retryAfter));
        return message;
    }
    Json::Value operator()(const object &item) const
    {
        Json::Value message = start("object");
        message["object"] = toJson(item);
        if (item.value.size() >= leastDeflated) {
            message["object"]["value"] = "";
            message["object"]["deflated"] = deflated(item.value);
        }
        return message;
    }

private:
    static Json::Value start(const char *kind)
    {
        Json::Value message(Json::objectValue);
        message[kindMember] = kind;
        return message;
    }
};

tl::unexpected<error> badMessage(const std::string &kind)
{
    return failure("bad-message", "a peer sent a malformed message of kind \"" + kind + "\"");
}

result<peer_request> readSync(const Json::Value &message)
{
    gossip_sync sync {.from = textOr(message, "from")};
    const Json::Value &hashes = message["h"];
    if (!hashes.isArray() || hashes.size() != rumorBuckets)
        return badMessage("sync");
    for (Json::ArrayIndex i = 0; i < hashes.size(); ++i) {
        if (!hashes[i].isUInt64())
            return badMessage("sync");
        sync.hashes[i] = hashes[i].asUInt64();
    }
    return sync;
}

result<peer_request> readConfirm(const Json::Value &message)
{
    confirm_request ask {.from = textOr(message, "from"), .items = {}};
    if (!message["items"].isArray())
        return badMessage("confirm");
    for (const Json::Value &entry : message["items"]) {
        if (!entry.isArray() || entry.size() != 2 || !entry[0].isString() || !entry[1].isUInt64())
            return badMessage("confirm");
        ask.items.push_back({.key = entry[0].asString(), .epoch = entry[1].asUInt64()});
    }
    return ask;
}

result<peer_request> readGrant(const Json::Value &message)
{
    grant_request ask {.from = textOr(message, "from"),
                   .team = textOr(message, "team"),
                   .needed = numberOr(message, "needed"),
                   .queued = numberOr(message, "queued"),
                   .extra = numberOr(message, "extra"),
                   .settled = settledFromJson(message["settled"])};
    if (ask.team.empty() || ask.needed < 0 || ask.queued < 0 || ask.extra < 0)
        return badMessage("grant");
    return ask;
}

result<peer_answer> readConfirmed(const Json::Value &message)
{
    confirm_answer answer;
    if (!message["items"].isArray())
        return badMessage("confirmed");
    for (const Json::Value &entry : message["items"]) {
        const bool valid = entry.isArray() && entry.size() == 3 && entry[0].isString()
            && entry[1].isBool() && entry[2].isUInt64();
        if (!valid)
            return badMessage("confirmed");
        answer.items.push_back({.key = entry[0].asString(),
                                .granted = entry[1].asBool(),
                                .epoch = entry[2].asUInt64()});
    }
    return answer;
}

result<peer_answer> readGranted(const Json::Value &message)
{
    const std::uint64_t outcome = integerOr(message, "outcome", 99);
    if (outcome > static_cast<std::uint64_t>(grant_answer::outcome::TooLarge))
        return badMessage("granted");
    grant_answer answer;
    answer.kind = static_cast<grant_answer::outcome>(outcome);
    answer.epoch = integerOr(message, "epoch");
    answer.grant = integerOr(message, "grant");
    answer.amount = numberOr(message, "amount");
    answer.life = std::chrono::milliseconds(integerOr(message, "life_ms"));
    answer.retryAfter = std::chrono::milliseconds(integerOr(message, "retry_ms"));
    return answer;
}

} // namespace

Json::Value toJson(const peer_request &request) { return std::visit(message_writer {}, request); }

Json::Value toJson(const peer_answer &answer) { return std::visit(message_writer {}, answer); }

result<peer_request> peerRequestFromJson(const Json::Value &message)
{
    const std::string kind = textOr(message, kindMember);
    if (kind == "ping")
        return gossip_ping {.from = textOr(message, "from"),
                            .rumors = rumorsFromJson(message["r"])};
    if (kind == "relay")
        return gossip_relay {.from = textOr(message, "from"), .target = textOr(message, "target")};
    if (kind == "sync")
        return readSync(message);
    if (kind == "confirm")
        return readConfirm(message);
    if (kind == "grant")
        return readGrant(message);
    if (kind == "fetch")
        return config_fetch {.name = textOr(message, "name")};
    return badMessage(kind);
}

result<peer_answer> peerAnswerFromJson(const Json::Value &message)
{
    const std::string kind = textOr(message, kindMember);
    if (kind == "ack")
        return gossip_ack {.rumors = rumorsFromJson(message["r"])};
    if (kind == "relayed")
        return gossip_relayed {.reached = flagOr(message, "reached", false)};
    if (kind == "confirmed")
        return readConfirmed(message);
    if (kind == "granted")
        return readGranted(message);
    if (kind == "object") {
        const Json::Value &item = message["object"];
        std::string value = textOr(item, "value");
        if (item.isObject() && item.isMember("deflated")) {
            std::optional<std::string> inflatedValue = inflated(textOr(item, "deflated"));
            if (!inflatedValue)
                return badMessage(kind);
            value = std::move(*inflatedValue);
        }
        return object {.name = textOr(item, "name"),
                       .version = integerOr(item, "version"),
                       .value = std::move(value)};
    }
    return badMessage(kind);
}

} // namespace trefoil
