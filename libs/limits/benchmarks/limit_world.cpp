#include "limit_world.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

constexpr duration stepTime = std::chrono::milliseconds(5);
constexpr duration leaseLife = std::chrono::seconds(5);
constexpr duration renewPeriod = std::chrono::milliseconds(1500);
constexpr duration leaseMargin = std::chrono::milliseconds(200);

std::string zoneOf(int index) { return std::string(1, static_cast<char>('a' + index % 3)); }

/// Five teams, two of them large.
std::vector<team_traffic> usualTeams(double load)
{
    const token_limit small {.rate = 30000, .burst = 240000};
    const token_limit large {.rate = 120000, .burst = 960000};
    return {{"anchovy", large, load},
            {"bream", large, load},
            {"cod", small, load},
            {"dory", small, load},
            {"eel", small, load}};
}

} // namespace

limit_world::limit_world(limit_way way, const limit_scenario &scenario, std::uint64_t seed)
    : m_way(way), m_scenario(scenario), m_random(seed)
{
    for (const team_traffic &team : m_scenario.teams) {
        m_limits[team.name] = team.limit;
        m_highest[team.name] = team.limit;
        m_ideal.emplace(team.name, token_account(team.limit, m_now, team.limit.burst));
    }
    m_nodes.resize(size);
    for (int i = 0; i < size; ++i)
        start(i);
}

void limit_world::start(int index)
{
    node &self = m_nodes[static_cast<std::size_t>(index)];
    self = {};
    self.name = "n" + std::to_string(index);
    if (m_way == limit_way::StaticSplit) {
        for (const std::pair<const std::string, token_limit> &each : m_limits) {
            const token_limit part {.rate = each.second.rate / size,
                                    .burst = each.second.burst / size};
            // A restarted instance does not know what it spent before: it starts empty.
            const double level = m_now == m_start ? part.burst : 0;
            self.split.emplace(each.first, token_account(part, m_now, level));
        }
        return;
    }
    const right_holder *rights = nullptr;
    if (m_way == limit_way::Confirmations) {
        self.keeper = std::make_unique<lease_keeper>(
            lease_options {.self = self.name, .zone = zoneOf(index), .keys = shardKeys(shards)},
            m_now);
        rights = self.keeper.get();
    } else {
        self.lease = std::make_unique<platform_lease>();
        rights = self.lease.get();
    }
    self.limits =
        std::make_unique<limit_node>(limit_options {.self = self.name, .shards = shards}, *rights);
    self.limits->setTeams(m_now, m_limits);
}

void limit_world::kill(int node) { m_nodes[static_cast<std::size_t>(node)].alive = false; }

void limit_world::restart(int node) { start(node); }

void limit_world::freeze(int node, bool frozen)
{
    m_nodes[static_cast<std::size_t>(node)].frozen = frozen;
}

void limit_world::setLimit(const std::string &team, token_limit limit)
{
    m_limits[team] = limit;
    m_highest[team].rate = std::max(m_highest[team].rate, limit.rate);
    m_highest[team].burst = std::max(m_highest[team].burst, limit.burst);
    m_ideal.at(team).setLimit(m_now, limit);
    // The configuration reaches the instances one after the other.
    for (int i = 0; i < size; ++i) {
        after(std::chrono::milliseconds(200 * i), [this, i] {
            on(i, [this](node &self) {
                if (self.limits)
                    self.limits->setTeams(m_now, m_limits);
                for (std::pair<const std::string, token_account> &each : self.split) {
                    const token_limit &whole = m_limits[each.first];
                    each.second.setLimit(m_now,
                                         {.rate = whole.rate / size, .burst = whole.burst / size});
                }
            });
        });
    }
}

int limit_world::indexOf(const std::string &name) const
{
    for (int i = 0; i < size; ++i) {
        if (m_nodes[static_cast<std::size_t>(i)].name == name)
            return i;
    }
    return -1;
}

int limit_world::ownerOf(const std::string &team) const
{
    const std::string key = shardKey(team, shards);
    if (m_way == limit_way::PlatformLease) {
        const auto found = m_leases.find(key);
        return found == m_leases.end() ? -1 : indexOf(found->second.record.owner);
    }
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? -1 : indexOf(found->second.second.owner);
}

bool limit_world::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

duration limit_world::oneWay() { return std::chrono::microseconds(800 + m_random() % 1500); }

void limit_world::after(duration delay, std::function<void()> action)
{
    m_due.emplace(m_now + delay, std::move(action));
}

void limit_world::on(int index, std::function<void(node &)> action)
{
    node &self = m_nodes[static_cast<std::size_t>(index)];
    if (!self.alive)
        return;
    if (self.frozen) {
        after(std::chrono::milliseconds(50),
              [this, index, action = std::move(action)] { on(index, action); });
        return;
    }
    action(self);
}

void limit_world::askPeer(int from, const std::string &to, std::function<void(node &)> deliver,
                          std::function<void(node &, bool)> fail)
{
    ++m_messages;
    const int target = indexOf(to);
    const bool gone = target < 0 || !m_nodes[static_cast<std::size_t>(target)].alive;
    if (gone) {
        after(oneWay() * 2,
              [this, from, fail] { on(from, [fail](node &self) { fail(self, true); }); });
        return;
    }
    if (peersCut.contains(from) != peersCut.contains(target))
        return;
    after(oneWay(), [this, target, deliver] { on(target, deliver); });
}

void limit_world::ask(int from, const confirm_call &call)
{
    askPeer(
        from, call.to,
        [this, from, call](node &target) {
            const confirm_answer answer = target.keeper->onAsk(m_now, call.ask);
            ++m_messages;
            after(oneWay(), [this, from, call, answer] {
                on(from, [this, call, answer](node &self) {
                    self.keeper->onAnswer(m_now, call.id, answer);
                });
            });
        },
        [this, call](node &self, bool refused) {
            self.keeper->onFailure(m_now, call.id, refused);
        });
}

void limit_world::ask(int from, const grant_call &call)
{
    askPeer(
        from, call.to,
        [this, from, call](node &target) {
            const grant_answer answer = target.limits->onAsk(m_now, call.ask);
            ++m_messages;
            after(oneWay(), [this, from, call, answer] {
                on(from, [this, call, answer](node &self) {
                    self.limits->onAnswer(m_now, call.id, answer);
                    takeDecisions(self);
                });
            });
        },
        [this, call](node &self, bool) { self.limits->onFailure(m_now, call.id); });
}

void limit_world::put(int from, const record_write &write)
{
    ++m_platformCalls;
    const auto answer = [this, from, key = write.key](write_outcome outcome,
                                                      std::uint64_t version) {
        after(std::chrono::milliseconds(4), [this, from, key, outcome, version] {
            on(from, [this, key, outcome, version](node &self) {
                if (self.keeper)
                    self.keeper->onWritten(m_now, key, outcome, version);
            });
        });
    };
    if (platformOut || platformCut.contains(from)) {
        answer(write_outcome::Refused, 0);
        return;
    }
    std::pair<std::uint64_t, lease_record> &current = m_objects[write.key];
    if (current.first != write.expected) {
        answer(write_outcome::Conflict, 0);
        return;
    }
    current = {++m_version, write.record};
    answer(chance(lostAnswers) ? write_outcome::Unknown : write_outcome::Done, m_version);
    for (int i = 0; i < size; ++i) {
        after(std::chrono::milliseconds(20 + m_random() % 200),
              [this, i, key = write.key, item = current] {
                  on(i, [this, key, item](node &self) {
                      if (self.keeper)
                          self.keeper->onRecord(m_now, key, item.first, item.second);
                  });
              });
    }
}

void limit_world::stepConfirmations(node &self, int index)
{
    lease_fleet fleet;
    for (int i = 0; i < size; ++i) {
        const node &other = m_nodes[static_cast<std::size_t>(i)];
        if (!other.alive)
            continue;
        fleet.usable.push_back({.name = other.name, .zone = zoneOf(i)});
        fleet.known.push_back(other.name);
    }
    fleet.attached = !(peersCut.contains(index) && platformCut.contains(index));
    self.keeper->setFleet(m_now, std::move(fleet));
    for (const lease_action &action : self.keeper->tick(m_now)) {
        if (const confirm_call *call = std::get_if<confirm_call>(&action)) {
            ask(index, *call);
        } else if (const record_write *write = std::get_if<record_write>(&action)) {
            after(std::chrono::milliseconds(2),
                  [this, index, write = *write] { put(index, write); });
        } else {
            const std::string key = std::get<record_read>(action).key;
            ++m_platformCalls;
            if (platformOut || platformCut.contains(index))
                continue;
            const std::pair<std::uint64_t, lease_record> item = m_objects[key];
            after(std::chrono::milliseconds(5), [this, index, key, item] {
                on(index, [this, key, item](node &reader) {
                    reader.keeper->onRecord(m_now, key, item.first,
                                            item.first == 0 ? std::optional<lease_record>()
                                                            : item.second);
                });
            });
        }
    }
    for (const lease_event &event : self.keeper->takeEvents())
        self.limits->onLease(m_now, event);
}

void limit_world::stepPlatformLease(node &self, int index)
{
    if (m_now < self.lease->nextRenewal)
        return;
    self.lease->nextRenewal = m_now + renewPeriod;
    const timestamp sentAt = m_now;
    for (const std::string &key : shardKeys(shards)) {
        const auto known = m_leases.find(key);
        const bool own = known != m_leases.end() && known->second.record.owner == self.name;
        const bool free = known == m_leases.end() || m_now > known->second.expiry + leaseMargin;
        if (platformOut || platformCut.contains(index)) {
            m_platformCalls += own ? 1 : 0;
            continue;
        }
        if (known != m_leases.end())
            self.lease->known[key] = known->second.record;
        if (!own && !free)
            continue;
        ++m_platformCalls;
        platform_lease::shared_record &item = m_leases[key];
        const bool first = item.record.epoch == 0;
        const bool acquired = !own || !self.lease->holds(m_now, key);
        if (acquired)
            item.record = {.epoch = item.record.epoch + 1, .owner = self.name, .successors = {}};
        item.expiry = sentAt + leaseLife;
        self.lease->known[key] = item.record;
        self.lease->until[key] = sentAt + leaseLife;
        if (acquired)
            self.limits->onLease(m_now,
                                 {.kind = lease_event::change::Acquired,
                                  .key = key,
                                  .record = item.record,
                                  .first = first});
    }
}

void limit_world::takeDecisions(node &self)
{
    for (const admission &decision : self.limits->takeDecisions()) {
        const auto found = m_requests.find(decision.request);
        if (found == m_requests.end())
            continue;
        if (decision.kind == admission::outcome::Admitted) {
            admitted(decision.request);
            continue;
        }
        noteRefused(found->second);
        m_requests.erase(found);
    }
}

bool limit_world::isWithinRate(const std::string &name) const
{
    return std::any_of(
        m_scenario.teams.begin(), m_scenario.teams.end(),
        [&](const team_traffic &team) { return team.name == name && team.load <= 1; });
}

void limit_world::noteRefused(const request &item)
{
    if (item.idealAdmitted && isWithinRate(item.team))
        ++m_refusedWithin;
}

void limit_world::admitted(std::uint64_t id)
{
    request &item = m_requests.at(id);
    item.admitted = true;
    item.admittedAt = m_now;
    after(fromSeconds(item.seconds), [this, id] {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        const request done = found->second;
        m_requests.erase(found);
        m_uses[done.team].push_back({.at = done.admittedAt, .tokens = done.used});
        m_servedTokens[done.team] += done.used;
        on(done.node, [this, id, done](node &self) {
            if (self.limits)
                self.limits->finish(m_now, id, done.used);
            else
                self.split.at(done.team).settle(m_now, done.account, done.reserved - done.used);
        });
    });
}

void limit_world::offer(const team_traffic &team)
{
    request item {.team = team.name};
    // Prompts of 4 to 24 thousand tokens, and answers that use a quarter of what they may.
    const double prompt = 4000 + static_cast<double>(m_random() % 20000);
    const double answer = 1024;
    item.reserved = prompt + answer;
    item.used = prompt + answer / 4;
    item.seconds = 0.5 + static_cast<double>(m_random() % 4000) / 1000;
    const int owner = ownerOf(team.name);
    item.node =
        owner >= 0 && chance(m_scenario.atOwner) ? owner : static_cast<int>(m_random() % size);
    // A caller that gets no connection, or no answer, goes on to the next address.
    for (int i = 0; i < size; ++i) {
        const node &target = m_nodes[static_cast<std::size_t>(item.node)];
        if (target.alive && !target.frozen)
            break;
        item.node = (item.node + 1) % size;
    }
    token_account &ideal = m_ideal.at(team.name);
    const std::optional<std::uint64_t> idealId = ideal.reserve(m_now, item.reserved);
    item.idealAdmitted = idealId.has_value();
    if (idealId) {
        m_idealAdmissions += isWithinRate(team.name) ? 1 : 0;
        m_idealTokens[team.name] += item.used;
        const double unused = item.reserved - item.used;
        after(fromSeconds(item.seconds),
              [this, &ideal, id = *idealId, unused] { ideal.settle(m_now, id, unused); });
    }
    node &self = m_nodes[static_cast<std::size_t>(item.node)];
    if (self.limits) {
        const std::uint64_t id = m_nextRequest++;
        m_requests[id] = item;
        self.limits->request(m_now, id, team.name, item.reserved);
        takeDecisions(self);
        return;
    }
    const std::optional<std::uint64_t> account =
        self.split.at(team.name).reserve(m_now, item.reserved);
    if (!account) {
        noteRefused(item);
        return;
    }
    item.account = *account;
    const std::uint64_t id = m_nextRequest++;
    m_requests[id] = item;
    admitted(id);
}

void limit_world::arrive()
{
    constexpr double meanTokens = 14000 + 256;
    for (const team_traffic &team : m_scenario.teams) {
        // By the limit at the start: callers don't slow down because a vote changed.
        const double perSecond = team.limit.rate * team.load / meanTokens;
        const double perStep = perSecond * toSeconds(stepTime);
        const int count = std::poisson_distribution<int>(perStep)(m_random);
        for (int i = 0; i < count; ++i)
            offer(team);
    }
}

void limit_world::stepNode(int index)
{
    node &self = m_nodes[static_cast<std::size_t>(index)];
    if (!self.alive || self.frozen || !self.limits)
        return;
    if (self.keeper)
        stepConfirmations(self, index);
    else
        stepPlatformLease(self, index);
    for (const grant_call &call : self.limits->tick(m_now))
        ask(index, call);
    takeDecisions(self);
}

void limit_world::step()
{
    m_now += stepTime;
    while (!m_due.empty() && m_due.begin()->first <= m_now) {
        const std::function<void()> action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action();
    }
    for (int i = 0; i < size; ++i)
        stepNode(i);
}

double limit_world::overshootOf(const std::string &team) const
{
    const auto found = m_uses.find(team);
    if (found == m_uses.end())
        return 0;
    std::vector<use> uses = found->second;
    std::sort(uses.begin(), uses.end(), [](const use &a, const use &b) { return a.at < b.at; });
    const token_limit &limit = m_highest.at(team);
    // The worst window that ends at each use, from the worst one that ends at the use before it.
    double worst = 0;
    double running = 0;
    for (std::size_t i = 0; i < uses.size(); ++i) {
        const double gap = i == 0 ? 0 : toSeconds(uses[i].at - uses[i - 1].at);
        running = std::max(0.0, running - limit.rate * gap) + uses[i].tokens;
        worst = std::max(worst, running - limit.burst);
    }
    return worst;
}

limit_figures limit_world::run()
{
    constexpr double settleSeconds = 12;
    for (double t = 0; t < settleSeconds; t += toSeconds(stepTime))
        step();
    m_messages = 0;
    m_platformCalls = 0;
    const timestamp begin = m_now;
    while (m_now - begin < fromSeconds(m_scenario.seconds)) {
        if (m_scenario.faults)
            m_scenario.faults(*this, toSeconds(m_now - begin));
        arrive();
        step();
    }
    limit_figures figures;
    figures.messagesPerNodeSecond = static_cast<double>(m_messages) / size / m_scenario.seconds;
    figures.platformCallsPerSecond = static_cast<double>(m_platformCalls) / m_scenario.seconds;
    for (double t = 0; t < settleSeconds; t += toSeconds(stepTime))
        step();
    figures.requests = m_idealAdmissions;
    figures.refusedWithinRate = static_cast<double>(m_refusedWithin)
        / static_cast<double>(std::max<std::uint64_t>(1, m_idealAdmissions));
    for (const team_traffic &team : m_scenario.teams) {
        figures.overshoot = std::max(figures.overshoot, overshootOf(team.name));
        const double ideal = std::max(1.0, m_idealTokens[team.name]);
        figures.worstServed = std::min(figures.worstServed, m_servedTokens[team.name] / ideal);
    }
    return figures;
}

namespace {

/// Runs @p action once, at @p when.
std::function<void(limit_world &, double)> at(double when,
                                              std::function<void(limit_world &)> action)
{
    return [when, action, done = false](limit_world &world, double seconds) mutable {
        if (done || seconds < when)
            return;
        done = true;
        action(world);
    };
}

std::function<void(limit_world &, double)> both(std::function<void(limit_world &, double)> first,
                                                std::function<void(limit_world &, double)> second)
{
    return [first, second](limit_world &world, double seconds) mutable {
        first(world, seconds);
        second(world, seconds);
    };
}

std::string largeTeam(const limit_world &world) { return world.teams().front().name; }

} // namespace

std::vector<limit_scenario> limitScenarios()
{
    std::vector<limit_scenario> all;
    const auto add = [&](std::string name, double load,
                         std::function<void(limit_world &, double)> faults = {}) {
        all.push_back(
            {.name = std::move(name), .teams = usualTeams(load), .faults = std::move(faults)});
    };
    add("calm", 0.7);
    add("skewed callers", 0.7);
    all.back().atOwner = 0;
    add("one team at 8 times its rate", 0.7);
    all.back().teams[2].load = 8;
    add("owner crashes", 0.7, at(40, [](limit_world &world) {
            world.kill(std::max(0, world.ownerOf(largeTeam(world))));
        }));
    add("owner pauses 10 s and resumes", 0.7,
        [owner = -1](limit_world &world, double seconds) mutable {
            if (owner < 0 && seconds >= 40) {
                owner = std::max(0, world.ownerOf(largeTeam(world)));
                world.freeze(owner, true);
            }
            if (owner >= 0 && seconds >= 50)
                world.freeze(owner, false);
        });
    add("owner cut off from the platform", 0.7, at(40, [](limit_world &world) {
            world.platformCut.insert(std::max(0, world.ownerOf(largeTeam(world))));
        }));
    add("owner cut off from its peers 20 s", 0.7,
        both(at(40,
                [](limit_world &world) {
                    world.peersCut.insert(std::max(0, world.ownerOf(largeTeam(world))));
                }),
             at(60, [](limit_world &world) { world.peersCut.clear(); })));
    add("platform out for 10 minutes", 0.7,
        both(at(20, [](limit_world &world) { world.platformOut = true; }),
             at(620, [](limit_world &world) { world.platformOut = false; })));
    all.back().seconds = 660;
    add("two takeovers race", 0.7, at(40, [](limit_world &world) {
            const int owner = std::max(0, world.ownerOf(largeTeam(world)));
            world.kill(owner);
            world.kill((owner + 3) % limit_world::size);
        }));
    add("answers of the platform lost", 0.7,
        both(at(30, [](limit_world &world) { world.lostAnswers = 0.5; }),
             at(40, [](limit_world &world) {
                 world.kill(std::max(0, world.ownerOf(largeTeam(world))));
             })));
    add("half of the instances restart at once", 0.7, at(40, [](limit_world &world) {
            for (int i = 0; i < limit_world::size; i += 2)
                world.restart(i);
        }));
    add("a vote halves and restores a rate", 0.4,
        both(at(40,
                [](limit_world &world) {
                    world.setLimit("bream", {.rate = 60000, .burst = 480000});
                }),
             at(80, [](limit_world &world) {
                 world.setLimit("bream", {.rate = 120000, .burst = 960000});
             })));
    add("owner crashes while the platform is out", 0.7,
        both(at(30, [](limit_world &world) { world.platformOut = true; }),
             both(at(40,
                     [](limit_world &world) {
                         world.kill(std::max(0, world.ownerOf(largeTeam(world))));
                     }),
                  at(60, [](limit_world &world) { world.platformOut = false; }))));
    return all;
}

} // namespace trefoil
