#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <control/control_node.h>
#include <platform/object_table.h>

namespace trefoil {

/// Whole control nodes before small fakes of the network and the platform, in virtual time.
/// Messages go through the real codec and are counted as encoded. Used by the capacity benchmark
/// and by the golden sessions.
class control_world
{
public:
    /// Traffic of one node.
    struct meter
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; // sent and received, HTTP heads included
        double cpuSeconds = 0;
    };

    control_world(int size, std::uint64_t seed);

    void start(const std::string &name);
    void kill(const std::string &name) { m_nodes.erase(name); }
    void run(duration time);
    /// Puts an object into the fake platform.
    void apply(const std::string &name, const std::string &value);
    control_node &node(const std::string &name) { return *m_nodes.at(name); }
    /// Returns the configuration that @p name last published to its traffic threads.
    const configuration_snapshot &inForce(const std::string &name)
    {
        return *m_activeConfiguration.at(name);
    }
    std::vector<std::string> names() const;
    static std::string nameOf(int index);

    timestamp now {std::chrono::seconds(1000)};
    bool platformOut = false;
    std::set<std::string> platformCut;
    std::set<std::string> frozen;
    /// Returns whether a message from one node to another arrives.
    std::function<bool(const std::string &, const std::string &)> link;
    std::map<std::string, meter> meters;
    std::uint64_t platformReads = 0;
    std::uint64_t platformWrites = 0;
    std::uint64_t platformWatches = 0;
    /// Called with each decision on a request.
    std::function<void(const std::string &node, const request_decision &)> onDecision;

private:
    struct pending_watch
    {
        std::string node;
        std::uint64_t id = 0;
        std::string prefix;
        std::uint64_t from = 0;
        timestamp deadline;
    };

    template <typename Action>
    void measured(const std::string &name, const Action &action);
    void carryOut(const std::string &name);
    void send(const std::string &name, peer_send action);
    void deliver(const std::string &from, std::uint64_t id, const std::string &to,
                 const std::string &text);
    void answer(const std::string &from, std::uint64_t id, const std::string &to,
                const peer_answer &reply);
    void call(const std::string &name, platform_call action);
    platform_answer platformAnswer(const platform_request &request);
    void answerWatches();
    void after(duration delay, std::function<void()> action);
    void count(const std::string &name, std::size_t bytes);
    static platform_answer refusal(const platform_request &request);

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    object_table m_objects;
    std::map<std::string, std::unique_ptr<control_node>> m_nodes;
    std::map<std::string, std::shared_ptr<const configuration_snapshot>> m_activeConfiguration;
    std::multimap<timestamp, std::function<void()>> m_due;
    std::vector<pending_watch> m_watches;
    struct relay
    {
        std::string from;
        std::uint64_t id = 0;
    };
    std::map<std::uint64_t, relay> m_relays;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_incarnation = 1000;
    int m_size;
};

} // namespace trefoil
