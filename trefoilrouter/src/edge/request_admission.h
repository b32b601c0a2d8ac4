#pragma once

#include <string_view>

#include <admission/admission_control.h>
#include <dispatch/load_balancer.h>

#include "edge/edge_state.h"

namespace trefoil {

class byte_stream;

/// Admission of one request under contract `pressure`; without the contract it decides nothing. Not
/// thread-safe.
class request_admission
{
public:
    /// Properties of the request that all decisions about it have in common.
    struct subject
    {
        std::string_view requestId;
        std::string_view service;
        std::string_view route;
        std::string_view team;
        /// Last shared part of the prompt, or "".
        std::string_view sharedPart;
        int rank = 0;
        duration target {};
        /// Time that the caller stated, or the route's timeout.
        duration statedTime {};
    };

    /// Precondition: @p state outlives this object.
    explicit request_admission(edge_state &state) : m_state(state) { }
    ~request_admission();
    request_admission(const request_admission &) = delete;
    request_admission &operator=(const request_admission &) = delete;

    /// Returns whether the contract is in force.
    bool isInForce() const;
    /// Decides about a request with @p timeLeft that would be sent to @p placed, and writes what
    /// isWaiting() and refusal() return. Call with the lock of @p routing. Returns whether the
    /// request may be sent.
    bool decide(timestamp now, routing_state &routing, const subject &request, duration timeLeft,
                const server_placement &placed);
    /// Decides about a request for which no server may be chosen. It waits if the servers of a
    /// service without a model have just rejected others because their slots were taken. Returns
    /// whether a decision was made; isWaiting() and refusal() return it.
    bool decideUnplaced(timestamp now, routing_state &routing, const subject &request,
                        duration timeLeft);
    /// Writes the log line and counts the metric of the last decision. Call without the lock.
    void log(const subject &request);
    /// Returns whether the request has to wait.
    bool isWaiting() const { return m_decision.what == admission_decision::kind::Wait; }
    /// Returns the last decision if it was a refusal, otherwise nullptr.
    const admission_decision *refusal() const
    {
        return m_decision.what == admission_decision::kind::Refuse ? &m_decision : nullptr;
    }
    /// Returns the rank with which the request is to be sent, whose own rank is @p rank.
    int sentRank(int rank) const { return m_wasAdmitted ? m_decision.rank : rank; }
    /// Waits as decided. Returns false if the caller has left.
    bool wait(const byte_stream &caller);

private:
    bool decide(timestamp now, routing_state &routing, const subject &request);
    void setWaiting(routing_state &routing, bool waits);

    edge_state &m_state;
    admission_decision m_decision;
    /// Inputs of the last decision, for the log.
    admission_request m_request;
    service_state m_service;
    /// When the request began to wait, if it waits or has waited.
    std::optional<timestamp> m_waitsSince;
    bool m_wasAdmitted = false;
    /// Whether the request is counted in routing_state::waitingRequests.
    bool m_isCounted = false;
};

} // namespace trefoil
