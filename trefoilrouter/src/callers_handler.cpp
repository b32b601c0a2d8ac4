#include "callers_handler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <set>
#include <span>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <control/discovery.h>
#include <core/json.h>
#include <telemetry/log.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr const char *bearerScheme = "Bearer ";
constexpr const char *idempotencyHeader = "Idempotency-Key";

/// How long the body of a refused request is read before the connection is closed.
constexpr duration unreadBodyTimeout = std::chrono::milliseconds(500);

/// Caller headers that are not forwarded to backend servers: hop-by-hop headers, headers that this
/// process sets itself, and all that may carry the caller's credentials.
const std::set<std::string> &unforwardedHeaders()
{
    static const std::set<std::string> names {
        "authorization",
        "proxy-authorization",
        "cookie",
        "x-api-key",
        "api-key",
        "host",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "content-type",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "traceparent",
        "idempotency-key",
        "x-attempt",
        "x-prefix-blocks",
        "x-request-ran",
        "x-resume-from",
    };
    return names;
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Returns the address of the callers' listener of instance @p name, or "" if it is unknown.
std::string callersAddressOf(const traffic_snapshot &snapshot, std::string_view name)
{
    for (const member &each : snapshot.members) {
        if (each.info.name == name)
            return each.info.callers;
    }
    return {};
}

Json::Value errorBody(const refuse_decision &refusal, const std::string &redirectTo)
{
    Json::Value body(Json::objectValue);
    Json::Value &item = body["error"];
    item["message"] = refusal.message;
    item["type"] = refusal.status < 500 ? "invalid_request_error" : "server_error";
    if (refusal.status == 429)
        item["type"] = "rate_limit_error";
    item["code"] = refusal.code;
    item["ran"] = refusal.mayHaveRun ? requestRanUnknown : requestNotRun;
    if (!redirectTo.empty())
        item["entry"] = redirectTo;
    return body;
}

/// Returns whether the body of @p request is chunked, or framed in a way that POCO doesn't know.
bool hasTransferEncoding(const Poco::Net::HTTPServerRequest &request)
{
    return request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
}

/// Returns whether @p request announces a body.
bool hasBody(const Poco::Net::HTTPServerRequest &request)
{
    return hasTransferEncoding(request)
        || (request.hasContentLength() && request.getContentLength64() > 0);
}

/// Writes responses to a caller's HTTP connection.
class http_response_writer : public response_writer
{
public:
    http_response_writer(Poco::Net::HTTPServerRequest &request,
                         Poco::Net::HTTPServerResponse &response, const traffic_snapshot &snapshot)
        : m_request(request), m_response(response), m_snapshot(snapshot),
          m_isBodyUnread(hasBody(request))
    {
        // POCO leaves the trailer fields of a chunked body unread.
        if (hasTransferEncoding(request))
            m_response.setKeepAlive(false);
    }

    /// Records that the request's body was read to its end.
    void recordBodyRead() { m_isBodyUnread = false; }

    void sendResponse(int status, const std::string &contentType, const std::string &body) override
    {
        if (m_isBodyUnread)
            endConnection();
        m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        m_response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_response.getStatus()));
        m_response.setContentType(contentType);
        m_response.sendBuffer(body.data(), body.size());
    }

    void startStream() override
    {
        m_response.setContentType("text/event-stream");
        m_response.set("Cache-Control", "no-cache");
        m_response.setChunkedTransferEncoding(true);
        m_stream = &m_response.send();
    }

    bool sendEvent(std::string_view id, std::string_view data) override
    {
        if (!id.empty())
            *m_stream << "id: " << id << "\n";
        *m_stream << "data: " << data << "\n\n" << std::flush;
        return m_stream->good();
    }

    void refuse(const refuse_decision &refusal) override
    {
        const std::string body =
            writeJson(errorBody(refusal, callersAddressOf(m_snapshot, refusal.redirectTo)));
        if (m_stream) {
            // No end marker is sent, so the caller can detect the incomplete stream.
            sendEvent("", body);
            return;
        }
        m_response.set(requestRanHeader, refusal.mayHaveRun ? requestRanUnknown : requestNotRun);
        if (refusal.retryAfter > duration::zero() || refusal.status == 429
            || refusal.status == 503) {
            const double seconds = std::max(1.0, std::ceil(toSeconds(refusal.retryAfter)));
            m_response.set("Retry-After", std::to_string(static_cast<int>(seconds)));
        }
        sendResponse(refusal.status, "application/json", body);
    }

    bool isDisconnected() override
    {
        Poco::Net::StreamSocket &socket =
            static_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket();
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        // A readable socket with no data available means that the caller closed the connection.
        return socket.available() == 0;
    }

private:
    /// Makes the connection end with the response: what is left of the body would be taken for the
    /// caller's next request. Reads the body for a while, since a connection that is closed with
    /// unread bytes is reset, which may cost the caller the response.
    void endConnection()
    {
        m_response.setKeepAlive(false);
        static_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket().setReceiveTimeout(
            toTimespan(unreadBodyTimeout));
        discardBody(m_request.stream(), boot_clock::now() + unreadBodyTimeout);
    }

    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    const traffic_snapshot &m_snapshot;
    bool m_isBodyUnread;
    std::ostream *m_stream = nullptr;
};

/// Serves one caller request: authentication, validation and forwarding.
class callers_handler : public Poco::Net::HTTPRequestHandler
{
public:
    callers_handler(const proxy_context &context, const settings &instanceSettings)
        : m_context(context), m_settings(instanceSettings)
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        m_snapshot = m_context.control.snapshot();
        http_response_writer writer(request, response, *m_snapshot);
        try {
            serve(request, writer);
        } catch (const std::exception &exception) {
            // The caller's connection failed, so no error response can be sent.
            logDebug("callers", std::string("connection to a caller failed: ") + exception.what());
            response.setKeepAlive(false);
        }
    }

private:
    void serve(Poco::Net::HTTPServerRequest &request, http_response_writer &writer)
    {
        const Poco::URI uri(request.getURI());
        const std::string &path = uri.getPath();
        const std::string trace = request.get("traceparent", "");
        const std::optional<trace_context> parent = parseTraceparent(trace);
        m_trace = parent ? childOf(*parent) : newTrace();
        const std::uint64_t startedAt = wallMilliseconds();
        if (path == "/v1/entry")
            serveEntry(request, uri, writer);
        else if (path == "/v1/models")
            serveModelList(request, writer);
        else if (path == "/v1/chat/completions" || path == "/v1/completions")
            serveModelRequest(request, path, writer);
        else
            servePathRequest(request, path, writer);
        if (m_context.spans.isEnabled())
            m_context.spans.add({.context = m_trace,
                                 .parentSpanId = parent ? parent->spanId : 0,
                                 .name = "caller " + path,
                                 .startMilliseconds = startedAt,
                                 .endMilliseconds = wallMilliseconds(),
                                 .attributes = {{"team", m_team}}});
    }

    /// Sets m_keyDigest to the digest of the caller's key and m_team to its team. Refuses the
    /// request and returns false if the key is missing or invalid, or its validity can't be
    /// verified at the moment.
    bool authenticate(const Poco::Net::HTTPServerRequest &request, http_response_writer &writer)
    {
        const std::string header = request.get("Authorization", "");
        if (!header.starts_with(bearerScheme)) {
            writer.refuse({.status = 401, .code = "no-key", .message = "a key is needed"});
            return false;
        }
        m_keyDigest = keyDigest(std::string_view(header).substr(std::strlen(bearerScheme)));
        if (!m_snapshot->attached) {
            writer.refuse({.status = 503,
                           .code = "cut-off",
                           .message = "this instance can't tell whether the key is still good",
                           .retryAfter = std::chrono::seconds(1)});
            return false;
        }
        const auto found = m_snapshot->configuration->keys.find(m_keyDigest);
        if (found == m_snapshot->configuration->keys.end()) {
            writer.refuse({.status = 401, .code = "bad-key", .message = "the key is not known"});
            return false;
        }
        m_team = found->second.team;
        return true;
    }

    /// Returns whether the caller may use @p target; refuses the request if not.
    bool authorize(const Poco::Net::HTTPServerRequest &request, const route &target,
                   http_response_writer &writer)
    {
        if (target.open)
            return true;
        if (!authenticate(request, writer))
            return false;
        const bool isAllowed =
            std::find(target.teams.begin(), target.teams.end(), m_team) != target.teams.end();
        if (!isAllowed)
            writer.refuse(
                {.status = 403,
                 .code = "not-allowed",
                 .message = "team \"" + m_team + "\" may not use route \"" + target.name + "\""});
        return isAllowed;
    }

    /// Returns whether the instance has a configuration; refuses the request if not.
    bool checkReady(http_response_writer &writer)
    {
        if (m_snapshot->ready)
            return true;
        writer.refuse({.status = 503,
                       .code = "not-ready",
                       .message = "this instance has no configuration yet",
                       .retryAfter = std::chrono::seconds(1)});
        return false;
    }

    /// Responds with the instances that the caller should use, in order of preference.
    void serveEntry(Poco::Net::HTTPServerRequest &request, const Poco::URI &uri,
                    http_response_writer &writer)
    {
        if (!checkReady(writer))
            return;
        const route_table &routes = m_snapshot->configuration->routes;
        const route *target = nullptr;
        for (const std::pair<std::string, std::string> &parameter : uri.getQueryParameters()) {
            if (parameter.first == "model")
                target = routes.findByModel(parameter.second);
            else if (parameter.first == "path")
                target = routes.findByPath(parameter.second);
        }
        const bool isOpen = target && target->open;
        if (!isOpen && !authenticate(request, writer))
            return;
        double totalRate = 0;
        for (const team &each : routes.teams)
            totalRate += static_cast<double>(each.rate);
        const team *ownTeam = routes.findTeam(m_team);
        const double rate = ownTeam ? static_cast<double>(ownTeam->rate) : 0;
        const auto owner = m_snapshot->shardOwners.find(shardKey(m_team, m_snapshot->limitShards));
        const std::vector<member> rankedInstances = rankInstancesForCaller(
            m_snapshot->members,
            {.team = m_team.empty() && target ? std::string_view(target->name) : m_team,
             .caller = m_keyDigest,
             .owner = owner == m_snapshot->shardOwners.end() ? std::string_view() : owner->second,
             .zone = m_settings.zone,
             .subsetSize = discoverySubsetSize(rate, totalRate, m_snapshot->members.size())});
        Json::Value response(Json::objectValue);
        response["validity_seconds"] = Json::Int64(toMilliseconds(entryResponseTtl) / 1000);
        response["entries"] = Json::Value(Json::arrayValue);
        for (const member &each : rankedInstances) {
            Json::Value entry(Json::objectValue);
            entry["address"] = each.info.callers;
            entry["zone"] = each.info.zone;
            response["entries"].append(std::move(entry));
        }
        writer.sendResponse(200, "application/json", writeJson(response));
    }

    void serveModelList(Poco::Net::HTTPServerRequest &request, http_response_writer &writer)
    {
        if (!checkReady(writer) || !authenticate(request, writer))
            return;
        Json::Value response(Json::objectValue);
        response["object"] = "list";
        response["data"] = Json::Value(Json::arrayValue);
        for (const route &each : m_snapshot->configuration->routes.routes) {
            const bool isAllowed = each.open
                || std::find(each.teams.begin(), each.teams.end(), m_team) != each.teams.end();
            if (each.model.empty() || !isAllowed)
                continue;
            Json::Value entry(Json::objectValue);
            entry["id"] = each.model;
            entry["object"] = "model";
            entry["owned_by"] = "trefoilrouter";
            response["data"].append(std::move(entry));
        }
        writer.sendResponse(200, "application/json", writeJson(response));
    }

    /// Reads the request body into m_body. Refuses the request and returns false if the body is too
    /// long or, with a Content-Length, incomplete or too slow.
    bool readCallerBody(Poco::Net::HTTPServerRequest &request, http_response_writer &writer)
    {
        const std::size_t maxBytes = static_cast<std::size_t>(m_settings.maxBodyBytes);
        const bool isTooLong =
            request.hasContentLength() && request.getContentLength64() > m_settings.maxBodyBytes;
        bool isWithinLimit = !isTooLong;
        if (isWithinLimit && request.hasContentLength()) {
            const std::size_t length = static_cast<std::size_t>(request.getContentLength64());
            m_body.reserve(length + requestPadding);
            m_body.resize(length);
            if (!readBodyOfLength(request.stream(), writer))
                return false;
        } else if (isWithinLimit) {
            isWithinLimit = readBody(request.stream(), maxBytes,
                                     boot_clock::now() + m_settings.callerTimeout, m_body);
            m_body.reserve(m_body.size() + requestPadding);
        }
        if (!isWithinLimit)
            writer.refuse({.status = 413,
                           .code = "body-too-long",
                           .message = "the body is longer than "
                               + std::to_string(m_settings.maxBodyBytes) + " bytes"});
        else
            writer.recordBodyRead();
        return isWithinLimit;
    }

    /// Fills m_body from @p input. Refuses the request and returns false if the body ends early or
    /// does not arrive before the deadline: a caller that trickles bytes would otherwise occupy
    /// this thread indefinitely.
    bool readBodyOfLength(std::istream &input, http_response_writer &writer)
    {
        const timestamp deadline = boot_clock::now() + m_settings.callerTimeout;
        std::size_t filled = 0;
        while (filled < m_body.size()) {
            const std::size_t count = readAvailable(input, std::span(m_body).subspan(filled));
            filled += count;
            if (count > 0 && boot_clock::now() < deadline)
                continue;
            if (filled == m_body.size())
                break;
            writer.refuse({.status = count == 0 ? 400 : 408,
                           .code = count == 0 ? "body-cut" : "too-slow",
                           .message = count == 0 ? "the body ended before its length"
                                                 : "the body did not come in time"});
            return false;
        }
        return true;
    }

    /// Returns the caller's headers that are forwarded to the backend server.
    std::vector<std::pair<std::string, std::string>>
    forwardedHeaders(const Poco::Net::HTTPServerRequest &request) const
    {
        std::vector<std::pair<std::string, std::string>> headers;
        for (auto it = request.begin(); it != request.end(); ++it) {
            if (!unforwardedHeaders().contains(toLower(it->first)))
                headers.emplace_back(it->first, it->second);
        }
        return headers;
    }

    void serveModelRequest(Poco::Net::HTTPServerRequest &request, const std::string &path,
                           http_response_writer &writer)
    {
        if (!checkReady(writer) || !readCallerBody(request, writer))
            return;
        const result<chat_request> chat = readChatRequest(m_body);
        if (!chat) {
            writer.refuse(
                {.status = 400, .code = chat.error().code, .message = chat.error().message});
            return;
        }
        const configuration_snapshot &configuration = *m_snapshot->configuration;
        const route *target = configuration.routes.findByModel(chat->model);
        if (!target) {
            writer.refuse({.status = 404,
                           .code = "no-model",
                           .message = "model \"" + chat->model + "\" does not exist"});
            return;
        }
        if (!authorize(request, *target, writer) || !checkMaxTokens(*chat, *target, writer))
            return;
        proxy_request forwarded = makeProxyRequest(request, *target);
        forwarded.path = path;
        forwarded.isModel = true;
        forwarded.stream = chat->stream;
        forwarded.incoming.chain = buildPrefixChain(*chat, m_team);
        forwarded.incoming.body = digestOf(m_body);
        forwarded.promptTokens = forwarded.incoming.chain.tokens;
        const std::int64_t maxAnswerTokens =
            chat->maxTokens > 0 ? chat->maxTokens : target->maxAnswerTokens;
        if (!target->open)
            forwarded.incoming.tokens =
                forwarded.promptTokens + static_cast<double>(maxAnswerTokens);
        body_segments backendBody;
        if (forwarded.targetPool)
            makeBackendBody(m_body, *chat, forwarded.targetPool->model, maxAnswerTokens,
                            backendBody);
        forwarded.body = backendBody.segments;
        run(std::move(forwarded), writer);
    }

    /// Returns whether max_tokens is within the limit of @p target; refuses the request if not.
    bool checkMaxTokens(const chat_request &chat, const route &target, http_response_writer &writer)
    {
        if (chat.maxTokens <= target.maxAnswerTokens)
            return true;
        writer.refuse({.status = 400,
                       .code = "too-many-tokens",
                       .message = "max_tokens " + std::to_string(chat.maxTokens) + " is above the "
                           + std::to_string(target.maxAnswerTokens) + " of route \"" + target.name
                           + "\""});
        return false;
    }

    void servePathRequest(Poco::Net::HTTPServerRequest &request, const std::string &path,
                          http_response_writer &writer)
    {
        if (!checkReady(writer))
            return;
        const route *target = m_snapshot->configuration->routes.findByPath(path);
        if (!target) {
            writer.refuse({.status = 404,
                           .code = "no-route",
                           .message = "no route serves path \"" + path + "\""});
            return;
        }
        if (!authorize(request, *target, writer) || !readCallerBody(request, writer))
            return;
        proxy_request forwarded = makeProxyRequest(request, *target);
        forwarded.method = request.getMethod();
        forwarded.path = request.getURI();
        forwarded.contentType = request.getContentType();
        const std::array<std::string_view, 1> segments {m_body};
        forwarded.body.assign(segments.begin(), segments.end());
        forwarded.incoming.body =
            digestOf(m_body, digestOf(forwarded.method + " " + forwarded.path));
        // GET and HEAD are idempotent even on a route that is not.
        if (forwarded.method == "GET" || forwarded.method == "HEAD")
            forwarded.incoming.idempotent = true;
        if (!forwarded.incoming.idempotent)
            forwarded.incoming.idempotencyKey = request.get(idempotencyHeader, "");
        run(std::move(forwarded), writer);
    }

    proxy_request makeProxyRequest(const Poco::Net::HTTPServerRequest &request, const route &target)
    {
        proxy_request forwarded;
        forwarded.incoming.id = m_context.control.newRequestId();
        forwarded.incoming.team = target.open ? std::string() : m_team;
        forwarded.incoming.route = target.name;
        forwarded.incoming.pool = target.pool;
        forwarded.incoming.idempotent = target.idempotent;
        forwarded.targetPool = m_snapshot->configuration->pools.findPool(target.pool);
        forwarded.headers = forwardedHeaders(request);
        forwarded.trace = m_trace;
        return forwarded;
    }

    void run(proxy_request forwarded, http_response_writer &writer)
    {
        if (!forwarded.targetPool) {
            writer.refuse({.status = 503,
                           .code = "no-pool",
                           .message = "pool \"" + forwarded.incoming.pool + "\" does not exist",
                           .retryAfter = std::chrono::seconds(1)});
            return;
        }
        m_context.metrics
            .counterOf("trefoil_requests_total", "route=\"" + forwarded.incoming.route + "\"")
            .add();
        gauge &open = m_context.metrics.gaugeOf("trefoil_requests_open");
        open.add(1);
        proxy(m_context, std::move(forwarded), writer).run();
        open.add(-1);
    }

    const proxy_context &m_context;
    const settings &m_settings;
    std::shared_ptr<const traffic_snapshot> m_snapshot;
    std::string m_body;
    std::string m_team;
    std::string m_keyDigest;
    trace_context m_trace;
};

class callers_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    callers_handler_factory(const proxy_context &context, const settings &instanceSettings)
        : m_context(context), m_settings(instanceSettings)
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new callers_handler(m_context, m_settings); // owned by the HTTP server
    }

private:
    proxy_context m_context;
    const settings &m_settings;
};

} // namespace

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
makeCallersHandlerFactory(const proxy_context &context, const settings &instanceSettings)
{
    return new callers_handler_factory(context, instanceSettings);
}

} // namespace trefoil
