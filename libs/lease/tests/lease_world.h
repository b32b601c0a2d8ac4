#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <lease/lease_keeper.h>

namespace trefoil {

/// Keepers of several instances before a small fake of the platform, in virtual time. Records who
/// holds each right at every step.
class lease_world
{
public:
    struct node
    {
        std::unique_ptr<lease_keeper> keeper;
        bool frozen = false;
        bool platformCut = false;
        bool leaving = false;
        std::set<std::string> peersCut;
    };

    lease_world(int size, std::vector<std::string> keys, std::uint64_t seed)
        : m_keys(std::move(keys)), m_random(seed)
    {
        for (int i = 0; i < size; ++i)
            start("n" + std::to_string(i));
    }

    void start(const std::string &name)
    {
        node &item = nodes[name];
        item = {};
        item.keeper = std::make_unique<lease_keeper>(
            lease_options {.self = name, .zone = zoneOf(name), .keys = m_keys}, now);
    }

    /// The instance leaves; the fleet hears of it with the next step.
    void leave(const std::string &name)
    {
        nodes[name].keeper->leave(now);
        for (const lease_action &action : nodes[name].keeper->tick(now))
            carryOut(name, action);
        nodes[name].leaving = true;
    }

    void kill(const std::string &name) { nodes.erase(name); }

    void run(duration time)
    {
        const timestamp end = now + time;
        while (now < end) {
            now += std::chrono::milliseconds(20);
            deliverDue();
            for (auto it = nodes.begin(); it != nodes.end(); ++it) {
                if (!it->second.frozen)
                    step(it->first, it->second);
            }
            checkExclusive();
        }
    }

    /// Names that hold @p key now, as they themselves would find on asking.
    std::vector<std::string> holders(const std::string &key)
    {
        std::vector<std::string> found;
        for (auto it = nodes.begin(); it != nodes.end(); ++it) {
            if (it->second.keeper->holds(now, key))
                found.push_back(it->first);
        }
        return found;
    }

    bool everHeldTwice = false;
    bool platformOut = false;
    /// Share of the platform's answers lost after the write took effect.
    double lostAnswers = 0;
    timestamp now {std::chrono::seconds(1000)};
    std::map<std::string, node> nodes;
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

    void after(duration delay, std::function<void()> action)
    {
        m_due.emplace(now + delay, std::move(action));
    }

    void deliverDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= now) {
            const std::function<void()> action = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            action();
        }
    }

    void step(const std::string &name, node &item)
    {
        lease_fleet fleet;
        for (auto it = nodes.begin(); it != nodes.end(); ++it) {
            if (!it->second.leaving)
                fleet.usable.push_back({.name = it->first, .zone = zoneOf(it->first)});
            fleet.known.push_back(it->first);
        }
        item.keeper->setFleet(now, std::move(fleet));
        for (const lease_action &action : item.keeper->tick(now))
            carryOut(name, action);
        item.keeper->takeEvents();
    }

    void carryOut(const std::string &name, const lease_action &action)
    {
        const duration oneWay = std::chrono::milliseconds(1 + m_random() % 30);
        if (const confirm_call *call = std::get_if<confirm_call>(&action))
            after(oneWay, [this, name, call = *call] { ask(name, call); });
        else if (const record_write *write = std::get_if<record_write>(&action))
            after(oneWay, [this, name, write = *write] { put(name, write); });
        else
            after(oneWay,
                  [this, name, key = std::get<record_read>(action).key] { get(name, key); });
    }

    /// Runs @p action on @p name when it is alive, later while it is frozen.
    void on(const std::string &name, std::function<void(lease_keeper &)> action)
    {
        const auto found = nodes.find(name);
        if (found == nodes.end())
            return;
        if (found->second.frozen)
            after(std::chrono::milliseconds(100),
                  [this, name, action = std::move(action)] { on(name, action); });
        else
            action(*found->second.keeper);
    }

    void ask(const std::string &from, const confirm_call &call)
    {
        const auto target = nodes.find(call.to);
        const bool cut = nodes.contains(from) && nodes[from].peersCut.contains(call.to);
        if (target == nodes.end()) {
            on(from,
               [this, id = call.id](lease_keeper &keeper) { keeper.onFailure(now, id, true); });
            return;
        }
        if (cut || target->second.peersCut.contains(from))
            return;
        on(call.to, [this, from, call](lease_keeper &keeper) {
            const confirm_answer answer = keeper.onRequest(now, call.ask);
            after(std::chrono::milliseconds(1 + m_random() % 30), [this, from, call, answer] {
                on(from, [this, call, answer](lease_keeper &asker) {
                    asker.onAnswer(now, call.id, answer);
                });
            });
        });
    }

    void put(const std::string &name, const record_write &write)
    {
        ++platformCalls;
        const bool cut = !nodes.contains(name) || nodes[name].platformCut || platformOut;
        if (cut) {
            written(name, write.key, write_outcome::Refused, 0);
            return;
        }
        object_state &current = m_objects[write.key];
        if (current.version != write.expected) {
            written(name, write.key, write_outcome::Conflict, 0);
            return;
        }
        current = {.version = ++m_version, .record = write.record};
        const bool lost = chance(lostAnswers);
        written(name, write.key, lost ? write_outcome::Unknown : write_outcome::Done, m_version);
        // Everyone else hears of it late.
        for (auto it = nodes.begin(); it != nodes.end(); ++it) {
            if (it->first != name)
                after(std::chrono::milliseconds(100 + m_random() % 400),
                      [this, other = it->first, key = write.key, state = current] {
                          on(other, [this, key, state](lease_keeper &keeper) {
                              keeper.onRecord(now, key, state.version, state.record);
                          });
                      });
        }
    }

    void written(const std::string &name, const std::string &key, write_outcome outcome,
                 std::uint64_t version)
    {
        after(std::chrono::milliseconds(5), [this, name, key, outcome, version] {
            on(name, [this, key, outcome, version](lease_keeper &keeper) {
                keeper.onWritten(now, key, outcome, version);
            });
        });
    }

    void get(const std::string &name, const std::string &key)
    {
        ++platformCalls;
        if (!nodes.contains(name) || nodes[name].platformCut || platformOut)
            return;
        const object_state current = m_objects[key];
        after(std::chrono::milliseconds(5), [this, name, key, current] {
            on(name, [this, key, current](lease_keeper &keeper) {
                keeper.onRecord(now, key, current.version,
                                current.version == 0 ? std::optional<lease_record>()
                                                     : current.record);
            });
        });
    }

    void checkExclusive()
    {
        for (const std::string &key : m_keys)
            everHeldTwice = everHeldTwice || holders(key).size() > 1;
    }

    std::vector<std::string> m_keys;
    std::mt19937_64 m_random;
    std::multimap<timestamp, std::function<void()>> m_due;
    std::map<std::string, object_state> m_objects;
    std::uint64_t m_version = 0;
};

} // namespace trefoil
