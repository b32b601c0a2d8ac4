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
#include <dispatch/brittle_services.h>
#include <dispatch/call_time.h>
#include <dispatch/cold_servers.h>
#include <dispatch/long_prompts.h>
#include <dispatch/peer_load_table.h>
#include <dispatch/prefill_rate.h>
#include <dispatch/server_pace.h>
#include <dispatch/server_reach.h>
#include <dispatch/server_statements.h>
#include <dispatch/service_load.h>
#include <dispatch/serving_tables.h>
#include <dispatch/zone_evacuations.h>

namespace trefoil {

/// One segment of a prompt. Requests whose prompts share a segment share its KV cache.
struct prompt_part
{
    std::string id;
    double tokens = 0;
};

/// Properties of a request that the choice of a server depends on.
struct request_profile
{
    std::string_view service;
    /// Empty for a service without a model.
    std::string_view model;
    /// Group of teams that share KV cache, see serving_tables::assignCacheGroups().
    std::string_view cacheGroup;
    /// Parts in prompt order. The last one is unique to the request and never cached for others.
    std::span<const prompt_part> prompt;
    double outputTokens = 0;
    /// Backend servers that this request was sent to before.
    std::span<const std::string> tried;
    /// Software releases whose servers must not serve the request.
    std::span<const std::string> excludedReleases;
    /// Target latency of the request's route, see long_prompts.
    duration targetLatency {};
};

/// Server chosen for a request, with the expected cost.
struct server_placement
{
    std::string server;
    /// Start of the server in milliseconds since 1970, which tells a restart under the same id.
    std::uint64_t startedAtMs = 0;
    endpoint address;
    std::string zone;
    std::string release;
    /// Weights that the server is assumed to run; 0 for a service without a model.
    std::uint64_t weights = 0;
    /// Requests with the same salt share KV cache on an engine. It contains the model, the weights
    /// version and the team if that is isolated, so a request never reuses KV cache of other
    /// weights or of an isolated team. Empty for a service without a model.
    std::string cacheSalt;
    /// Engine or KV cache store to copy missing parts from.
    std::optional<endpoint> cacheSource;
    /// KV cache store that the engine writes the shared parts to.
    std::optional<endpoint> cacheSink;
    /// Availability zones of cacheSource and cacheSink.
    std::vector<std::string> copyZones;
    /// Time in milliseconds that the request's copies occupy the link of transferStore.
    double storeTransferMs = 0;
    /// Address of the KV cache store that the request copies from or to, or empty.
    std::string transferStore;
    /// Prompt tokens that the engine must compute.
    double missingTokens = 0;
    /// KV cache memory that the request takes on the engine, in tokens.
    double memoryTokens = 0;
    /// Expected time to the first event in milliseconds.
    double expectedMs = 0;
    /// Part of expectedMs that is spent on copying cached parts.
    double copyMs = 0;
    /// Part of expectedMs that is spent behind other requests.
    double queueMs = 0;
    /// Whether the request fits into the server's memory or short queue. Always true without
    /// load_balancer_options::avoidsFullServers.
    bool fits = true;
    /// Expected time to the first event in milliseconds if no part of the prompt is cached.
    double uncachedMs = 0;
    /// Factor from the pace that the server stated, included in expectedMs and uncachedMs.
    double paceFactor = 1;
    /// Part of an engine's expectedMs that paceFactor adds.
    double paceMs = 0;
    /// Cost in milliseconds from long_prompts, not included in expectedMs.
    double longPromptMs = 0;
    /// Whether another server would have been chosen without this cost.
    bool isMovedByLongPrompts = false;
    /// Whether this instance is cut off from the servers, so that another one must relay the
    /// connection.
    bool isRelayed = false;
};

/// Outcome of an attempt to run a request on a backend server.
enum class attempt_outcome {
    Done,
    /// The server ran the request and answered with a failure.
    Failed,
    /// The server refused the request without running it.
    Rejected,
    /// The connection was reset, timed out or carried a malformed response.
    Lost,
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The caller disconnected or its deadline passed. Not counted for or against the server.
    Abandoned
};

/// Prompt parts that a request has put into the KV cache of a server and possibly of a store.
/// Reported to the other instances so that they can place requests where parts are cached.
struct cache_placement
{
    std::string server;
    std::vector<std::uint64_t> parts;
    /// Address of the KV cache store that parts are copied from or to, or empty.
    std::string store;
    /// Whether the parts are written to that store.
    bool isStored = false;
    /// Time in milliseconds that the copies occupy the store's link.
    double storeTransferMs = 0;
};

/// Options of a load balancer. Costs are in milliseconds of expected latency.
struct load_balancer_options
{
    /// Availability zone of this instance.
    std::string zone;
    std::uint64_t randomSeed = 1;
    /// Estimate of the engines' prefill rate.
    prefill_rate_options prefill;
    /// Time to the first event of an idle engine in milliseconds, without prefill.
    double baseFirstEventMs = 40;
    /// Assumed duration in milliseconds of a call to a service without a model, until a call to any
    /// of its servers has been measured.
    double defaultCallMs = 20;
    /// Cost of a model server in another zone: the price of cross-zone traffic for the prompt.
    double crossZoneCostMs = 30;
    /// Cost of a server in another zone for a service without a model, whose requests are small.
    double crossZoneCallCostMs = 4;
    /// Cost of a server other than the home server of the prompt's last shared part.
    double nonHomeCostMs = 40;
    /// Cost of weights older than the newest target weights; see staleWeightsDelay.
    double staleWeightsCostMs = 100;
    /// Time after newer target weights were set from which stale weights cost staleWeightsCostMs.
    duration staleWeightsDelay = std::chrono::milliseconds(1500);
    /// Time after newer target weights were set from which no request may start on older ones.
    duration weightsDeadline = std::chrono::seconds(12);
    /// Part of weightsDeadline that is left unused: this instance may have heard late of the newer
    /// weights, and a request or its withdrawal takes time to reach the server.
    duration weightsMargin = std::chrono::milliseconds(400);
    /// Factor on the expected wait at a server with older weights. The estimate doesn't include
    /// requests that other instances place there at the same time.
    double staleWeightsWaitFactor = 1.3;
    /// Fraction of an engine's memory that requests may take before further ones queue.
    double memoryShare = 0.9;
    /// Whether a request is placed on a full server only if all are full. A model engine is full if
    /// the memory of running requests, each with its whole prompt, leaves no room for the request;
    /// another server if its slots and its short queue are taken.
    bool avoidsFullServers = false;
    /// Requests for each slot of a server without a model, running and in its short queue, from
    /// which it is full: half of what servers accept, since reports of load arrive late.
    int maxRequestsPerSlot = 3;
    /// Cost of a suspect server.
    double suspectCostMs = 400;
    /// Load reported by other instances expires after this time.
    duration reportLifetime = std::chrono::milliseconds(1500);
    /// Whether requests to cold servers are limited, and how.
    bool limitsColdServers = false;
    cold_server_options cold;
};

/// Tracks the estimated load, weights, KV cache and health of all backend servers and chooses the
/// server with the least expected cost in milliseconds. Time is passed in as an argument. Not
/// thread-safe.
///
/// Handles these cases: several instances that see the same idle server (each adds the load that
/// the others report); a prompt part in heavy use (once requests queue at its home server, copying
/// the part to another engine is cheaper); engines that load weights; servers that fail or stop
/// responding.
class load_balancer
{
public:
    explicit load_balancer(const load_balancer_options &options);

    /// Replaces the list of servers. The state of servers that stay listed is kept unless they have
    /// restarted.
    void setServers(std::span<const registered_server> servers);
    /// Sets the engine traits of the services, the KV cache stores and the routes' target
    /// latencies.
    void setTables(const serving_tables &tables);
    /// Records that the operator set the target weights of @p model to @p version at @p since or
    /// earlier.
    void addTargetWeights(std::string_view model, std::uint64_t version, timestamp since);
    /// Records that @p server itself stated that it runs @p version of @p model. Ignored if a newer
    /// version is known.
    void onWeightsObserved(timestamp now, std::string_view server, std::string_view model,
                           std::uint64_t version);
    /// Records the weights of @p server as another instance reported them. They are not included in
    /// serversWithNewWeights(), so this instance does not report them again.
    void onWeightsReported(std::string_view server, std::string_view model, std::uint64_t version);
    /// Records that @p server refused a request because it doesn't run version @p tried: it has
    /// loaded weights that this instance does not know yet. The next target version is assumed
    /// until the server confirms one.
    void onWeightsMismatch(timestamp now, std::string_view server, std::string_view model,
                           std::uint64_t tried);
    /// Marks @p server as gone because another server answers at its address.
    void markGone(std::string_view server);
    /// Returns the servers that are marked as gone and still listed.
    std::vector<std::string> goneServers() const;
    /// Marks @p server as loading weights until newer weights are seen on it, at most until
    /// @p until.
    void markLoading(std::string_view server, timestamp until);

    /// Sets the boot epoch of the KV cache store at @p address, 0 while the store doesn't answer.
    /// A changed epoch means that the store has restarted empty.
    void setStoreEpoch(std::string_view address, std::uint64_t epoch);

    /// Replaces the set of zones whose servers and KV cache stores must not be used.
    zone_evacuations::changes setEvacuatedZones(timestamp now, std::span<const std::string> zones);
    /// Returns the evacuated zones.
    zone_evacuations &evacuations() { return m_evacuations; }
    /// Returns whether @p placed must not be sent, because its server or one end of its copies is
    /// in a zone that is evacuated now.
    bool usesEvacuatedZone(const server_placement &placed) const;

    /// Returns what is known of cold servers.
    cold_servers &coldServers() { return m_coldServers; }
    /// Returns whether this instance reaches the servers as a whole.
    const server_reach &reach() const { return m_reach; }
    /// Returns whether a listed server has @p address.
    bool isServerAddress(const endpoint &address) const;
    /// Records whether @p server stated in its answer to a request that was sent at @p sentAt that
    /// it is brittle. Returns whether that changed for its service.
    bool onBrittleStated(timestamp sentAt, std::string_view server, bool isBrittle);
    /// Returns what servers have stated about themselves.
    server_statements &statements() { return m_statements; }

    /// Returns the server of least cost, or nothing if no server may take the request. The request
    /// counts against the limit of the server until cancel() or end() is called.
    std::optional<server_placement> choose(timestamp now, const request_profile &request);
    /// Takes back a choice for which begin() is not called.
    void cancel(const server_placement &placed);
    /// Returns whether the last choose() passed over servers that are brittle and full.
    bool isHeldBack() const { return m_isHeldBack; }
    /// Returns the time until one of the servers takes requests again that the last choose() passed
    /// over because of their limits or pauses, or nothing if there was none.
    std::optional<duration> limitedFor() const { return m_limitedFor; }
    /// Adds the load of a request sent to @p placed. Returns a ticket to pass to the calls below.
    std::uint64_t begin(timestamp now, const server_placement &placed,
                        const request_profile &request);
    /// Records the first event of the ticket's response: from now on the engine and the KV cache
    /// store hold the prompt's shared parts.
    void onFirstEvent(timestamp now, std::uint64_t ticket);
    /// Records that the ticket's server has sent nothing for too long.
    void onServerSilent(timestamp now, std::uint64_t ticket);
    /// Removes the ticket's load and updates the server's health from @p outcome.
    void end(timestamp now, std::uint64_t ticket, attempt_outcome outcome);
    /// Takes the numbers of running and waiting requests that @p server reports in a response.
    void onLoadReported(timestamp now, std::string_view server, int running, int waiting);
    /// Takes the pace that @p server states, see server_pace.
    void onPaceReported(timestamp now, std::string_view server, int pace);

    /// Records the outcome of a direct connection to @p server, decided on at @p startedAt. Returns
    /// whether reach().isCutOff() changed. Call before onProbeResult() and end().
    bool recordConnection(timestamp now, timestamp startedAt, std::string_view server,
                          bool isConnected);

    /// Returns the servers to probe with a connection now: those that stopped responding, lost
    /// requests, refused a connection or were named by requestProbe(). Servers that can't be
    /// reached get no requests until a probe succeeds. A server is not returned again until
    /// onProbeResult() was called for it.
    std::vector<registered_server> serversToProbe(timestamp now);
    /// Returns servers that count as reachable, to probe before those that are @p due: two if there
    /// are such that may be lost, more if this instance may be cut off. Their success tells the
    /// loss of servers from that of this instance's links, see server_reach. onProbeResult() has to
    /// be called for them too.
    std::vector<registered_server> controlServers(timestamp now,
                                                  std::span<const registered_server> due);
    /// Takes the result of a probe.
    void onProbeResult(std::string_view server, bool isReachable);
    /// Requests a probe of @p server because another instance can't reach it.
    void requestProbe(timestamp now, std::string_view server);
    /// Returns the servers that this instance can't reach.
    std::vector<std::string> unreachableServers() const;
    /// Returns whether this instance can't reach @p server.
    bool isUnreachable(std::string_view server) const;

    /// Returns the load that this instance has put on each server.
    server_loads ownLoad() const;
    /// Replaces the load that @p peer has put on each server.
    void setPeerLoad(timestamp now, std::string_view peer, const server_loads &load);
    /// Returns the copies and the newly cached parts of this instance's requests since the last
    /// call and clears them.
    std::vector<cache_placement> takeCachePlacements();
    /// Records placements made by another instance.
    void addCachePlacements(timestamp now, std::span<const cache_placement> placements);

    /// Returns the last prefill rate that this instance has measured since the last call, in prompt
    /// tokens per millisecond by service, and clears it.
    std::map<std::string, double, std::less<>> takePrefillRates();
    /// Records prefill rates that another instance has measured, by service. Unknown services are
    /// ignored.
    void addPrefillRates(const std::map<std::string, double, std::less<>> &rates);

    /// Returns the addresses of the KV cache stores.
    std::vector<endpoint> cacheStores() const;
    /// Returns up to @p count random servers that count as reachable, without @p server.
    std::vector<registered_server> otherServers(timestamp now, std::string_view server,
                                                std::size_t count);
    /// Returns the number of listed servers.
    std::size_t serverCount() const { return m_servers.size(); }
    /// Returns the listed servers with the weights that they are known to run.
    std::vector<registered_server> servers() const;
    /// Returns the servers on which newer weights were observed after @p since, with all weights
    /// that they run.
    std::vector<registered_server> serversWithNewWeights(timestamp since) const;
    /// Returns the time at which each weights version became the target, by model and version.
    const std::map<std::string, std::map<std::uint64_t, timestamp>, std::less<>> &
    targetWeights() const
    {
        return m_targetWeights;
    }
    /// Returns the newest target version of the weights, by model.
    std::map<std::string, std::uint64_t, std::less<>> newestTargetWeights() const;
    /// Returns the time from which no request may start on @p version of @p model, because newer
    /// target weights were set long enough before, or nothing if there are none.
    std::optional<timestamp> weightsLimit(std::string_view model, std::uint64_t version) const;
    /// Returns the time by which a request must have started on @p version of @p model and after
    /// which it has to be withdrawn: weightsLimit() less load_balancer_options::weightsMargin.
    std::optional<timestamp> latestStart(std::string_view model, std::uint64_t version) const;
    /// Returns the distinct releases that the servers of @p service run.
    std::vector<std::string> releasesOf(std::string_view service) const;
    /// Returns the load that all instances together put on @p server.
    server_load totalLoad(timestamp now, std::string_view server);
    /// Returns the load that all instances together put on the servers of @p service that may take
    /// requests. It may be up to 20 ms old.
    const service_load &serviceLoad(timestamp now, std::string_view service);
    /// Returns whether @p server is suspect: it failed or stopped responding recently.
    bool isSuspect(timestamp now, std::string_view server) const;

private:
    struct server_state
    {
        registered_server info;
        server_load own;
        /// Place in m_peerLoads.
        peer_load_table::slot slot = 0;
        /// Requests that the server reported and no instance, and when it did.
        int unattributed = 0;
        timestamp unattributedAt;
        timestamp loadingUntil;
        timestamp suspectUntil;
        /// Moving average of the share of requests that the server failed or lost.
        double failureShare = 0;
        int consecutiveLosses = 0;
        int suspicionCount = 0;
        /// Whether another server answers at the address.
        bool isGone = false;
        /// Whether the server gets no requests until a probe succeeds.
        bool isUnreachable = false;
        bool needsProbe = false;
        /// Whether a probe is in progress.
        bool isProbing = false;
        timestamp probedAt;
        /// Weights version assumed after a refusal; 0 to use the known one.
        std::uint64_t assumedWeights = 0;
        timestamp weightsObservedAt;
        /// Ratio of the measured to the expected time to the first event.
        double slowness = 1;
        /// Duration of a call to a service without a model.
        call_time callTime;
        server_pace pace;
        /// Average of the pace during the measurements of slowness.
        double slownessPace = 1;
        /// Average of the pace, as a factor, during the measurements of callTime.
        call_time callPace;
        /// Last use by part; see cachedPartKey().
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
        /// Time until which known copies occupy the store's link.
        timestamp busyUntil;
    };
    /// A server that is assumed to have a part in its KV cache.
    struct part_holder
    {
        const server_state *state = nullptr;
        timestamp lastUse;
    };
    /// Source to copy a part from: a store, an engine or neither.
    struct part_source
    {
        const store_state *store = nullptr;
        const server_state *engine = nullptr;
    };
    /// Cache locality of a prompt, computed once for each choice.
    struct prompt_affinity
    {
        /// Id of the prompt's home server, or empty.
        std::string home;
        /// Reachable store assigned to the prompt's parts, or nullptr.
        const store_state *store = nullptr;
        /// Time in milliseconds until earlier copies leave the store's link free.
        double storeWaitMs = 0;
    };

    struct ticket_state
    {
        std::string server;
        double pendingTokens = 0;
        /// Tokens of other requests that the server had to compute before.
        double tokensAhead = 0;
        double memoryTokens = 0;
        /// Expected time to the first event, without the pace.
        double expectedMs = 0;
        double copyMs = 0;
        /// Shared parts that the server and a store hold from the first event on.
        cache_placement cached;
        timestamp startedAt;
        bool hasStarted = false;
        bool isModel = false;
        bool wasSilent = false;
    };

    /// Returns random servers that count as reachable and are not being probed.
    std::vector<server_state *> reachableServers(timestamp now, std::size_t count);
    static std::uint64_t weightsOf(const server_state &state, std::string_view model);
    bool mayTake(timestamp now, const server_state &state, const request_profile &request) const;
    std::optional<server_placement> chooseAmong(timestamp now, const request_profile &request,
                                                bool includesUnreachable);
    /// Excludes the cold servers of @p service that this instance must send nothing to now. Returns
    /// the others, from whose allowances a request was taken.
    std::vector<std::string> admitToColdServers(timestamp now, std::string_view service);
    /// Returns whether @p state is brittle and has no room that is known for a request.
    bool isFullAndBrittle(timestamp now, const server_state &state);
    /// Applies the pauses of the servers of @p service to m_limitedFor.
    void addPauses(timestamp now, std::string_view service);
    std::optional<server_placement> chooseAdmitted(timestamp now, const request_profile &request,
                                                   bool includesUnreachable);
    double staleWeightsCost(timestamp now, const request_profile &request,
                            const server_placement &placed) const;
    server_placement estimate(timestamp now, const server_state &state,
                              const request_profile &request, const engine_traits *engine,
                              const prompt_affinity &affinity) const;
    double costOf(timestamp now, const server_state &state, const request_profile &request,
                  const server_placement &placed, std::string_view home) const;
    void estimateEngine(timestamp now, const server_state &state, const request_profile &request,
                        const engine_traits &engine, const prompt_affinity &affinity,
                        server_placement &placed) const;
    const std::vector<part_holder> &holdersOf(timestamp now, std::uint64_t part) const;
    part_source findSource(timestamp now, const server_state &target, std::uint64_t part,
                           const prompt_affinity &affinity) const;
    prompt_affinity affinityOf(timestamp now, const request_profile &request) const;
    /// Returns the store for a prompt prefix, chosen by rendezvous hashing, or nullptr if there is
    /// none.
    const store_state *assignedStore(std::uint64_t prefixHash) const;
    /// Returns the home server for a prompt prefix, chosen by rendezvous hashing, or "" if there is
    /// none.
    std::string homeServerOf(const request_profile &request, std::uint64_t prefixHash,
                             const store_state *store) const;
    double copyMs(const part_source &source, const server_state &target, double tokens,
                  const engine_traits &engine) const;
    server_state *findServer(std::string_view id);
    const server_state *findServer(std::string_view id) const;
    /// Returns the ids of the servers with @p flag set.
    std::vector<std::string> serversWithFlag(bool server_state::*flag) const;
    server_load totalLoad(timestamp now, const server_state &state) const;
    store_state *findStore(std::string_view address);
    void markSuspect(timestamp now, server_state &state);
    /// Applies @p placement here and adds it to the next report.
    void announce(timestamp now, cache_placement placement);
    /// Drops the parts that the ticket's request was expected to bring into the engine's cache.
    static void forgetParts(server_state &server, const ticket_state &ticket);
    double prefillTokensPerMs(std::string_view service) const;
    prefill_rate &prefillRateOf(std::string_view service);
    service_load sumLoad(timestamp now, std::string_view service) const;
    void measurePrefill(const server_state &server, const ticket_state &ticket, double measuredMs);
    void touchParts(timestamp now, server_state &state, std::span<const std::uint64_t> parts);
    double poolFailureShare(std::string_view service) const;
    double poolCallMs(std::string_view service) const;
    double poolCallPace(std::string_view service) const;
    void recordCall(timestamp now, server_state &server, double milliseconds);

    load_balancer_options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, server_state, std::less<>> m_servers;
    peer_load_table m_peerLoads;
    std::map<std::string, engine_traits, std::less<>> m_engines;
    /// Average duration in milliseconds of the calls to all servers of a service without a model.
    std::map<std::string, double, std::less<>> m_poolCallMs;
    /// Average of the pace during these calls, as a factor.
    std::map<std::string, double, std::less<>> m_poolCallPace;
    /// Prefill rates of the engines, by service.
    std::map<std::string, prefill_rate, std::less<>> m_prefillRates;
    /// Measurements for the next report.
    std::map<std::string, double, std::less<>> m_measuredRates;
    long_prompts m_longPrompts;
    std::vector<store_state> m_stores;
    std::map<std::string, std::map<std::uint64_t, timestamp>, std::less<>> m_targetWeights;
    /// Holders by part, cached during one choice: the estimates of all servers need the same few
    /// parts.
    mutable std::unordered_map<std::uint64_t, std::vector<part_holder>> m_holders;
    std::map<std::uint64_t, ticket_state> m_tickets;
    std::uint64_t m_nextTicket = 1;
    std::vector<cache_placement> m_placed;
    server_reach m_reach;
    brittle_services m_brittle;
    /// See isHeldBack().
    bool m_isHeldBack = false;
    server_statements m_statements;
    zone_evacuations m_evacuations;
    cold_servers m_coldServers;
    /// Servers that the choice in progress must not use because of their limits.
    std::vector<std::string> m_limitedServers;
    /// See limitedFor().
    std::optional<duration> m_limitedFor;
    /// Results of serviceLoad(), by service.
    std::map<std::string, service_load, std::less<>> m_serviceLoads;
};

/// Returns the salt under which engines share KV cache of @p model at version @p weights among the
/// teams of @p cacheGroup. Thread-safe.
std::string cacheSaltOf(std::string_view model, std::uint64_t weights, std::string_view cacheGroup);

} // namespace trefoil
