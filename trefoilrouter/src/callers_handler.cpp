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

namespace trefoil {

namespace {

constexpr const char *bearer = "Bearer ";
constexpr const char *idempotencyHeader = "Idempotency-Key";

/// Headers of callers that go no further: what belongs to the connection, what this process sets
/// itself, and everything that may hold the caller's key.
const std::set<std::string> &droppedHeaders()
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
        "x-resume-from",
    };
    return names;
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Returns the callers' address of the instance @p name, or "" where it is not known.
std::string addressOf(const traffic_snapshot &snapshot, std::string_view name)
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
    item["ran"] = refusal.mayHaveRun ? ranUnknown : notRun;
    if (!redirectTo.empty())
        item["entry"] = redirectTo;
    return body;
}

/// Writes to the connection of a caller.
class http_sink : public answer_sink
{
public:
    http_sink(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
              const traffic_snapshot &snapshot)
        : m_request(request), m_response(response), m_snapshot(snapshot)
    { }

    void whole(int status, const std::string &contentType, const std::string &body) override
    {
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

    bool event(std::string_view id, std::string_view data) override
    {
        if (!id.empty())
            *m_stream << "id: " << id << "\n";
        *m_stream << "data: " << data << "\n\n" << std::flush;
        return m_stream->good();
    }

    void refuse(const refuse_decision &refusal) override
    {
        const std::string body =
            writeJson(errorBody(refusal, addressOf(m_snapshot, refusal.redirectTo)));
        if (m_stream) {
            // The end marker stays out, so the caller can tell that the stream is not complete.
            event("", body);
            return;
        }
        m_response.set(ranHeader, refusal.mayHaveRun ? ranUnknown : notRun);
        if (refusal.retryAfter > duration::zero() || refusal.status == 429
            || refusal.status == 503) {
            const double seconds = std::max(1.0, std::ceil(toSeconds(refusal.retryAfter)));
            m_response.set("Retry-After", std::to_string(static_cast<int>(seconds)));
        }
        whole(refusal.status, "application/json", body);
    }

    bool isGone() override
    {
        Poco::Net::StreamSocket &socket =
            static_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket();
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        // Readable without data means that the caller closed the connection.
        return socket.available() == 0;
    }

private:
    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    const traffic_snapshot &m_snapshot;
    std::ostream *m_stream = nullptr;
};

/// Serves one request of a caller.
class callers_handler : public Poco::Net::HTTPRequestHandler
{
public:
    callers_handler(const proxy_parts &parts, const settings &options)
        : m_parts(parts), m_options(options)
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        m_snapshot = m_parts.control.snapshot();
        http_sink sink(request, response, *m_snapshot);
        try {
            serve(request, sink);
        } catch (const std::exception &problem) {
            // A caller whose connection broke; there is nobody left to tell.
            logDebug("callers", std::string("a connection ended: ") + problem.what());
            response.setKeepAlive(false);
        }
    }

private:
    void serve(Poco::Net::HTTPServerRequest &request, http_sink &sink)
    {
        const Poco::URI uri(request.getURI());
        const std::string &path = uri.getPath();
        const std::string trace = request.get("traceparent", "");
        const std::optional<trace_context> parent = parseTraceparent(trace);
        m_trace = parent ? childOf(*parent) : newTrace();
        const std::uint64_t startedAt = wallMilliseconds();
        if (path == "/v1/entry")
            serveEntry(request, uri, sink);
        else if (path == "/v1/models")
            serveModels(request, sink);
        else if (path == "/v1/chat/completions" || path == "/v1/completions")
            serveModel(request, path, sink);
        else
            servePath(request, path, sink);
        if (m_parts.spans.isEnabled())
            m_parts.spans.add({.context = m_trace,
                               .parentSpanId = parent ? parent->spanId : 0,
                               .name = "caller " + path,
                               .startMilliseconds = startedAt,
                               .endMilliseconds = wallMilliseconds(),
                               .attributes = {{"team", m_team}}});
    }

    /// Finds the team of the caller's key. Returns false, having refused, where there is none.
    bool authenticate(const Poco::Net::HTTPServerRequest &request, http_sink &sink)
    {
        const std::string header = request.get("Authorization", "");
        if (!header.starts_with(bearer)) {
            sink.refuse({.status = 401, .code = "no-key", .message = "a key is needed"});
            return false;
        }
        m_keyDigest = keyDigest(std::string_view(header).substr(std::strlen(bearer)));
        if (!m_snapshot->attached) {
            sink.refuse({.status = 503,
                         .code = "cut-off",
                         .message = "this instance can't tell whether the key is still good",
                         .retryAfter = std::chrono::seconds(1)});
            return false;
        }
        const auto found = m_snapshot->configuration->keys.find(m_keyDigest);
        if (found == m_snapshot->configuration->keys.end()) {
            sink.refuse({.status = 401, .code = "bad-key", .message = "the key is not known"});
            return false;
        }
        m_team = found->second.team;
        return true;
    }

    /// Checks that the caller may use @p target. Returns false, having refused, where it may not.
    bool authorize(const Poco::Net::HTTPServerRequest &request, const route &target,
                   http_sink &sink)
    {
        if (target.open)
            return true;
        if (!authenticate(request, sink))
            return false;
        const bool allowed =
            std::find(target.teams.begin(), target.teams.end(), m_team) != target.teams.end();
        if (!allowed)
            sink.refuse(
                {.status = 403,
                 .code = "not-allowed",
                 .message = "team \"" + m_team + "\" may not use route \"" + target.name + "\""});
        return allowed;
    }

    bool checkReady(http_sink &sink)
    {
        if (m_snapshot->ready)
            return true;
        sink.refuse({.status = 503,
                     .code = "not-ready",
                     .message = "this instance has no configuration yet",
                     .retryAfter = std::chrono::seconds(1)});
        return false;
    }

    void serveEntry(Poco::Net::HTTPServerRequest &request, const Poco::URI &uri, http_sink &sink)
    {
        if (!checkReady(sink))
            return;
        const route_table &routes = m_snapshot->configuration->routes;
        const route *target = nullptr;
        for (const std::pair<std::string, std::string> &parameter : uri.getQueryParameters()) {
            if (parameter.first == "model")
                target = routes.byModel(parameter.second);
            else if (parameter.first == "path")
                target = routes.byPath(parameter.second);
        }
        const bool isOpen = target && target->open;
        if (!isOpen && !authenticate(request, sink))
            return;
        double rates = 0;
        for (const team &each : routes.teams)
            rates += static_cast<double>(each.rate);
        const team *own = routes.teamNamed(m_team);
        const double rate = own ? static_cast<double>(own->rate) : 0;
        const auto owner = m_snapshot->shardOwners.find(shardKey(m_team, m_snapshot->limitShards));
        const std::vector<member> order = rankInstancesForCaller(
            m_snapshot->members,
            {.team = m_team.empty() && target ? std::string_view(target->name) : m_team,
             .caller = m_keyDigest,
             .owner = owner == m_snapshot->shardOwners.end() ? std::string_view() : owner->second,
             .zone = m_options.zone,
             .subsetSize = discoverySubsetSize(rate, rates, m_snapshot->members.size())});
        Json::Value answer(Json::objectValue);
        answer["validity_seconds"] = Json::Int64(toMilliseconds(entryValidity) / 1000);
        answer["entries"] = Json::Value(Json::arrayValue);
        for (const member &each : order) {
            Json::Value entry(Json::objectValue);
            entry["address"] = each.info.callers;
            entry["zone"] = each.info.zone;
            answer["entries"].append(std::move(entry));
        }
        sink.whole(200, "application/json", writeJson(answer));
    }

    void serveModels(Poco::Net::HTTPServerRequest &request, http_sink &sink)
    {
        if (!checkReady(sink) || !authenticate(request, sink))
            return;
        Json::Value answer(Json::objectValue);
        answer["object"] = "list";
        answer["data"] = Json::Value(Json::arrayValue);
        for (const route &each : m_snapshot->configuration->routes.routes) {
            const bool allowed = each.open
                || std::find(each.teams.begin(), each.teams.end(), m_team) != each.teams.end();
            if (each.model.empty() || !allowed)
                continue;
            Json::Value entry(Json::objectValue);
            entry["id"] = each.model;
            entry["object"] = "model";
            entry["owned_by"] = "trefoilrouter";
            answer["data"].append(std::move(entry));
        }
        sink.whole(200, "application/json", writeJson(answer));
    }

    /// Reads the request's body into m_body. Returns false, having refused, where it is too long.
    bool readCallerBody(Poco::Net::HTTPServerRequest &request, http_sink &sink)
    {
        const std::size_t most = static_cast<std::size_t>(m_options.maxBodyBytes);
        const bool tooLong =
            request.hasContentLength() && request.getContentLength64() > m_options.maxBodyBytes;
        bool whole = !tooLong;
        if (whole && request.hasContentLength()) {
            const std::size_t length = static_cast<std::size_t>(request.getContentLength64());
            m_body.reserve(length + requestPadding);
            m_body.resize(length);
            if (!fillBody(request.stream(), sink))
                return false;
        } else if (whole) {
            whole = readBody(request.stream(), most, m_body);
            m_body.reserve(m_body.size() + requestPadding);
        }
        if (!whole)
            sink.refuse({.status = 413,
                         .code = "body-too-long",
                         .message = "the body is longer than "
                             + std::to_string(m_options.maxBodyBytes) + " bytes"});
        return whole;
    }

    /// Fills m_body from @p input. Returns false, having refused, where the caller sends too little
    /// or too slowly: a byte now and then would hold this thread for hours.
    bool fillBody(std::istream &input, http_sink &sink)
    {
        const timestamp deadline = boot_clock::now() + m_options.callerTimeout;
        std::size_t filled = 0;
        while (filled < m_body.size()) {
            const std::size_t count = readSome(input, std::span(m_body).subspan(filled));
            filled += count;
            if (count > 0 && boot_clock::now() < deadline)
                continue;
            if (filled == m_body.size())
                break;
            sink.refuse({.status = count == 0 ? 400 : 408,
                         .code = count == 0 ? "body-cut" : "too-slow",
                         .message = count == 0 ? "the body ended before its length"
                                               : "the body did not come in time"});
            return false;
        }
        return true;
    }

    std::vector<std::pair<std::string, std::string>>
    passedHeaders(const Poco::Net::HTTPServerRequest &request) const
    {
        std::vector<std::pair<std::string, std::string>> headers;
        for (auto it = request.begin(); it != request.end(); ++it) {
            if (!droppedHeaders().contains(lowered(it->first)))
                headers.emplace_back(it->first, it->second);
        }
        return headers;
    }

    void serveModel(Poco::Net::HTTPServerRequest &request, const std::string &path, http_sink &sink)
    {
        if (!checkReady(sink) || !readCallerBody(request, sink))
            return;
        const result<chat_request> chat = readChatRequest(m_body);
        if (!chat) {
            sink.refuse(
                {.status = 400, .code = chat.error().code, .message = chat.error().message});
            return;
        }
        const configuration_snapshot &configuration = *m_snapshot->configuration;
        const route *target = configuration.routes.byModel(chat->model);
        if (!target) {
            sink.refuse({.status = 404,
                         .code = "no-model",
                         .message = "model \"" + chat->model + "\" does not exist"});
            return;
        }
        if (!authorize(request, *target, sink) || !checkTokens(*chat, *target, sink))
            return;
        proxy_request next = startRequest(request, *target);
        next.path = path;
        next.isModel = true;
        next.stream = chat->stream;
        next.begin.chain = chainOf(*chat, m_team);
        next.begin.body = digestOf(m_body);
        next.promptTokens = next.begin.chain.tokens;
        const std::int64_t answerTokens =
            chat->maxTokens > 0 ? chat->maxTokens : target->maxAnswerTokens;
        if (!target->open)
            next.begin.tokens = next.promptTokens + static_cast<double>(answerTokens);
        body_pieces pieces;
        if (next.target)
            makeBackendBody(m_body, *chat, next.target->model, answerTokens, pieces);
        next.body = pieces.pieces;
        run(std::move(next), sink);
    }

    bool checkTokens(const chat_request &chat, const route &target, http_sink &sink)
    {
        if (chat.maxTokens <= target.maxAnswerTokens)
            return true;
        sink.refuse({.status = 400,
                     .code = "too-many-tokens",
                     .message = "max_tokens " + std::to_string(chat.maxTokens) + " is above the "
                         + std::to_string(target.maxAnswerTokens) + " of route \"" + target.name
                         + "\""});
        return false;
    }

    void servePath(Poco::Net::HTTPServerRequest &request, const std::string &path, http_sink &sink)
    {
        if (!checkReady(sink))
            return;
        const route *target = m_snapshot->configuration->routes.byPath(path);
        if (!target) {
            sink.refuse({.status = 404,
                         .code = "no-route",
                         .message = "no route serves path \"" + path + "\""});
            return;
        }
        if (!authorize(request, *target, sink) || !readCallerBody(request, sink))
            return;
        proxy_request next = startRequest(request, *target);
        next.method = request.getMethod();
        next.path = request.getURI();
        next.contentType = request.getContentType();
        const std::array<std::string_view, 1> whole {m_body};
        next.body.assign(whole.begin(), whole.end());
        next.begin.body = digestOf(m_body, digestOf(next.method + " " + next.path));
        // Reading changes nothing, whatever the route says of its other calls.
        if (next.method == "GET" || next.method == "HEAD")
            next.begin.idempotent = true;
        if (!next.begin.idempotent)
            next.begin.idempotencyKey = request.get(idempotencyHeader, "");
        run(std::move(next), sink);
    }

    proxy_request startRequest(const Poco::Net::HTTPServerRequest &request, const route &target)
    {
        proxy_request next;
        next.begin.id = m_parts.control.newRequestId();
        next.begin.team = target.open ? std::string() : m_team;
        next.begin.route = target.name;
        next.begin.pool = target.pool;
        next.begin.idempotent = target.idempotent;
        next.target = m_snapshot->configuration->pools.poolNamed(target.pool);
        next.headers = passedHeaders(request);
        next.trace = m_trace;
        return next;
    }

    void run(proxy_request next, http_sink &sink)
    {
        if (!next.target) {
            sink.refuse({.status = 503,
                         .code = "no-pool",
                         .message = "pool \"" + next.begin.pool + "\" does not exist",
                         .retryAfter = std::chrono::seconds(1)});
            return;
        }
        m_parts.metrics.counterOf("trefoil_requests_total", "route=\"" + next.begin.route + "\"")
            .add();
        gauge &open = m_parts.metrics.gaugeOf("trefoil_requests_open");
        open.add(1);
        proxy(m_parts, std::move(next), sink).run();
        open.add(-1);
    }

    const proxy_parts &m_parts;
    const settings &m_options;
    std::shared_ptr<const traffic_snapshot> m_snapshot;
    std::string m_body;
    std::string m_team;
    std::string m_keyDigest;
    trace_context m_trace;
};

class callers_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    callers_factory(const proxy_parts &parts, const settings &options)
        : m_parts(parts), m_options(options)
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new callers_handler(m_parts, m_options); // the server deletes it
    }

private:
    proxy_parts m_parts;
    const settings &m_options;
};

} // namespace

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> callersFactory(const proxy_parts &parts,
                                                                     const settings &options)
{
    return new callers_factory(parts, options);
}

} // namespace trefoil
