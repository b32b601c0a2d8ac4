#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <lease/lease_manager.h>

namespace trefoil {

/// Simulates the lease managers of several instances in virtual time, with a fake platform. Checks
/// in every step that no lease is held twice.
class lease_simulation
{
public:
    struct simulated_instance
    {
        std::unique_ptr<lease_manager> manager;
        bool paused = false;
        bool cutFromPlatform = false;
        bool leaving = false;
        std::set<std::string> cutFromPeers;
    };

    lease_simulation(int count, std::vector<std::string> keys, std::uint64_t seed)
        : m_keys(std::move(keys)), m_random(seed)
    {
        for (int i = 0; i < count; ++i)
            startInstance("n" + std::to_string(i));
    }

    void startInstance(const std::string &name)
    {
        simulated_instance &item = instances[name];
        item = {};
        item.manager = std::make_unique<lease_manager>(
            lease_options {.self = name, .zone = zoneOf(name), .keys = m_keys}, now);
    }

    /// Makes the instance leave. The other instances learn of it in the next step.
    void leave(const std::string &name)
    {
        instances[name].manager->leave(now);
        for (const lease_action &action : instances[name].manager->tick(now))
            executeAction(name, action);
        instances[name].leaving = true;
    }

    void kill(const std::string &name) { instances.erase(name); }

    void run(duration time)
    {
        const timestamp end = now + time;
        while (now < end) {
            now += std::chrono::milliseconds(20);
            runDueEvents();
            for (auto it = instances.begin(); it != instances.end(); ++it) {
                if (!it->second.paused)
                    step(it->first, it->second);
            }
            checkExclusive();
        }
    }

    /// Returns the instances that consider themselves holders of @p key now.
    std::vector<std::string> holders(const std::string &key)
    {
        std::vector<std::string> found;
        for (auto it = instances.begin(); it != instances.end(); ++it) {
            if (it->second.manager->holds(now, key))
                found.push_back(it->first);
        }
        return found;
    }

    bool everHeldByTwo = false;
    bool isPlatformDown = false;
    /// Share of the platform's answers that are lost after the write took effect.
    double lostAnswerShare = 0;
    timestamp now {std::chrono::seconds(1000)};
    std::map<std::string, simulated_instance> instances;
    int platformCalls = 0;

private:
    struct object_state
    {
        std::uint64_t version = 0;
        lease_record record;
    };

    static std::string zoneOf(const std::string &name)
    {
        return std::string(1, static_cast<char>('a' + name.back() % 3));
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void schedule(duration delay, std::function<void()> action)
    {
        m_events.emplace(now + delay, std::move(action));
    }

    void runDueEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const std::function<void()> action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }

    void step(const std::string &name, simulated_instance &item)
    {
        lease_fleet fleet;
        for (auto it = instances.begin(); it != instances.end(); ++it) {
            if (!it->second.leaving)
                fleet.usable.push_back({.name = it->first, .zone = zoneOf(it->first)});
            fleet.known.push_back(it->first);
        }
        item.manager->setFleet(now, std::move(fleet));
        for (const lease_action &action : item.manager->tick(now))
            executeAction(name, action);
        item.manager->takeEvents();
    }

    void executeAction(const std::string &name, const lease_action &action)
    {
        const duration networkDelay = std::chrono::milliseconds(1 + m_random() % 30);
        if (const confirm_call *call = std::get_if<confirm_call>(&action))
            schedule(networkDelay, [this, name, call = *call] { sendCall(name, call); });
        else if (const record_write *write = std::get_if<record_write>(&action))
            schedule(networkDelay, [this, name, write = *write] { writeRecord(name, write); });
        else
            schedule(networkDelay, [this, name, key = std::get<record_read>(action).key] {
                readRecord(name, key);
            });
    }

    /// Runs @p action on @p name if it is alive; if it is paused, as soon as it resumes.
    void runOn(const std::string &name, std::function<void(lease_manager &)> action)
    {
        const auto found = instances.find(name);
        if (found == instances.end())
            return;
        if (found->second.paused)
            schedule(std::chrono::milliseconds(100),
                     [this, name, action = std::move(action)] { runOn(name, action); });
        else
            action(*found->second.manager);
    }

    void sendCall(const std::string &from, const confirm_call &call)
    {
        const auto target = instances.find(call.to);
        const bool cut = instances.contains(from) && instances[from].cutFromPeers.contains(call.to);
        if (target == instances.end()) {
            runOn(from, [this, id = call.id](lease_manager &manager) {
                manager.onFailure(now, id, true);
            });
            return;
        }
        if (cut || target->second.cutFromPeers.contains(from))
            return;
        runOn(call.to, [this, from, call](lease_manager &manager) {
            const confirm_answer answer = manager.onRequest(now, call.request);
            schedule(std::chrono::milliseconds(1 + m_random() % 30), [this, from, call, answer] {
                runOn(from, [this, call, answer](lease_manager &sender) {
                    sender.onAnswer(now, call.id, answer);
                });
            });
        });
    }

    void writeRecord(const std::string &name, const record_write &write)
    {
        ++platformCalls;
        const bool cut =
            !instances.contains(name) || instances[name].cutFromPlatform || isPlatformDown;
        if (cut) {
            reportWrite(name, write.key, write_outcome::Refused, 0);
            return;
        }
        object_state &current = m_objects[write.key];
        if (current.version != write.expected) {
            reportWrite(name, write.key, write_outcome::Conflict, 0);
            return;
        }
        current = {.version = ++m_version, .record = write.record};
        const bool lost = chance(lostAnswerShare);
        reportWrite(name, write.key, lost ? write_outcome::Unknown : write_outcome::Done,
                    m_version);
        // The other instances receive the record later.
        for (auto it = instances.begin(); it != instances.end(); ++it) {
            if (it->first != name)
                schedule(std::chrono::milliseconds(100 + m_random() % 400),
                         [this, other = it->first, key = write.key, state = current] {
                             runOn(other, [this, key, state](lease_manager &manager) {
                                 manager.onRecord(now, key, state.version, state.record);
                             });
                         });
        }
    }

    void reportWrite(const std::string &name, const std::string &key, write_outcome outcome,
                     std::uint64_t version)
    {
        schedule(std::chrono::milliseconds(5), [this, name, key, outcome, version] {
            runOn(name, [this, key, outcome, version](lease_manager &manager) {
                manager.onWritten(now, key, outcome, version);
            });
        });
    }

    void readRecord(const std::string &name, const std::string &key)
    {
        ++platformCalls;
        if (!instances.contains(name) || instances[name].cutFromPlatform || isPlatformDown)
            return;
        const object_state current = m_objects[key];
        schedule(std::chrono::milliseconds(5), [this, name, key, current] {
            runOn(name, [this, key, current](lease_manager &manager) {
                manager.onRecord(now, key, current.version,
                                 current.version == 0 ? std::optional<lease_record>()
                                                      : current.record);
            });
        });
    }

    void checkExclusive()
    {
        for (const std::string &key : m_keys)
            everHeldByTwo = everHeldByTwo || holders(key).size() > 1;
    }

    std::vector<std::string> m_keys;
    std::mt19937_64 m_random;
    std::multimap<timestamp, std::function<void()>> m_events;
    std::map<std::string, object_state> m_objects;
    std::uint64_t m_version = 0;
};

} // namespace trefoil
