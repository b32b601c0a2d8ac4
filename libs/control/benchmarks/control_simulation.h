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

/// Simulates a fleet of real control nodes with a fake network and a fake platform in virtual
/// time. Messages pass through the real codec and are counted with their encoded size. Used by the
/// capacity benchmark and the session tests. Not thread-safe.
class control_simulation
{
public:
    /// Network and processor usage of one node.
    struct node_usage
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; // sent and received, HTTP heads included
        double cpuSeconds = 0;
    };

    control_simulation(int size, std::uint64_t seed);

    void start(const std::string &name);
    void kill(const std::string &name) { m_nodes.erase(name); }
    void run(duration time);
    /// Stores an object in the fake platform, regardless of its current version.
    void apply(const std::string &name, const std::string &value);
    control_node &node(const std::string &name) { return *m_nodes.at(name); }
    /// Returns the configuration in the last snapshot that node @p name published.
    const configuration_snapshot &activeConfiguration(const std::string &name)
    {
        return *m_activeConfiguration.at(name);
    }
    std::vector<std::string> names() const;
    static std::string nameOf(int index);

    timestamp now {std::chrono::seconds(1000)};
    /// Whether the platform is unavailable to all nodes.
    bool isPlatformDown = false;
    /// Nodes that can't reach the platform.
    std::set<std::string> nodesWithoutPlatform;
    /// Nodes that neither tick nor answer peers.
    std::set<std::string> pausedNodes;
    /// Returns whether messages from the first node reach the second.
    std::function<bool(const std::string &, const std::string &)> isReachable;
    std::map<std::string, node_usage> usage;
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
    void measureCpu(const std::string &name, const Action &action);
    void executeActions(const std::string &name);
    void sendRequest(const std::string &name, peer_send action);
    void deliver(const std::string &from, std::uint64_t id, const std::string &to,
                 const std::string &text);
    void sendAnswer(const std::string &from, std::uint64_t id, const std::string &to,
                    const peer_answer &reply);
    void callPlatform(const std::string &name, platform_call action);
    platform_answer platformAnswer(const platform_request &request);
    void answerWatches();
    void schedule(duration delay, std::function<void()> action);
    void countMessage(const std::string &name, std::size_t bytes);
    static platform_answer unavailableAnswer(const platform_request &request);

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    object_table m_objects;
    std::map<std::string, std::unique_ptr<control_node>> m_nodes;
    std::map<std::string, std::shared_ptr<const configuration_snapshot>> m_activeConfiguration;
    std::multimap<timestamp, std::function<void()>> m_scheduled;
    std::vector<pending_watch> m_watches;
    struct pending_reply
    {
        std::string from;
        std::uint64_t id = 0;
    };
    std::map<std::uint64_t, pending_reply> m_pendingReplies;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_incarnation = 1000;
    int m_size;
};

} // namespace trefoil
