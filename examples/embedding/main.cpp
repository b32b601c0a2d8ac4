#include <iostream>
#include <map>
#include <optional>
#include <string>

#include <limits/rate_limiter.h>

using namespace trefoil;

namespace {

/// Stored lease record with the version for conditional updates. This example keeps records in a
/// map; any store with conditional updates will do.
struct versioned_record
{
    std::uint64_t version = 0;
    lease_record record;
};

/// One of the instances that share the limit.
struct member
{
    member(const std::string &name, timestamp now)
        : leases({.self = name, .zone = name, .keys = shardKeys(1)}, now),
          limits({.self = name, .shards = 1}, leases)
    { }

    lease_manager leases;
    rate_limiter limits;
};

/// Delivers all pending messages between the members and all store operations without delay.
void exchangeMessages(std::map<std::string, member> &fleet,
                      std::map<std::string, versioned_record> &store, timestamp now)
{
    lease_fleet fleetView;
    for (const std::pair<const std::string, member> &each : fleet) {
        fleetView.usable.push_back({.name = each.first, .zone = each.first});
        fleetView.known.push_back(each.first);
    }
    for (std::pair<const std::string, member> &each : fleet) {
        member &self = each.second;
        self.leases.setFleet(now, fleetView);
        for (const lease_action &action : self.leases.tick(now)) {
            if (const confirm_call *call = std::get_if<confirm_call>(&action)) {
                const confirm_answer answer =
                    fleet.at(call->to).leases.onRequest(now, call->request);
                self.leases.onAnswer(now, call->id, answer);
            } else if (const record_write *write = std::get_if<record_write>(&action)) {
                versioned_record &item = store[write->key];
                const bool matches = item.version == write->expected;
                if (matches)
                    item = {.version = item.version + 1, .record = write->record};
                self.leases.onWritten(now, write->key,
                                      matches ? write_outcome::Done : write_outcome::Conflict,
                                      item.version);
            } else {
                const std::string &key = std::get<record_read>(action).key;
                const versioned_record &item = store[key];
                self.leases.onRecord(now, key, item.version,
                                     item.version == 0 ? std::optional<lease_record>()
                                                       : item.record);
            }
        }
        for (const lease_event &event : self.leases.takeEvents())
            self.limits.onLease(now, event);
        for (const grant_call &call : self.limits.tick(now)) {
            const grant_answer answer = fleet.at(call.to).limits.onRequest(now, call.request);
            self.limits.onAnswer(now, call.id, answer);
        }
    }
}

} // namespace

/// Simulates ten seconds in which two members receive requests for three times the tokens that the
/// team's rate allows.
int main()
{
    const token_limit limit {.rate = 1000, .burst = 8000};
    const timestamp start {std::chrono::seconds(100)};
    std::map<std::string, member> fleet;
    std::map<std::string, versioned_record> store;
    for (const char *name : {"a", "b"}) {
        fleet.try_emplace(name, name, start);
        fleet.at(name).limits.setTeams(start, {{"reef", limit}});
    }
    constexpr int steps = 1000;
    constexpr double tokens = 300;
    double admitted = 0;
    std::uint64_t nextRequest = 1;
    timestamp now = start;
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::milliseconds(10);
        exchangeMessages(fleet, store, now);
        const bool hasTraffic = i >= steps / 2 && i % 10 == 0;
        for (std::pair<const std::string, member> &each : fleet) {
            if (hasTraffic)
                each.second.limits.request(now, nextRequest++, "reef", tokens);
            for (const admission &decision : each.second.limits.takeDecisions())
                admitted += decision.kind == admission::outcome::Admitted ? tokens : 0;
        }
    }
    const double allowed = limit.burst + limit.rate * toSeconds(now - start) / 2;
    std::cout << "admitted " << admitted << " of at most " << allowed << " tokens\n";
    const bool isWithinBounds = admitted <= allowed && admitted >= 0.8 * allowed;
    return isWithinBounds ? 0 : 1;
}
