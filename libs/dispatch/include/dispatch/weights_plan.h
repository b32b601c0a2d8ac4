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

/// Order to a backend server to load newer weights.
struct weights_order
{
    std::string server;
    endpoint address;
    std::string model;
    std::uint64_t version = 0;
    /// Orders that the server must have accepted so far, so that an order that was delayed on its
    /// way can't undo a newer one.
    std::uint64_t expectedOrders = 0;
    std::uint64_t epoch = 0;
};

/// How a server answered an order.
enum class order_answer {
    /// It loads, or already runs what was ordered.
    Accepted,
    /// Another order is in progress, or it has accepted another number of orders than expected.
    Conflict,
    /// It runs as another server now, or refused for good.
    Refused,
    /// No answer: the order may be carried out now, later or never.
    Unknown
};

/// What a server reports of its orders.
struct order_state
{
    std::uint64_t acceptedOrders = 0;
    bool isBusy = false;
    std::map<std::string, std::uint64_t, std::less<>> weights;
};

/// Options of a plan.
struct weights_plan_options
{
    /// Part of a pool that may load at once: more slow each other down and leave too few servers
    /// for the load.
    double shareAtOnce = 0.2;
    /// Servers that may load at once in any pool.
    int leastAtOnce = 3;
    /// A load takes about this long; the server is asked from then on.
    duration askAfter = std::chrono::milliseconds(1300);
    /// Time between questions to a server that loads.
    duration askEvery = std::chrono::milliseconds(300);
    /// An order without a result by then counts as lost. The runs that it waits for may take
    /// seconds.
    duration orderTimeout = std::chrono::seconds(6);
    /// Wait after a refusal or a missing answer before the server is looked at again.
    duration retryAfter = std::chrono::milliseconds(500);
};

/// Brings the newest weights to all servers of a model, a part of each pool at a time, the least
/// loaded first. Run by the one holder of the duty. A pure state machine; not thread-safe.
///
/// Answers several versions named within seconds under load: a version that was superseded is
/// skipped, and so many servers stay in service that the rest can take the load.
class weights_plan
{
public:
    explicit weights_plan(const weights_plan_options &options) : m_options(options) { }

    /// Servers to order and to ask now.
    struct actions
    {
        std::vector<weights_order> orders;
        /// Servers whose state must be read: the one that was ordered may be done, or its orders
        /// are not known.
        std::vector<registered_server> questions;
    };

    /// What is known when the plan is made.
    struct inputs
    {
        /// All known servers with what they are believed to run.
        std::span<const registered_server> servers;
        /// Requests running by server.
        std::map<std::string, int, std::less<>> running;
        /// Version wanted by model.
        std::map<std::string, std::uint64_t, std::less<>> newest;
        /// Servers that another holder may have ordered lately, and until when they get no order
        /// from this one.
        std::map<std::string, timestamp, std::less<>> barredUntil;
        /// Servers that can't be reached from here: neither asked nor ordered until they can.
        std::set<std::string, std::less<>> unreachable;
    };

    /// Returns what is due.
    actions next(timestamp now, std::uint64_t epoch, const inputs &known);
    /// Takes the answer to an order.
    void onAnswer(timestamp now, std::string_view server, order_answer answer);
    /// Takes what a server reported; @p state is empty where it did not answer.
    void onState(timestamp now, std::string_view server, const order_state *state);
    /// Forgets all progress, when the duty was taken over.
    void reset() { m_progress.clear(); }

    /// Returns the servers that load now.
    std::vector<std::string> loading() const;

private:
    enum class stage { Idle, Ordered, Loading };
    struct progress
    {
        std::uint64_t startedAtMs = 0;
        stage at = stage::Idle;
        std::string model;
        std::uint64_t version = 0;
        bool ordersKnown = false;
        std::uint64_t acceptedOrders = 0;
        timestamp since;
        timestamp notBefore;
        bool isAsked = false;
        bool wasAsked = false;
    };

    progress &progressOf(const registered_server &server);

    weights_plan_options m_options;
    std::map<std::string, progress, std::less<>> m_progress;
};

} // namespace trefoil
