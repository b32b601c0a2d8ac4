#include <dispatch/cold_servers.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <numeric>

namespace trefoil {

namespace {

/// Instances that a fleet is assumed to have until their list is known: as many as the largest one
/// that is planned for.
constexpr double unknownFleetSize = 300;
/// How long an instance that is no longer listed or heard is charged.
constexpr duration unlistedTime = std::chrono::seconds(8);
/// Standard deviations, and requests, by which random arrivals may exceed their mean in a second.
/// Beyond them is about one second in a hundred million.
constexpr double certainDeviations = 6;
constexpr double certainRequests = 2;
/// Time since the last try that counts for a request that is admitted at random. With more, all
/// instances of a large fleet could send at once after a calm time.
constexpr duration maxUnusedTime = std::chrono::milliseconds(500);
/// Shares follow reports, which come several times a second.
constexpr duration allowanceLifetime = std::chrono::milliseconds(100);
constexpr double rateSteps = 16;
/// Factor between the shares of those that save up their allowance and the others.
constexpr double clearlySmaller = 0.8;
constexpr duration longestWait = std::chrono::seconds(1);

/// Returns the largest mean of random arrivals of which certainly no more than @p bound come in a
/// second.
double meanBelow(double bound)
{
    const double left = bound - certainRequests;
    if (left <= 0)
        return 0;
    // Solves mean + certainDeviations * sqrt(mean) = left.
    const double half = certainDeviations / 2;
    const double root = std::sqrt(half * half + left) - half;
    return root * root;
}

/// Most requests that an instance with @p rate sends in a second if it saves up one.
double mostSaved(double rate) { return std::floor(rate) + 1; }

} // namespace

cold_servers::cold_servers(const cold_server_options &options)
    : m_options(options), m_random(options.randomSeed)
{ }

void cold_servers::setRules(std::map<std::string, cold_rule, std::less<>> rules)
{
    m_rules = std::move(rules);
    m_allowances.clear();
}

const cold_rule *cold_servers::ruleOf(std::string_view service) const
{
    const auto found = m_rules.find(service);
    return found == m_rules.end() || found->second.requestsPerSecond <= 0 ? nullptr
                                                                          : &found->second;
}

timestamp cold_servers::coldUntil(const server_state &state) const
{
    if (state.statedUntil)
        return *state.statedUntil;
    const cold_rule *rule = ruleOf(state.service);
    return rule == nullptr ? timestamp {} : state.assumedFrom + rule->startTime;
}

void cold_servers::setStatement(timestamp now, server_state &state, duration coldFor)
{
    state.statedUntil = now + coldFor;
}

void cold_servers::setServers(timestamp now, std::uint64_t wallMs,
                              std::span<const registered_server> servers)
{
    std::map<std::string, server_state, std::less<>> next;
    for (const registered_server &server : servers) {
        const auto known = m_servers.find(server.id);
        const bool isSame =
            known != m_servers.end() && known->second.startedAtMs == server.startedAtMs;
        server_state state = isSame ? std::move(known->second) : server_state {};
        const bool hasNewEntry = !isSame || state.listedColdTime != server.coldLeft
            || state.heartbeat != server.heartbeat;
        if (!isSame) {
            state.assumedFrom = now;
            // A server that is listed for the first time, or again after an outage of the store,
            // may have started long ago.
            const bool isRestarted = known != m_servers.end();
            if (!isRestarted && server.startedAtMs != 0 && server.startedAtMs < wallMs) {
                const duration age = std::chrono::milliseconds(std::min<std::uint64_t>(
                    wallMs - server.startedAtMs, toMilliseconds(m_options.maxColdTime)));
                state.assumedFrom = std::min(now, now - age + m_options.maxStatementAge);
            }
        }
        state.service = server.service;
        state.zone = server.zone;
        state.startedAtMs = server.startedAtMs;
        state.listedColdTime = server.coldLeft;
        state.heartbeat = server.heartbeat;
        if (hasNewEntry && server.coldLeft) {
            const duration left = std::min(*server.coldLeft, m_options.maxColdTime);
            const bool mayBeOlder =
                state.raisedAt && now - *state.raisedAt < m_options.maxStatementAge;
            if (!mayBeOlder || now + left > coldUntil(state))
                setStatement(now, state, left);
        }
        next.emplace(server.id, std::move(state));
    }
    m_servers = std::move(next);
}

void cold_servers::recordStatement(timestamp now, timestamp sentAt, std::string_view server,
                                   duration coldFor)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || sentAt <= found->second.statementSentAt)
        return;
    server_state &state = found->second;
    const duration left = std::min(coldFor, m_options.maxColdTime);
    const bool isLonger = now + left > coldUntil(state);
    if (!isLonger && state.raisedAt && sentAt <= *state.raisedAt)
        return;
    state.statementSentAt = sentAt;
    // A registration from before may still arrive.
    if (!isCold(now, server) && left > duration::zero())
        state.raisedAt = now;
    setStatement(now, state, left);
}

void cold_servers::onZoneReturned(timestamp now, std::string_view zone)
{
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        server_state &state = it->second;
        const cold_rule *rule = ruleOf(state.service);
        if (state.zone != zone)
            continue;
        state.raisedAt = now;
        state.assumedFrom = now;
        if (state.statedUntil && (rule == nullptr || *state.statedUntil < now + rule->startTime))
            state.statedUntil.reset();
    }
}

bool cold_servers::isCold(timestamp now, std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && ruleOf(found->second.service) != nullptr
        && now < coldUntil(found->second);
}

std::vector<std::string> cold_servers::coldServersOf(timestamp now, std::string_view service) const
{
    std::vector<std::string> cold;
    if (ruleOf(service) == nullptr)
        return cold;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.service == service && now < coldUntil(it->second))
            cold.push_back(it->first);
    }
    return cold;
}

std::size_t cold_servers::count(timestamp now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [this, now](const auto &each) {
            return ruleOf(each.second.service) != nullptr && now < coldUntil(each.second);
        }));
}

void cold_servers::recordDemand(timestamp now, std::string_view service)
{
    if (ruleOf(service) == nullptr)
        return;
    service_demand &demand = m_demand[std::string(service)];
    demand.recent *= std::exp(-toSeconds(now - demand.at) / toSeconds(m_options.demandTime));
    demand.recent += 1;
    demand.at = now;
}

service_rates cold_servers::takeDemandRates(timestamp now)
{
    service_rates rates;
    for (auto it = m_demand.begin(); it != m_demand.end(); ++it) {
        service_demand &demand = it->second;
        const double recent =
            demand.recent * std::exp(-toSeconds(now - demand.at) / toSeconds(m_options.demandTime));
        const double rate =
            std::round(recent / toSeconds(m_options.demandTime) * rateSteps) / rateSteps;
        demand.reported.emplace_back(now, rate);
        // One entry from before the time of interest is kept: it was in force at its start.
        while (demand.reported.size() > 1 && now - demand.reported[1].first >= m_options.riseTime)
            demand.reported.pop_front();
        if (rate > 0)
            rates[it->first] = rate;
    }
    return rates;
}

double cold_servers::ownDemand(timestamp now, std::string_view service) const
{
    const auto found = m_demand.find(service);
    if (found == m_demand.end() || found->second.reported.empty())
        return 0;
    const std::deque<std::pair<timestamp, double>> &reported = found->second.reported;
    // Nothing was reported before the first entry.
    if (now - reported.front().first < m_options.riseTime)
        return 0;
    return std::min_element(
               reported.begin(), reported.end(),
               [](const auto &left, const auto &right) { return left.second < right.second; })
        ->second;
}

bool cold_servers::isSilent(timestamp now, const peer_state &peer) const
{
    return !peer.isHeard
        || now - peer.seenAt > m_options.reportTimeout.timeout(m_peers.size(), peer.period);
}

bool cold_servers::hasEnded(timestamp now, const peer_state &peer) const
{
    if (peer.isLeaving)
        return isSilent(now, peer);
    return !peer.isListed && now - peer.seenAt > unlistedTime;
}

std::size_t cold_servers::heardPeers(timestamp now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(),
                      [this, now](const auto &each) { return !isSilent(now, each.second); }));
}

std::vector<cold_servers::known_demand> cold_servers::otherDemands(timestamp now,
                                                                   std::string_view service) const
{
    std::vector<known_demand> demands;
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        if (hasEnded(now, it->second))
            continue;
        const auto rate = it->second.rates.find(service);
        demands.push_back({.rate = rate == it->second.rates.end() ? 0 : rate->second,
                           .isHeard = !isSilent(now, it->second)});
    }
    return demands;
}

cold_servers::fleet_rates cold_servers::divide(const cold_rule &rule, double ownDemand,
                                               std::span<const known_demand> others) const
{
    const double equal = 1 / static_cast<double>(others.size() + 1);
    double heard = 1;
    double heardDemand = ownDemand;
    double allDemand = ownDemand;
    for (const known_demand &each : others) {
        heard += each.isHeard ? 1 : 0;
        heardDemand += each.isHeard ? each.rate : 0;
        allDemand += each.rate;
    }
    fleet_rates rates;
    double silentShare = 0;
    for (const known_demand &each : others) {
        if (each.isHeard)
            continue;
        const double share = std::max(allDemand > 0 ? each.rate / allDemand : 0, equal);
        silentShare += share;
        rates.all.push_back(share * rule.requestsPerSecond);
    }
    const double divided = std::max(0.0, 1 - silentShare);
    const auto rateOf = [&](double demand) {
        const double part = heardDemand > 0 ? demand / heardDemand : 1 / heard;
        return rule.requestsPerSecond * divided
            * (m_options.equalShare / heard + (1 - m_options.equalShare) * part);
    };
    for (const known_demand &each : others) {
        if (each.isHeard)
            rates.all.push_back(rateOf(each.rate));
    }
    rates.own = rateOf(ownDemand);
    rates.all.push_back(rates.own);
    std::sort(rates.all.begin(), rates.all.end(), std::greater<>());
    return rates;
}

cold_servers::allowance cold_servers::chooseRounding(timestamp now, const fleet_rates &rates,
                                                     double allowed)
{
    // The instances with the largest shares save up their allowance, so that what they send in a
    // second is certain. As many as fit in the bound beside the random arrivals from the others.
    double saved = 0;
    double most = 0;
    double rest = std::accumulate(rates.all.begin(), rates.all.end(), 0.0);
    double bestTotal = -1;
    double leastSavedRate = 0;
    double randomFactor = 0;
    for (std::size_t i = 0; i <= rates.all.size(); ++i) {
        const double random = std::min(std::max(rest, 0.0), meanBelow(allowed - most));
        // Instances with almost the same share must not differ about who is among the largest.
        const bool isClear =
            i == 0 || i == rates.all.size() || rates.all[i] <= rates.all[i - 1] * clearlySmaller;
        if (isClear && most <= allowed && saved + random >= bestTotal) {
            bestTotal = saved + random;
            leastSavedRate = i == 0 ? std::numeric_limits<double>::infinity() : rates.all[i - 1];
            randomFactor = rest > 0 ? std::min(1.0, random / rest) : 1;
        }
        if (i < rates.all.size()) {
            saved += rates.all[i];
            most += mostSaved(rates.all[i]);
            rest -= rates.all[i];
        }
    }
    const bool isSaved = rates.own >= leastSavedRate;
    return {.rate = isSaved ? rates.own : rates.own * randomFactor,
            .isSaved = isSaved,
            .computedAt = now};
}

cold_servers::allowance cold_servers::computeAllowance(timestamp now, std::string_view service,
                                                       const cold_rule &rule) const
{
    const std::vector<known_demand> others = otherDemands(now, service);
    const double instances =
        m_arePeersKnown ? static_cast<double>(others.size() + 1) : unknownFleetSize;
    const auto heard = 1
        + std::count_if(others.begin(), others.end(),
                        [](const known_demand &each) { return each.isHeard; });
    const double allowed =
        std::floor(std::max(rule.requestsPerSecond * std::max(m_options.overage, 1.0), 1.0)
                   + std::max(m_options.slack, 0.0));
    // An instance without contact doesn't know the shares of the others. They charge it at least
    // an equal one.
    if (!m_arePeersKnown || 2 * static_cast<double>(heard) < instances) {
        const double most = std::min(rule.requestsPerSecond, meanBelow(allowed));
        return {.rate = most / instances, .computedAt = now};
    }
    return chooseRounding(now, divide(rule, ownDemand(now, service), others), allowed);
}

const cold_servers::allowance &cold_servers::allowanceOf(timestamp now, const std::string &service,
                                                         const cold_rule &rule)
{
    allowance &known = m_allowances[service];
    if (known.computedAt == timestamp {} || now - known.computedAt >= allowanceLifetime)
        known = computeAllowance(now, service, rule);
    return known;
}

std::optional<duration> cold_servers::admit(timestamp now, std::string_view server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return std::nullopt;
    server_state &state = found->second;
    const cold_rule *rule = ruleOf(state.service);
    if (rule == nullptr || now >= coldUntil(state)) {
        state.isLimited = false;
        return std::nullopt;
    }
    if (!state.isLimited) {
        // All instances learn at the same time that the server is cold.
        state.credit = std::uniform_real_distribution<double>(0, 1)(m_random);
        state.creditAt = now;
        state.isLimited = true;
    }
    const allowance &own = allowanceOf(now, state.service, *rule);
    const duration elapsed = now - state.creditAt;
    state.creditAt = now;
    state.account.rate = own.rate;
    bool isTaken = false;
    if (own.isSaved) {
        state.credit = std::min(1.0, state.credit + own.rate * toSeconds(elapsed));
        isTaken = state.credit >= 1;
        state.credit -= isTaken ? 1 : 0;
    } else {
        // Nothing is saved up: after a calm time all instances would send at once.
        state.credit = 0;
        const double probability = own.rate * toSeconds(std::min<duration>(elapsed, maxUnusedTime));
        isTaken = std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    (isTaken ? state.account.admitted : state.account.refused) += 1;
    if (isTaken)
        return std::nullopt;
    return std::min<duration>(longestWait,
                              fromSeconds((1 - state.credit) / std::max(own.rate, 0.01)));
}

void cold_servers::refund(std::string_view server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.isLimited)
        return;
    server_state &state = found->second;
    state.credit = std::min(1.0, state.credit + 1);
    state.account.admitted -= std::min<std::uint64_t>(state.account.admitted, 1);
}

void cold_servers::setPeers(timestamp now, const std::vector<std::string> &peers)
{
    m_arePeersKnown = true;
    const std::set<std::string_view> listed(peers.begin(), peers.end());
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        it->second.isListed = listed.contains(it->first);
        const bool isGone = !it->second.isListed && hasEnded(now, it->second);
        it = isGone ? m_peers.erase(it) : std::next(it);
    }
    for (const std::string &name : peers)
        m_peers.try_emplace(name, peer_state {.seenAt = now});
}

void cold_servers::applyReport(timestamp now, const cold_report &report)
{
    peer_state &peer =
        m_peers.try_emplace(std::string(report.peer), peer_state {.seenAt = now, .isListed = false})
            .first->second;
    if (std::pair(report.incarnation, report.sequence)
        <= std::pair(peer.incarnation, peer.sequence))
        return;
    peer.incarnation = report.incarnation;
    peer.sequence = report.sequence;
    peer.seenAt = now;
    peer.isHeard = true;
    peer.isLeaving = report.isLeaving;
    peer.period = report.period;
    peer.rates = report.demandRates;
}

std::map<std::string, cold_servers::cold_account, std::less<>>
cold_servers::takeAccounts(timestamp now)
{
    std::map<std::string, cold_account, std::less<>> accounts;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        cold_account account = std::exchange(it->second.account, {});
        if (account.admitted + account.refused == 0)
            continue;
        account.coldFor = std::max<duration>(duration::zero(), coldUntil(it->second) - now);
        accounts.emplace(it->first, account);
    }
    return accounts;
}

} // namespace trefoil
