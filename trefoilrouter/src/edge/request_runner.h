#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <adapter/headers.h>
#include <core/digest.h>
#include <http/byte_stream.h>
#include <http/chunked.h>
#include <http/event_cutter.h>
#include <http/message.h>

#include "edge/edge_state.h"
#include "edge/server_connections.h"

namespace trefoil {

/// A caller's request, read whole.
struct caller_request
{
    request_head head;
    std::string body;
    /// When its head was complete; the caller's patience counts from here.
    timestamp receivedAt;
};

/// Serves one request of a caller: routes it, checks key and limit, places it on a backend server,
/// passes the answer on as it comes, and sends it elsewhere only where that can't run it twice.
/// Used by one thread.
class request_runner
{
public:
    /// Precondition: all arguments outlive this object. @p closes tells that the connection ends
    /// after the answer.
    request_runner(edge_state &state, server_connections &connections, byte_stream &caller,
                   const caller_request &request, bool closes);

    /// Serves the request. Returns whether the connection may carry another one.
    bool run();

private:
    /// How an attempt at a backend server ended.
    enum class attempt_end {
        /// The whole answer went to the caller.
        Delivered,
        /// The server said that it did not run the request, or nothing reached it.
        NotRun,
        /// The server answered a repeatable request with a failure, kept in m_answer.
        Failed,
        /// The connection broke, stayed silent or carried no answer.
        Broken,
        CallerLeft,
        TimedOut,
        /// The caller's side broke.
        CallerBroken
    };

    /// State of one attempt.
    struct attempt
    {
        server_placement placed;
        std::uint64_t ticket = 0;
        std::optional<byte_stream> stream;
        response_head head;
        server_answer_fields fields;
        body_framing framing;
        chunked_decoder chunks;
        std::uint64_t bodyBytes = 0;
        /// Whether the other side ended the connection in order.
        bool hasEnded = false;
        bool wasSent = false;
        bool hasEvents = false;
        /// Whether it counts among the runs: the server may have begun the request.
        bool isCounted = false;
        timestamp sentAt;
    };

    struct refusal
    {
        int status = 0;
        const char *reason = "";
        std::optional<duration> retryAfter;
    };

    std::optional<refusal> admit();
    std::optional<refusal> checkLimit(timestamp now);
    void chooseService();
    std::optional<refusal> serve();
    std::optional<refusal> finalRefusal(attempt_end end) const;
    std::optional<server_placement> place(timestamp now);
    bool isTooLate(timestamp now, const server_placement &placed) const;
    bool mayGoElsewhere(attempt_end end, const attempt &last);

    attempt_end runAttempt(attempt &current);
    attempt_end send(attempt &current);
    attempt_end readHead(attempt &current);
    attempt_end takeRejection(attempt &current);
    attempt_end readBody(attempt &current, std::string &body);
    attempt_end passWhole(attempt &current);
    attempt_end passStream(attempt &current);
    bool deliverEvents(attempt &current, const std::string &events, bool isLast);
    void countRun(attempt &current);
    read_outcome waitForBytes(attempt &current);
    /// Returns how an attempt ends for an outcome that brought no bytes.
    static attempt_end endFor(read_outcome outcome);
    void keepConnection(attempt &current);
    void finish(attempt &current, attempt_end end);
    void noteCrash(const attempt &current);
    void noteRelease(const attempt &current, attempt_end end);

    bool writeOwn(const refusal &why);
    bool writeAnswer();
    request_profile work() const;
    bool mayRepeat() const { return m_route->mayRepeat(); }
    void logUnplaced(timestamp now, const std::optional<server_placement> &best) const;
    void logPlaced(const attempt &current) const;
    void logAttemptEnd(const attempt &current, attempt_end end) const;
    void logEnd(std::string_view outcome, int status) const;

    edge_state &m_state;
    server_connections &m_connections;
    byte_stream &m_caller;
    const caller_request &m_request;
    bool m_closes;

    std::shared_ptr<const serving_tables> m_tables;
    caller_fields m_fields;
    const served_route *m_route = nullptr;
    const served_team *m_team = nullptr;
    std::string m_service;
    double m_cost = 0;
    timestamp m_deadline;
    digest128 m_bodyDigest;
    std::vector<std::string> m_tried;
    std::vector<std::string> m_barredReleases;
    int m_runs = 0;
    bool m_headSent = false;
    bool m_isChunked = false;
    event_cutter m_events;
    /// Whole answer of a server; a failure is passed on if no other server does better.
    std::optional<std::pair<response_head, std::string>> m_answer;
    int m_status = 0;
};

} // namespace trefoil
