#include <iostream>
#include <map>
#include <optional>
#include <string>

#include <limits/rate_limiter.h>

using namespace trefoil;

namespace {

/// Object of the store that holds a right: here a map, elsewhere any store with conditional update.
struct stored_record
{
    std::uint64_t version = 0;
    lease_record record;
};

/// One member of a fleet of two.
struct party
{
    party(const std::string &name, timestamp now)
        : keeper({.self = name, .zone = name, .keys = shardKeys(1)}, now),
          limits({.self = name, .shards = 1}, keeper)
    { }

    lease_manager keeper;
    rate_limiter limits;
};

/// Delivers what the members ask of each other and of the store, at once.
void step(std::map<std::string, party> &fleet, std::map<std::string, stored_record> &store,
          timestamp now)
{
    lease_fleet known;
    for (const std::pair<const std::string, party> &each : fleet) {
        known.usable.push_back({.name = each.first, .zone = each.first});
        known.known.push_back(each.first);
    }
    for (std::pair<const std::string, party> &each : fleet) {
        party &self = each.second;
        self.keeper.setFleet(now, known);
        for (const lease_action &action : self.keeper.tick(now)) {
            if (const confirm_call *call = std::get_if<confirm_call>(&action)) {
                const confirm_answer answer =
                    fleet.at(call->to).keeper.onRequest(now, call->request);
                self.keeper.onAnswer(now, call->id, answer);
            } else if (const record_write *write = std::get_if<record_write>(&action)) {
                stored_record &item = store[write->key];
                const bool matches = item.version == write->expected;
                if (matches)
                    item = {.version = item.version + 1, .record = write->record};
                self.keeper.onWritten(now, write->key,
                                      matches ? write_outcome::Done : write_outcome::Conflict,
                                      item.version);
            } else {
                const std::string &key = std::get<record_read>(action).key;
                const stored_record &item = store[key];
                self.keeper.onRecord(now, key, item.version,
                                     item.version == 0 ? std::optional<lease_record>()
                                                       : item.record);
            }
        }
        for (const lease_event &event : self.keeper.takeEvents())
            self.limits.onLease(now, event);
        for (const grant_call &call : self.limits.tick(now)) {
            const grant_answer answer = fleet.at(call.to).limits.onRequest(now, call.request);
            self.limits.onAnswer(now, call.id, answer);
        }
    }
}

} // namespace

/// Two members admit requests of one team for ten seconds, three times what its rate allows.
int main()
{
    const token_limit limit {.rate = 1000, .burst = 8000};
    const timestamp start {std::chrono::seconds(100)};
    std::map<std::string, party> fleet;
    std::map<std::string, stored_record> store;
    for (const char *name : {"a", "b"}) {
        fleet.try_emplace(name, name, start);
        fleet.at(name).limits.setTeams(start, {{"reef", limit}});
    }
    constexpr int steps = 1000;
    constexpr double tokens = 300;
    double admitted = 0;
    std::uint64_t next = 1;
    timestamp now = start;
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::milliseconds(10);
        step(fleet, store, now);
        const bool hasTraffic = i >= steps / 2 && i % 10 == 0;
        for (std::pair<const std::string, party> &each : fleet) {
            if (hasTraffic)
                each.second.limits.request(now, next++, "reef", tokens);
            for (const admission &decision : each.second.limits.takeDecisions())
                admitted += decision.kind == admission::outcome::Admitted ? tokens : 0;
        }
    }
    const double allowed = limit.burst + limit.rate * toSeconds(now - start) / 2;
    std::cout << "admitted " << admitted << " of at most " << allowed << " tokens\n";
    const bool isFair = admitted <= allowed && admitted >= 0.8 * allowed;
    return isFair ? 0 : 1;
}
