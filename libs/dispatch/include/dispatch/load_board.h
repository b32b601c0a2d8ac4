#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <core/clock.h>
#include <dispatch/serving_tables.h>

namespace trefoil {

/// One part of a prompt. Requests with the same part share its KV cache.
struct prompt_part
{
    std::string id;
    double tokens = 0;
};

/// A request as placement needs it.
struct work_item
{
    std::string_view service;
    /// Empty for a service without a model.
    std::string_view model;
    /// Team whose KV cache must not be shared, or empty.
    std::string_view isolatedTeam;
    /// Parts in order; the last one belongs to the request alone.
    std::span<const prompt_part> prompt;
    double outputTokens = 0;
    /// Backend servers that this request was sent to before.
    std::span<const std::string> tried;
    /// Releases of the software that must not take it.
    std::span<const std::string> barredReleases;
};

/// Where a request goes.
struct work_placement
{
    std::string server;
    endpoint address;
    std::string zone;
    std::string release;
    /// Weights that the server is believed to run; 0 for a service without a model.
    std::uint64_t weights = 0;
    /// Name under which the engine shares KV cache: it holds the model, the weights version and the
    /// team where that is isolated, so no request can meet cache of other weights or behind a wall.
    std::string cacheName;
    /// Engine or store to copy missing parts from.
    std::optional<endpoint> cacheSource;
    /// Store of KV cache that is to keep the prompt's parts.
    std::optional<endpoint> cacheSink;
    /// Milliseconds for which the prompt's store is busy with it.
    double storeMs = 0;
    /// Store that is busy with it; empty where none is.
    std::string busyStore;
    /// Prompt tokens that must be computed.
    double missingTokens = 0;
    double memoryTokens = 0;
    /// Expected milliseconds to the first event.
    double expectedMs = 0;
};

/// How a request ended at a backend server.
enum class work_outcome {
    Done,
    /// The server answered with a failure of its own.
    Failed,
    /// The server did not run it.
    Rejected,
    /// A reset, silence or bytes that are no answer.
    Lost,
    /// No connection came about: nothing was sent.
    Unreachable,
    /// The caller left or its time ran out: says nothing about the server.
    Abandoned
};

/// Load that one instance has put on a server.
struct server_load
{
    int running = 0;
    /// Prompt tokens of requests without a first event yet.
    double pendingTokens = 0;
    /// Memory that its requests take on the engine.
    double memoryTokens = 0;
};

/// A placement that other instances learn of, so that they know where parts are.
struct placed_parts
{
    std::string server;
    std::vector<std::uint64_t> parts;
    /// Address of the store of KV cache that sends or takes some of them, or "".
    std::string store;
    /// Whether that store keeps them from now on.
    bool isKept = false;
    /// Milliseconds for which it is busy with them.
    double storeMs = 0;
};

/// Options of a load board.
struct load_board_options
{
    std::string zone;
    std::uint64_t randomSeed = 1;
    /// Prompt tokens that an engine reads in a millisecond.
    double prefillTokensPerMs = 90;
    /// Milliseconds to the first event of an idle engine, beside reading the prompt.
    double firstEventMs = 40;
    /// Milliseconds of a call to a service without a model, until it is measured.
    double plainCallMs = 20;
    /// Cost of leaving the zone: the price of the prompt's text between zones, as milliseconds.
    double otherZoneMs = 30;
    /// The same for a call to a service without a model, whose text is short.
    double otherZonePlainMs = 4;
    /// Cost of a server that is not the home of the prompt's last shared part.
    double notHomeMs = 40;
    /// Cost of weights older than the newest, as milliseconds; see olderWeightsAfter.
    double olderWeightsMs = 100;
    /// Answers on older weights count less from this time on after newer ones were named.
    duration olderWeightsAfter = std::chrono::milliseconds(1500);
    /// No request is placed on older weights after this time: the bound, less the time that a
    /// request may wait at its server.
    duration olderWeightsLimit = std::chrono::milliseconds(10500);
    /// Part of an engine's memory that requests may take before more of them wait.
    double memoryShare = 0.9;
    /// Cost of a server under suspicion.
    double suspectMs = 400;
    /// Reports of other instances are dropped after this time.
    duration reportLife = std::chrono::milliseconds(1500);
};

/// Load, weights, KV cache and health of all backend servers as this instance believes them, and
/// the choice of a server by least expected cost in milliseconds. Time comes in as an argument.
/// Not thread-safe.
///
/// Answers: many instances that see the same idle server (each counts what the others report), a
/// hot part (its home's queue makes the copy to another engine the cheaper way), engines that load
/// weights, and servers that fail or fall silent.
class load_board
{
public:
    explicit load_board(const load_board_options &options);

    /// Replaces the servers. What is believed of those that stay is kept.
    void setServers(std::span<const registered_server> servers);
    /// Sets the services' traits and the store of KV cache.
    void setTables(const serving_tables &tables);
    /// Notes that @p version of @p model was named at @p since or before.
    void noteNamedWeights(std::string_view model, std::uint64_t version, timestamp since);
    /// Notes that @p server runs @p version of @p model, as it said itself; older versions than
    /// known are ignored.
    void noteSeenWeights(timestamp now, std::string_view server, std::string_view model,
                         std::uint64_t version);
    /// Notes the same as another instance has told it. It is not told on.
    void noteToldWeights(std::string_view server, std::string_view model, std::uint64_t version);
    /// Notes that @p server refused a request because it doesn't run @p tried: it has carried out
    /// an order that is not known of. The next named version is tried, which is no knowledge yet.
    void noteOtherWeights(timestamp now, std::string_view server, std::string_view model,
                          std::uint64_t tried);
    /// Notes that another server answers at the address of @p server, which is gone.
    void noteGone(std::string_view server);
    /// Returns the servers that were noted as gone and are still listed.
    std::vector<std::string> goneServers() const;
    /// Notes that @p server loads weights until it reports newer ones, at most until @p until.
    void noteLoading(std::string_view server, timestamp until);

    /// Notes the epoch of the start of the store of KV cache at @p address, 0 while it doesn't
    /// answer: a restarted one holds nothing.
    void noteStoreState(std::string_view address, std::uint64_t epoch);

    /// Returns the best server, or nothing where none may take the request.
    std::optional<work_placement> choose(timestamp now, const work_item &work);
    /// Counts @p placed as sent. Returns its ticket.
    std::uint64_t begin(timestamp now, const work_placement &placed, const work_item &work);
    /// Notes the first event of a ticket.
    void noteFirstEvent(timestamp now, std::uint64_t ticket);
    /// Notes that a ticket's server has been silent for too long.
    void noteSilence(timestamp now, std::uint64_t ticket);
    /// Ends a ticket.
    void end(timestamp now, std::uint64_t ticket, work_outcome outcome);
    /// Takes the load that @p server reports with an answer.
    void noteReportedLoad(timestamp now, std::string_view server, int running, int waiting);

    /// Returns the servers to which a connection is to be tried now: those that were silent, lost
    /// requests or refused a connection. They get no requests until one comes about. Each is
    /// returned again only after its outcome was noted.
    std::vector<registered_server> serversToProbe(timestamp now);
    /// Takes the outcome of such a try.
    void noteProbe(std::string_view server, bool isReachable);
    /// Notes that another instance can't reach @p server: it is tried from here as well.
    void noteDoubt(timestamp now, std::string_view server);
    /// Returns the servers that can't be reached from here.
    std::vector<std::string> unreachableServers() const;

    /// Returns the load that this instance has put on each server.
    std::map<std::string, server_load, std::less<>> ownLoad() const;
    /// Takes the load that @p peer has put on each server.
    void takePeerLoad(timestamp now, std::string_view peer,
                      const std::map<std::string, server_load, std::less<>> &load);
    /// Returns placements of this instance since the last call.
    std::vector<placed_parts> takePlacedParts();
    /// Notes placements of another instance.
    void notePlacedParts(timestamp now, std::span<const placed_parts> placements);

    /// Returns the addresses of the stores of KV cache.
    std::vector<endpoint> cacheStores() const;
    /// Returns the servers that are known.
    std::vector<registered_server> servers() const;
    /// Returns the servers whose weights were seen to change after @p since, with all that they
    /// run.
    std::vector<registered_server> serversWithNewWeights(timestamp since) const;
    /// Returns all weights named, by model and version, with the time.
    const std::map<std::string, std::map<std::uint64_t, timestamp>, std::less<>> &
    namedWeights() const
    {
        return m_named;
    }
    /// Returns the newest weights named, by model.
    std::map<std::string, std::uint64_t, std::less<>> newestWeights() const;
    /// Returns the releases of the servers of @p service, each once.
    std::vector<std::string> releasesOf(std::string_view service) const;
    /// Returns the load that all instances have put on @p server.
    server_load totalLoad(timestamp now, std::string_view server) const;
    /// Returns whether @p server is under suspicion.
    bool isSuspect(timestamp now, std::string_view server) const;

private:
    struct peer_load
    {
        server_load load;
        timestamp at;
    };
    struct server_state
    {
        registered_server info;
        server_load own;
        std::map<std::string, peer_load, std::less<>> peers;
        timestamp loadingUntil;
        timestamp suspectUntil;
        /// Moving share of requests that the server failed or lost.
        double failureShare = 0;
        int lostInARow = 0;
        int suspicions = 0;
        bool isGone = false;
        /// Whether no request goes there until a connection comes about.
        bool isUnreachable = false;
        bool needsProbe = false;
        /// Whether a try to connect has begun and not ended.
        bool isProbed = false;
        timestamp probedAt;
        /// Weights to try after a refusal, 0 for those that are known.
        std::uint64_t guessedWeights = 0;
        timestamp weightsSeenAt;
        /// Measured milliseconds to the first event over expected ones.
        double slowness = 1;
        double callMs = 0;
        /// Last use by part; see partKey().
        std::unordered_map<std::uint64_t, timestamp> parts;
    };
    struct store_state
    {
        cache_store info;
        /// The address as text.
        std::string name;
        bool isReachable = true;
        std::uint64_t epoch = 0;
        /// Last use by part.
        std::unordered_map<std::uint64_t, timestamp> parts;
        /// Time until which its link is busy with copies that are known of.
        timestamp busyUntil;
    };
    /// A server that is believed to hold a part.
    struct part_holder
    {
        const server_state *state = nullptr;
        timestamp lastUse;
    };
    /// Where a part is copied from: a store or an engine, or neither.
    struct part_source
    {
        const store_state *store = nullptr;
        const server_state *engine = nullptr;
    };
    /// What a choice needs to know of its prompt once.
    struct prompt_place
    {
        std::string home;
        /// Usable store of the prompt's parts, or nullptr.
        const store_state *store = nullptr;
        /// Milliseconds for which the store is busy with earlier copies.
        double storeWaitMs = 0;
    };

    struct ticket_state
    {
        std::string server;
        double pendingTokens = 0;
        double memoryTokens = 0;
        double expectedMs = 0;
        timestamp startedAt;
        bool hasStarted = false;
        bool isModel = false;
        bool wasSilent = false;
    };

    static std::uint64_t weightsOf(const server_state &state, std::string_view model);
    static bool mayTake(timestamp now, const server_state &state, const work_item &work);
    std::optional<work_placement> chooseAmong(timestamp now, const work_item &work,
                                              bool isLastResort);
    double weightsCost(timestamp now, const server_state &state, const work_item &work) const;
    work_placement estimate(timestamp now, const server_state &state, const work_item &work,
                            const engine_traits *engine, const prompt_place &place) const;
    double costOf(timestamp now, const server_state &state, const work_item &work,
                  const work_placement &placed, std::string_view home) const;
    void estimateEngine(timestamp now, const server_state &state, const work_item &work,
                        const engine_traits &engine, const prompt_place &place,
                        work_placement &placed) const;
    const std::vector<part_holder> &holdersOf(timestamp now, std::uint64_t part) const;
    part_source findSource(timestamp now, const server_state &target, std::uint64_t part,
                           const prompt_place &place) const;
    prompt_place placeOf(timestamp now, const work_item &work) const;
    const store_state *storeOf(std::uint64_t subject) const;
    std::string homeOf(const work_item &work, std::uint64_t subject,
                       const store_state *store) const;
    double copyMs(const part_source &source, const server_state &target, double tokens,
                  const engine_traits &engine) const;
    server_state *findServer(std::string_view id);
    const server_state *findServer(std::string_view id) const;
    /// Returns the ids of the servers whose @p flag is set.
    std::vector<std::string> serversThat(bool server_state::*flag) const;
    server_load totalLoad(timestamp now, const server_state &state) const;
    store_state *findStore(std::string_view address);
    void suspect(timestamp now, server_state &state);
    void noteParts(timestamp now, server_state &state, std::span<const std::uint64_t> parts);
    double poolFailureShare(std::string_view service) const;

    load_board_options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, server_state, std::less<>> m_servers;
    std::map<std::string, engine_traits, std::less<>> m_engines;
    std::vector<store_state> m_stores;
    std::map<std::string, std::map<std::uint64_t, timestamp>, std::less<>> m_named;
    /// Holders by part, found once for each choice: all servers ask for the same few parts.
    mutable std::unordered_map<std::uint64_t, std::vector<part_holder>> m_holders;
    std::map<std::uint64_t, ticket_state> m_tickets;
    std::uint64_t m_nextTicket = 1;
    std::vector<placed_parts> m_placed;
};

/// Returns the name under which engines share KV cache of @p model at @p weights, behind the wall
/// of
/// @p isolatedTeam where that is not empty. Thread-safe.
std::string cacheNameOf(std::string_view model, std::uint64_t weights,
                        std::string_view isolatedTeam);

} // namespace trefoil
