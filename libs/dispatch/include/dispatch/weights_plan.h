#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <dispatch/serving_tables.h>

namespace trefoil {

/// An order to a backend server to load newer weights.
struct weights_order
{
    std::string server;
    endpoint address;
    std::string model;
    std::uint64_t version = 0;
    /// Number of orders that the server must have accepted before, so that an order delayed in
    /// transit can't override a newer one.
    std::uint64_t expectedOrders = 0;
    /// Fencing token: epoch of the leader lease under which the order is sent.
    std::uint64_t epoch = 0;
};

/// A load of weights that is complete.
struct completed_load
{
    std::string server;
    std::string model;
    std::uint64_t version = 0;
    /// Time since the order, including that in which the server finished its running requests.
    duration time {};
};

/// Answer of a server to an order.
enum class order_answer {
    /// The server loads the ordered weights.
    Accepted,
    /// Another order is in progress, the server has accepted a different number of orders than
    /// expected, or the order is already in effect. The order state must be read again.
    Conflict,
    /// The connection was refused, another server answers at the address, or the server answered
    /// with an error.
    Refused,
    /// No answer: the order may be executed now, later or never.
    Unknown
};

/// State of its orders that a server reports.
struct order_state
{
    std::uint64_t acceptedOrders = 0;
    bool isBusy = false;
    std::map<std::string, std::uint64_t, std::less<>> weights;
};

/// Options of a weights plan.
struct weights_plan_options
{
    /// Share of a pool that may load concurrently. More loads slow each other down and leave too
    /// few servers for requests.
    double maxLoadingShare = 0.2;
    /// Number of servers that may always load concurrently in a pool, however small its share.
    int minConcurrentLoads = 3;
    /// Usual duration of a load, after which the server is polled.
    duration pollDelay = std::chrono::milliseconds(1300);
    /// Time between polls of a loading server.
    duration pollInterval = std::chrono::milliseconds(300);
    /// Time after which an order without a result counts as lost. A server first finishes its
    /// running requests, which may take seconds.
    duration orderTimeout = std::chrono::seconds(6);
    /// Wait after a refusal or a missing answer before the server is polled again.
    duration retryAfter = std::chrono::milliseconds(500);
};

/// Rolls the target weights out to all servers of a model, to a share of each pool at a time, in
/// order of the oldest weights and then the least load. Run only by the leader. A pure state
/// machine; not thread-safe.
///
/// Handles several target versions set within seconds under load: superseded versions are skipped,
/// and enough servers stay in service to take the load.
class weights_plan
{
public:
    explicit weights_plan(const weights_plan_options &options) : m_options(options) { }

    /// Actions that are due.
    struct actions
    {
        std::vector<weights_order> orders;
        /// Servers whose order state must be read, because a load may be complete or the number of
        /// accepted orders is unknown.
        std::vector<registered_server> serversToPoll;
        /// Those whose last call failed. They may take the whole timeout again, so the others must
        /// not wait for them.
        std::vector<registered_server> failingServersToPoll;
        /// Loads found complete since the last call.
        std::vector<completed_load> completed;
    };

    /// Input of the plan.
    struct inputs
    {
        /// All known servers with the weights that they are assumed to run.
        std::span<const registered_server> servers;
        /// Number of running requests by server.
        std::map<std::string, int, std::less<>> running;
        /// Newest target version of the weights, by model.
        std::map<std::string, std::uint64_t, std::less<>> targetWeights;
        /// Servers to which a previous leader may have sent an order recently, with the time until
        /// which they get no orders from this one.
        std::map<std::string, timestamp, std::less<>> blockedUntil;
        /// Servers that this instance can't reach; they are neither polled nor sent orders.
        std::set<std::string, std::less<>> unreachable;
    };

    /// Returns the actions due at @p now. @p epoch goes with each order.
    actions next(timestamp now, std::uint64_t epoch, const inputs &input);
    /// Takes the answer to an order.
    void onAnswer(timestamp now, std::string_view server, order_answer answer);
    /// Takes the order state that @p server reported; @p state is null if it didn't answer.
    void onState(timestamp now, std::string_view server, const order_state *state);
    /// Clears all progress. Call when this instance has become the leader.
    void reset() { m_progress.clear(); }

    /// Returns the servers that have an order in progress.
    std::vector<std::string> loading() const;

private:
    enum class stage { Idle, Ordered, Loading };
    /// Progress of one server's order.
    struct progress
    {
        std::uint64_t startedAtMs = 0;
        stage current = stage::Idle;
        std::string model;
        std::uint64_t version = 0;
        bool isOrderCountKnown = false;
        std::uint64_t acceptedOrders = 0;
        /// Time at which the order was sent.
        timestamp orderedAt;
        /// Time at which the order was sent or accepted.
        timestamp since;
        /// Time until which the server is neither polled nor sent an order.
        timestamp notBefore;
        bool isPolling = false;
        bool wasPolled = false;
        /// Whether the last call to the server brought no answer.
        bool hasFailed = false;
    };

    progress &progressOf(const registered_server &server);
    static void poll(const registered_server &server, progress &state, actions &due);

    weights_plan_options m_options;
    std::map<std::string, progress, std::less<>> m_progress;
};

} // namespace trefoil
