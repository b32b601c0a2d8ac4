#include "limiter_simulation.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

constexpr duration stepDuration = std::chrono::milliseconds(5);
constexpr duration leaseLifetime = std::chrono::seconds(5);
constexpr duration renewalPeriod = std::chrono::milliseconds(1500);
/// Time after the expiry of a lease before another instance may take it.
constexpr duration leaseMargin = std::chrono::milliseconds(200);

std::string zoneOf(int index) { return std::string(1, static_cast<char>('a' + index % 3)); }

/// Returns five teams, two of them large.
std::vector<team_traffic> defaultTeams(double load)
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

limiter_simulation::limiter_simulation(limit_strategy strategy, const limit_scenario &scenario,
                                       std::uint64_t seed)
    : m_strategy(strategy), m_scenario(scenario), m_random(seed)
{
    for (const team_traffic &team : m_scenario.teams) {
        m_limits[team.name] = team.limit;
        m_highestLimits[team.name] = team.limit;
        m_idealBuckets.emplace(team.name, token_bucket(team.limit, m_now, team.limit.burst));
    }
    m_instances.resize(instanceCount);
    for (int i = 0; i < instanceCount; ++i)
        startInstance(i);
}

void limiter_simulation::startInstance(int index)
{
    simulated_instance &self = m_instances[static_cast<std::size_t>(index)];
    self = {};
    self.name = "n" + std::to_string(index);
    if (m_strategy == limit_strategy::StaticSplit) {
        for (const std::pair<const std::string, token_limit> &each : m_limits) {
            const token_limit part {.rate = each.second.rate / instanceCount,
                                    .burst = each.second.burst / instanceCount};
            // A restarted instance does not know how much it admitted before, so it starts empty.
            const double level = m_now == m_start ? part.burst : 0;
            self.staticBuckets.emplace(each.first, token_bucket(part, m_now, level));
        }
        return;
    }
    const lease_view *leases = nullptr;
    if (m_strategy == limit_strategy::Confirmations) {
        self.manager = std::make_unique<lease_manager>(
            lease_options {.self = self.name, .zone = zoneOf(index), .keys = shardKeys(shards)},
            m_now);
        leases = self.manager.get();
    } else {
        self.platformLeases = std::make_unique<platform_leases>();
        leases = self.platformLeases.get();
    }
    self.limits = std::make_unique<rate_limiter>(
        rate_limiter_options {.self = self.name, .shards = shards}, *leases);
    self.limits->setTeams(m_now, m_limits);
}

void limiter_simulation::kill(int instance)
{
    m_instances[static_cast<std::size_t>(instance)].alive = false;
}

void limiter_simulation::restart(int instance) { startInstance(instance); }

void limiter_simulation::setPaused(int instance, bool paused)
{
    m_instances[static_cast<std::size_t>(instance)].paused = paused;
}

void limiter_simulation::setLimit(const std::string &team, token_limit limit)
{
    m_limits[team] = limit;
    m_highestLimits[team].rate = std::max(m_highestLimits[team].rate, limit.rate);
    m_highestLimits[team].burst = std::max(m_highestLimits[team].burst, limit.burst);
    m_idealBuckets.at(team).setLimit(m_now, limit);
    // The instances receive the configuration one after the other.
    for (int i = 0; i < instanceCount; ++i) {
        schedule(std::chrono::milliseconds(200 * i), [this, i] {
            runOn(i, [this](simulated_instance &self) {
                if (self.limits)
                    self.limits->setTeams(m_now, m_limits);
                for (std::pair<const std::string, token_bucket> &each : self.staticBuckets) {
                    const token_limit &whole = m_limits[each.first];
                    each.second.setLimit(
                        m_now,
                        {.rate = whole.rate / instanceCount, .burst = whole.burst / instanceCount});
                }
            });
        });
    }
}

int limiter_simulation::indexOf(const std::string &name) const
{
    for (int i = 0; i < instanceCount; ++i) {
        if (m_instances[static_cast<std::size_t>(i)].name == name)
            return i;
    }
    return -1;
}

int limiter_simulation::ownerOf(const std::string &team) const
{
    const std::string key = shardKey(team, shards);
    if (m_strategy == limit_strategy::PlatformLease) {
        const auto found = m_platformLeases.find(key);
        return found == m_platformLeases.end() ? -1 : indexOf(found->second.record.owner);
    }
    const auto found = m_leaseRecords.find(key);
    return found == m_leaseRecords.end() ? -1 : indexOf(found->second.second.owner);
}

bool limiter_simulation::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

duration limiter_simulation::networkDelay()
{
    return std::chrono::microseconds(800 + m_random() % 1500);
}

void limiter_simulation::schedule(duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void limiter_simulation::runOn(int index, std::function<void(simulated_instance &)> action)
{
    simulated_instance &self = m_instances[static_cast<std::size_t>(index)];
    if (!self.alive)
        return;
    if (self.paused) {
        schedule(std::chrono::milliseconds(50),
                 [this, index, action = std::move(action)] { runOn(index, action); });
        return;
    }
    action(self);
}

void limiter_simulation::callPeer(int from, const std::string &to,
                                  std::function<void(simulated_instance &)> deliver,
                                  std::function<void(simulated_instance &, bool)> fail)
{
    ++m_messages;
    const int target = indexOf(to);
    const bool unreachable = target < 0 || !m_instances[static_cast<std::size_t>(target)].alive;
    if (unreachable) {
        schedule(networkDelay() * 2, [this, from, fail] {
            runOn(from, [fail](simulated_instance &self) { fail(self, true); });
        });
        return;
    }
    if (cutFromPeers.contains(from) != cutFromPeers.contains(target))
        return;
    schedule(networkDelay(), [this, target, deliver] { runOn(target, deliver); });
}

void limiter_simulation::sendCall(int from, const confirm_call &call)
{
    callPeer(
        from, call.to,
        [this, from, call](simulated_instance &target) {
            const confirm_answer answer = target.manager->onRequest(m_now, call.request);
            ++m_messages;
            schedule(networkDelay(), [this, from, call, answer] {
                runOn(from, [this, call, answer](simulated_instance &self) {
                    self.manager->onAnswer(m_now, call.id, answer);
                });
            });
        },
        [this, call](simulated_instance &self, bool refused) {
            self.manager->onFailure(m_now, call.id, refused);
        });
}

void limiter_simulation::sendCall(int from, const grant_call &call)
{
    callPeer(
        from, call.to,
        [this, from, call](simulated_instance &target) {
            const grant_answer answer = target.limits->onRequest(m_now, call.request);
            ++m_messages;
            schedule(networkDelay(), [this, from, call, answer] {
                runOn(from, [this, call, answer](simulated_instance &self) {
                    self.limits->onAnswer(m_now, call.id, answer);
                    takeDecisions(self);
                });
            });
        },
        [this, call](simulated_instance &self, bool) { self.limits->onFailure(m_now, call.id); });
}

void limiter_simulation::writeRecord(int from, const record_write &write)
{
    ++m_platformCalls;
    const auto answer = [this, from, key = write.key](write_outcome outcome,
                                                      std::uint64_t version) {
        schedule(std::chrono::milliseconds(4), [this, from, key, outcome, version] {
            runOn(from, [this, key, outcome, version](simulated_instance &self) {
                if (self.manager)
                    self.manager->onWritten(m_now, key, outcome, version);
            });
        });
    };
    if (isPlatformDown || cutFromPlatform.contains(from)) {
        answer(write_outcome::Refused, 0);
        return;
    }
    std::pair<std::uint64_t, lease_record> &current = m_leaseRecords[write.key];
    if (current.first != write.expected) {
        answer(write_outcome::Conflict, 0);
        return;
    }
    current = {++m_version, write.record};
    answer(chance(lostAnswerShare) ? write_outcome::Unknown : write_outcome::Done, m_version);
    for (int i = 0; i < instanceCount; ++i) {
        schedule(std::chrono::milliseconds(20 + m_random() % 200),
                 [this, i, key = write.key, item = current] {
                     runOn(i, [this, key, item](simulated_instance &self) {
                         if (self.manager)
                             self.manager->onRecord(m_now, key, item.first, item.second);
                     });
                 });
    }
}

void limiter_simulation::stepConfirmations(simulated_instance &self, int index)
{
    lease_fleet fleet;
    for (int i = 0; i < instanceCount; ++i) {
        const simulated_instance &other = m_instances[static_cast<std::size_t>(i)];
        if (!other.alive)
            continue;
        fleet.usable.push_back({.name = other.name, .zone = zoneOf(i)});
        fleet.known.push_back(other.name);
    }
    fleet.attached = !(cutFromPeers.contains(index) && cutFromPlatform.contains(index));
    self.manager->setFleet(m_now, std::move(fleet));
    for (const lease_action &action : self.manager->tick(m_now)) {
        if (const confirm_call *call = std::get_if<confirm_call>(&action)) {
            sendCall(index, *call);
        } else if (const record_write *write = std::get_if<record_write>(&action)) {
            schedule(std::chrono::milliseconds(2),
                     [this, index, write = *write] { writeRecord(index, write); });
        } else {
            const std::string key = std::get<record_read>(action).key;
            ++m_platformCalls;
            if (isPlatformDown || cutFromPlatform.contains(index))
                continue;
            const std::pair<std::uint64_t, lease_record> item = m_leaseRecords[key];
            schedule(std::chrono::milliseconds(5), [this, index, key, item] {
                runOn(index, [this, key, item](simulated_instance &reader) {
                    reader.manager->onRecord(m_now, key, item.first,
                                             item.first == 0 ? std::optional<lease_record>()
                                                             : item.second);
                });
            });
        }
    }
    for (const lease_event &event : self.manager->takeEvents())
        self.limits->onLease(m_now, event);
}

void limiter_simulation::stepPlatformLease(simulated_instance &self, int index)
{
    if (m_now < self.platformLeases->nextRenewal)
        return;
    self.platformLeases->nextRenewal = m_now + renewalPeriod;
    const timestamp sentAt = m_now;
    for (const std::string &key : shardKeys(shards)) {
        const auto known = m_platformLeases.find(key);
        const bool isOwner =
            known != m_platformLeases.end() && known->second.record.owner == self.name;
        const bool isFree =
            known == m_platformLeases.end() || m_now > known->second.expiry + leaseMargin;
        if (isPlatformDown || cutFromPlatform.contains(index)) {
            m_platformCalls += isOwner ? 1 : 0;
            continue;
        }
        if (known != m_platformLeases.end())
            self.platformLeases->knownRecords[key] = known->second.record;
        if (!isOwner && !isFree)
            continue;
        ++m_platformCalls;
        platform_leases::stored_lease &item = m_platformLeases[key];
        const bool isFirst = item.record.epoch == 0;
        const bool acquired = !isOwner || !self.platformLeases->holds(m_now, key);
        if (acquired)
            item.record = {.epoch = item.record.epoch + 1, .owner = self.name, .successors = {}};
        item.expiry = sentAt + leaseLifetime;
        self.platformLeases->knownRecords[key] = item.record;
        self.platformLeases->heldUntil[key] = sentAt + leaseLifetime;
        if (acquired)
            self.limits->onLease(m_now,
                                 {.kind = lease_event::change::Acquired,
                                  .key = key,
                                  .record = item.record,
                                  .firstAcquisition = isFirst});
    }
}

void limiter_simulation::takeDecisions(simulated_instance &self)
{
    for (const admission &decision : self.limits->takeDecisions()) {
        const auto found = m_requests.find(decision.request);
        if (found == m_requests.end())
            continue;
        if (decision.kind == admission::outcome::Admitted) {
            startRequest(decision.request);
            continue;
        }
        countRefusal(found->second);
        m_requests.erase(found);
    }
}

bool limiter_simulation::isWithinRate(const std::string &name) const
{
    return std::any_of(
        m_scenario.teams.begin(), m_scenario.teams.end(),
        [&](const team_traffic &team) { return team.name == name && team.load <= 1; });
}

void limiter_simulation::countRefusal(const request &item)
{
    if (item.idealAdmitted && isWithinRate(item.team))
        ++m_refusedWithinRate;
}

void limiter_simulation::startRequest(std::uint64_t id)
{
    request &item = m_requests.at(id);
    item.admitted = true;
    item.admittedAt = m_now;
    schedule(fromSeconds(item.seconds), [this, id] {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        const request done = found->second;
        m_requests.erase(found);
        m_usages[done.team].push_back({.at = done.admittedAt, .tokens = done.used});
        m_servedTokens[done.team] += done.used;
        runOn(done.instance, [this, id, done](simulated_instance &self) {
            if (self.limits)
                self.limits->finish(m_now, id, done.used);
            else
                self.staticBuckets.at(done.team).settle(m_now, done.reservation,
                                                        done.reserved - done.used);
        });
    });
}

void limiter_simulation::offerRequest(const team_traffic &team)
{
    request item {.team = team.name};
    // Prompts of 4000 to 24000 tokens, and answers that use a quarter of the allowed tokens.
    const double prompt = 4000 + static_cast<double>(m_random() % 20000);
    const double answer = 1024;
    item.reserved = prompt + answer;
    item.used = prompt + answer / 4;
    item.seconds = 0.5 + static_cast<double>(m_random() % 4000) / 1000;
    const int owner = ownerOf(team.name);
    item.instance = owner >= 0 && chance(m_scenario.ownerShare)
        ? owner
        : static_cast<int>(m_random() % instanceCount);
    // A caller that can't connect, or gets no answer, tries the next address.
    for (int i = 0; i < instanceCount; ++i) {
        const simulated_instance &target = m_instances[static_cast<std::size_t>(item.instance)];
        if (target.alive && !target.paused)
            break;
        item.instance = (item.instance + 1) % instanceCount;
    }
    token_bucket &ideal = m_idealBuckets.at(team.name);
    const std::optional<std::uint64_t> idealId = ideal.reserve(m_now, item.reserved);
    item.idealAdmitted = idealId.has_value();
    if (idealId) {
        m_idealAdmitted += isWithinRate(team.name) ? 1 : 0;
        m_idealTokens[team.name] += item.used;
        const double unused = item.reserved - item.used;
        schedule(fromSeconds(item.seconds),
                 [this, &ideal, id = *idealId, unused] { ideal.settle(m_now, id, unused); });
    }
    simulated_instance &self = m_instances[static_cast<std::size_t>(item.instance)];
    if (self.limits) {
        const std::uint64_t id = m_nextRequest++;
        m_requests[id] = item;
        self.limits->request(m_now, id, team.name, item.reserved);
        takeDecisions(self);
        return;
    }
    const std::optional<std::uint64_t> reservation =
        self.staticBuckets.at(team.name).reserve(m_now, item.reserved);
    if (!reservation) {
        countRefusal(item);
        return;
    }
    item.reservation = *reservation;
    const std::uint64_t id = m_nextRequest++;
    m_requests[id] = item;
    startRequest(id);
}

void limiter_simulation::generateTraffic()
{
    constexpr double meanTokens = 14000 + 256;
    for (const team_traffic &team : m_scenario.teams) {
        // Uses the limit at the start: callers don't slow down when the limit changes.
        const double perSecond = team.limit.rate * team.load / meanTokens;
        const double perStep = perSecond * toSeconds(stepDuration);
        const int count = std::poisson_distribution<int>(perStep)(m_random);
        for (int i = 0; i < count; ++i)
            offerRequest(team);
    }
}

void limiter_simulation::stepInstance(int index)
{
    simulated_instance &self = m_instances[static_cast<std::size_t>(index)];
    if (!self.alive || self.paused || !self.limits)
        return;
    if (self.manager)
        stepConfirmations(self, index);
    else
        stepPlatformLease(self, index);
    for (const grant_call &call : self.limits->tick(m_now))
        sendCall(index, call);
    takeDecisions(self);
}

void limiter_simulation::step()
{
    m_now += stepDuration;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const std::function<void()> action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    for (int i = 0; i < instanceCount; ++i)
        stepInstance(i);
}

double limiter_simulation::overshootOf(const std::string &team) const
{
    const auto found = m_usages.find(team);
    if (found == m_usages.end())
        return 0;
    std::vector<token_usage> usages = found->second;
    std::sort(usages.begin(), usages.end(),
              [](const token_usage &a, const token_usage &b) { return a.at < b.at; });
    const token_limit &limit = m_highestLimits.at(team);
    // Computes the largest excess of the windows that end at each request from that of the previous
    // request.
    double maxExcess = 0;
    double windowTokens = 0;
    for (std::size_t i = 0; i < usages.size(); ++i) {
        const double gap = i == 0 ? 0 : toSeconds(usages[i].at - usages[i - 1].at);
        windowTokens = std::max(0.0, windowTokens - limit.rate * gap) + usages[i].tokens;
        maxExcess = std::max(maxExcess, windowTokens - limit.burst);
    }
    return maxExcess;
}

simulation_result limiter_simulation::run()
{
    constexpr double settlingSeconds = 12;
    for (double t = 0; t < settlingSeconds; t += toSeconds(stepDuration))
        step();
    m_messages = 0;
    m_platformCalls = 0;
    const timestamp begin = m_now;
    while (m_now - begin < fromSeconds(m_scenario.seconds)) {
        if (m_scenario.faults)
            m_scenario.faults(*this, toSeconds(m_now - begin));
        generateTraffic();
        step();
    }
    simulation_result outcome;
    outcome.messagesPerInstanceSecond =
        static_cast<double>(m_messages) / instanceCount / m_scenario.seconds;
    outcome.platformCallsPerSecond = static_cast<double>(m_platformCalls) / m_scenario.seconds;
    for (double t = 0; t < settlingSeconds; t += toSeconds(stepDuration))
        step();
    outcome.requests = m_idealAdmitted;
    outcome.refusedWithinRate = static_cast<double>(m_refusedWithinRate)
        / static_cast<double>(std::max<std::uint64_t>(1, m_idealAdmitted));
    for (const team_traffic &team : m_scenario.teams) {
        outcome.overshoot = std::max(outcome.overshoot, overshootOf(team.name));
        const double ideal = std::max(1.0, m_idealTokens[team.name]);
        outcome.worstServed = std::min(outcome.worstServed, m_servedTokens[team.name] / ideal);
    }
    return outcome;
}

namespace {

/// Returns a fault that runs @p action once, @p when seconds after the start.
std::function<void(limiter_simulation &, double)>
once(double when, std::function<void(limiter_simulation &)> action)
{
    return [when, action, done = false](limiter_simulation &simulation, double seconds) mutable {
        if (done || seconds < when)
            return;
        done = true;
        action(simulation);
    };
}

/// Returns a fault that runs @p first and @p second in every step.
std::function<void(limiter_simulation &, double)>
both(std::function<void(limiter_simulation &, double)> first,
     std::function<void(limiter_simulation &, double)> second)
{
    return [first, second](limiter_simulation &simulation, double seconds) mutable {
        first(simulation, seconds);
        second(simulation, seconds);
    };
}

std::string largeTeam(const limiter_simulation &simulation)
{
    return simulation.teams().front().name;
}

} // namespace

std::vector<limit_scenario> limitScenarios()
{
    std::vector<limit_scenario> scenarios;
    const auto add = [&](std::string name, double load,
                         std::function<void(limiter_simulation &, double)> faults = {}) {
        scenarios.push_back(
            {.name = std::move(name), .teams = defaultTeams(load), .faults = std::move(faults)});
    };
    add("calm", 0.7);
    add("skewed callers", 0.7);
    scenarios.back().ownerShare = 0;
    add("one team at 8 times its rate", 0.7);
    scenarios.back().teams[2].load = 8;
    add("owner crashes", 0.7, once(40, [](limiter_simulation &simulation) {
            simulation.kill(std::max(0, simulation.ownerOf(largeTeam(simulation))));
        }));
    add("owner pauses 10 s and resumes", 0.7,
        [owner = -1](limiter_simulation &simulation, double seconds) mutable {
            if (owner < 0 && seconds >= 40) {
                owner = std::max(0, simulation.ownerOf(largeTeam(simulation)));
                simulation.setPaused(owner, true);
            }
            if (owner >= 0 && seconds >= 50)
                simulation.setPaused(owner, false);
        });
    add("owner cut off from the platform", 0.7, once(40, [](limiter_simulation &simulation) {
            simulation.cutFromPlatform.insert(
                std::max(0, simulation.ownerOf(largeTeam(simulation))));
        }));
    add("owner cut off from its peers 20 s", 0.7,
        both(once(40,
                  [](limiter_simulation &simulation) {
                      simulation.cutFromPeers.insert(
                          std::max(0, simulation.ownerOf(largeTeam(simulation))));
                  }),
             once(60, [](limiter_simulation &simulation) { simulation.cutFromPeers.clear(); })));
    add("platform out for 10 minutes", 0.7,
        both(once(20, [](limiter_simulation &simulation) { simulation.isPlatformDown = true; }),
             once(620, [](limiter_simulation &simulation) { simulation.isPlatformDown = false; })));
    scenarios.back().seconds = 660;
    add("two takeovers race", 0.7, once(40, [](limiter_simulation &simulation) {
            const int owner = std::max(0, simulation.ownerOf(largeTeam(simulation)));
            simulation.kill(owner);
            simulation.kill((owner + 3) % limiter_simulation::instanceCount);
        }));
    add("answers of the platform lost", 0.7,
        both(once(30, [](limiter_simulation &simulation) { simulation.lostAnswerShare = 0.5; }),
             once(40, [](limiter_simulation &simulation) {
                 simulation.kill(std::max(0, simulation.ownerOf(largeTeam(simulation))));
             })));
    add("half of the instances restart at once", 0.7, once(40, [](limiter_simulation &simulation) {
            for (int i = 0; i < limiter_simulation::instanceCount; i += 2)
                simulation.restart(i);
        }));
    add("a configuration change halves and restores a rate", 0.4,
        both(once(40,
                  [](limiter_simulation &simulation) {
                      simulation.setLimit("bream", {.rate = 60000, .burst = 480000});
                  }),
             once(80, [](limiter_simulation &simulation) {
                 simulation.setLimit("bream", {.rate = 120000, .burst = 960000});
             })));
    add("owner crashes while the platform is out", 0.7,
        both(once(30, [](limiter_simulation &simulation) { simulation.isPlatformDown = true; }),
             both(once(40,
                       [](limiter_simulation &simulation) {
                           simulation.kill(std::max(0, simulation.ownerOf(largeTeam(simulation))));
                       }),
                  once(60, [](limiter_simulation &simulation) {
                      simulation.isPlatformDown = false;
                  }))));
    return scenarios;
}

} // namespace trefoil
