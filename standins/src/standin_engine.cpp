#include "standin_server.h"

#include <atomic>
#include <cstdlib>
#include <list>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <unordered_map>

#include <Poco/URI.h>
#include <core/clock.h>
#include <core/digest.h>
#include <core/json.h>

#include "chat_request.h"

namespace trefoil {

namespace {

constexpr int engineThreads = 256;
constexpr std::size_t maxCacheEvents = 512;
constexpr duration weightsLoadTime = std::chrono::milliseconds(1500);

/// Prefix cache with LRU eviction, which records an event for each change of its blocks.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity) : m_capacity(capacity) { }

    /// Marks all blocks as most recently used and adds those that are missing. Returns how many
    /// leading blocks were cached before.
    std::size_t use(const std::vector<std::string> &blocks)
    {
        std::size_t cachedCount = 0;
        while (cachedCount < blocks.size() && m_positions.contains(blocks[cachedCount]))
            ++cachedCount;
        std::vector<std::string> stored;
        std::vector<std::string> evicted;
        for (const std::string &block : blocks) {
            const auto found = m_positions.find(block);
            if (found != m_positions.end())
                m_lruOrder.erase(found->second);
            else
                stored.push_back(block);
            m_lruOrder.push_front(block);
            m_positions[block] = m_lruOrder.begin();
        }
        while (m_lruOrder.size() > m_capacity) {
            evicted.push_back(m_lruOrder.back());
            m_positions.erase(m_lruOrder.back());
            m_lruOrder.pop_back();
        }
        if (!stored.empty() || !evicted.empty())
            addEvent(stored, evicted);
        return cachedCount;
    }

    void clear()
    {
        m_lruOrder.clear();
        m_positions.clear();
    }

    Json::Value eventsFrom(std::uint64_t sequence) const
    {
        Json::Value list(Json::arrayValue);
        for (const Json::Value &event : m_events) {
            if (event["sequence"].asUInt64() >= sequence)
                list.append(event);
        }
        return list;
    }

    std::uint64_t nextSequence() const { return m_nextSequence; }

private:
    void addEvent(const std::vector<std::string> &stored, const std::vector<std::string> &evicted)
    {
        Json::Value event(Json::objectValue);
        event["sequence"] = Json::UInt64(m_nextSequence++);
        for (const std::string &block : stored)
            event["stored"].append(block);
        for (const std::string &block : evicted)
            event["evicted"].append(block);
        m_events.push_back(std::move(event));
        if (m_events.size() > maxCacheEvents)
            m_events.pop_front();
    }

    std::size_t m_capacity;
    std::list<std::string> m_lruOrder;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_positions;
    std::list<Json::Value> m_events;
    std::uint64_t m_nextSequence = 1;
};

/// Stand-in for a model engine: generates deterministic tokens after a delay for the prompt tokens
/// that its cache does not hold.
class standin_engine
{
public:
    explicit standin_engine(const standin_options &options)
        : m_options(options), m_cache(options.cacheBlocks), m_version(options.version),
          m_incarnation(wallMilliseconds())
    { }

    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::string path = Poco::URI(request.getURI()).getPath();
        if (path == "/state")
            serveState(request, response);
        else if (path == "/orders/load")
            serveLoadOrder(request, response);
        else if (path == "/cancel")
            serveCancel(request, response);
        else if (path == "/admin")
            serveAdmin(request, response);
        else
            serveCompletion(request, response);
    }

private:
    /// A completion to generate.
    struct generation_job
    {
        std::string attemptId;
        bool isStream = false;
        int tokenCount = 0;
        int firstToken = 0;
        std::size_t cachedBlocks = 0;
        std::size_t promptTokens = 0;
        std::uint64_t seed = 0;
    };

    void serveState(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        m_stateRepeater.sendDue(request);
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::uint64_t firstSequence =
            std::strtoull(queryParameter(request, "from").c_str(), nullptr, 10);
        Json::Value state(Json::objectValue);
        state["incarnation"] = Json::UInt64(m_incarnation);
        state["version"] = m_version;
        state["running"] = Json::UInt64(static_cast<std::uint64_t>(m_runningCount.load()));
        state["queued"] = Json::UInt64(0);
        state["queued_tokens"] = m_queuedTokens.load();
        state["prefill_rate"] = m_options.prefillRate;
        state["next_sequence"] = Json::UInt64(m_cache.nextSequence());
        state["events"] =
            firstSequence == 0 ? Json::Value(Json::arrayValue) : m_cache.eventsFrom(firstSequence);
        const std::string body = writeJson(state);
        sendJson(response, 200, body);
        m_stateRepeater.arrange(request, response, body);
    }

    void serveLoadOrder(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
    {
        const result<Json::Value> order = parseJson(readRequestBody(request), "an order");
        if (!order) {
            sendJson(response, 400, "{}");
            return;
        }
        const std::uint64_t epoch = integerOr(*order, "epoch");
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_options.isFenced && epoch < m_epoch) {
                sendJson(response, 409, "{}");
                return;
            }
            m_epoch = std::max(m_epoch, epoch);
            m_version.clear();
            m_cache.clear(); // cached blocks are only valid for the weights that computed them
        }
        sendJson(response, 200, "{}");
        std::this_thread::sleep_for(weightsLoadTime);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_version = textOr(*order, "version");
        ++m_incarnation;
    }

    void serveCancel(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const result<Json::Value> body = parseJson(readRequestBody(request), "a cancellation");
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (body)
            m_cancelledAttempts.insert(textOr(*body, "attempt"));
        sendJson(response, 200, "{}");
    }

    void serveAdmin(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (request.getMethod() == "POST") {
            const result<Json::Value> command =
                parseJson(readRequestBody(request), "an admin command");
            if (command) {
                m_faultMode = textOr(*command, "mode", m_faultMode);
                m_faultCount = static_cast<int>(integerOr(*command, "count", 1));
                m_faultVersion = textOr(*command, "version");
                const repeat_moment moment = parseRepeatMoment(textOr(*command, "repeat"));
                m_repeater.setMoment(moment);
                m_stateRepeater.setMoment(moment);
            }
        }
        Json::Value answer(Json::objectValue);
        answer["requests"] = Json::UInt64(m_requestCount.load());
        answer["cancelled"] = Json::UInt64(m_cancelledAttempts.size());
        answer["authorizations"] = Json::Value(Json::arrayValue);
        for (const std::string &each : m_authorizations)
            answer["authorizations"].append(each);
        answer["version"] = m_version;
        answer["repeated"] = Json::UInt64(m_repeater.count());
        answer["repeated_states"] = Json::UInt64(m_stateRepeater.count());
        sendJson(response, 200, writeJson(answer));
    }

    /// Returns the fault mode for this request and uses it up once, or "" if none applies.
    std::string takeFaultMode()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool applies = m_faultVersion.empty() || m_faultVersion == m_version;
        if (m_faultCount <= 0 || !applies)
            return {};
        --m_faultCount;
        return m_faultMode;
    }

    void serveCompletion(Poco::Net::HTTPServerRequest &request,
                         Poco::Net::HTTPServerResponse &response)
    {
        ++m_requestCount;
        m_repeater.sendDue(request);
        std::string body = readRequestBody(request);
        body.reserve(body.size() + requestPadding);
        if (body.find("crash the server") != std::string::npos)
            std::_Exit(1);
        const std::string faultMode = takeFaultMode();
        if (faultMode == "crash")
            std::_Exit(1);
        if (faultMode == "busy" || faultMode == "error") {
            sendJson(response, faultMode == "busy" ? 503 : 500, "{}");
            return;
        }
        if (faultMode == "freeze")
            std::this_thread::sleep_for(std::chrono::hours(1));
        const result<chat_request> chat = readChatRequest(body);
        if (!chat) {
            sendJson(response, 400, "{\"error\":{\"message\":\"bad request\"}}");
            return;
        }
        const generation_job job = runPrefill(request, *chat);
        m_runningCount.fetch_add(1);
        response.set("X-Cached-Tokens", std::to_string(job.cachedBlocks * 4000));
        if (job.isStream)
            sendStream(job, faultMode, request, response);
        else
            sendCompletion(job, faultMode, request, response);
        m_runningCount.fetch_sub(1);
    }

    /// Parses the request and sleeps for the prefill time of its uncached prompt tokens.
    generation_job runPrefill(Poco::Net::HTTPServerRequest &request, const chat_request &chat)
    {
        generation_job job;
        job.attemptId = request.get("X-Attempt", "");
        job.isStream = chat.stream;
        constexpr std::int64_t defaultMaxTokens = 24;
        job.tokenCount = static_cast<int>(
            std::min<std::int64_t>(chat.maxTokens > 0 ? chat.maxTokens : defaultMaxTokens, 4096));
        job.firstToken = std::atoi(request.get("X-Resume-From", "0").c_str());
        std::size_t bytes = 0;
        for (const std::string_view piece : chat.prompt) {
            bytes += piece.size();
            job.seed = hash64(piece, job.seed);
        }
        job.promptTokens = bytes / 4;
        std::vector<std::string> blocks;
        std::istringstream blockList(request.get("X-Prefix-Blocks", ""));
        std::string block;
        while (std::getline(blockList, block, ','))
            blocks.push_back(block);
        double uncachedTokens = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_authorizations.insert(request.get("Authorization", ""));
            job.cachedBlocks = m_cache.use(blocks);
        }
        uncachedTokens =
            static_cast<double>(job.promptTokens) - static_cast<double>(job.cachedBlocks) * 4000;
        uncachedTokens = std::max(0.0, uncachedTokens);
        m_queuedTokens.store(m_queuedTokens.load() + uncachedTokens);
        std::this_thread::sleep_for(fromSeconds(uncachedTokens / m_options.prefillRate));
        m_queuedTokens.store(std::max(0.0, m_queuedTokens.load() - uncachedTokens));
        return job;
    }

    static std::string tokenText(const generation_job &job, int index)
    {
        return "t" + std::to_string(hash64(std::to_string(index), job.seed) % 1000) + " ";
    }

    static std::string formatUsage(const generation_job &job)
    {
        Json::Value usage(Json::objectValue);
        usage["prompt_tokens"] = Json::UInt64(job.promptTokens);
        usage["completion_tokens"] = job.tokenCount;
        usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64(job.cachedBlocks * 4000);
        return writeJson(usage);
    }

    void sendCompletion(const generation_job &job, const std::string &faultMode,
                        Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
    {
        std::string text;
        for (int i = 0; i < job.tokenCount; ++i)
            text += tokenText(job, i);
        std::this_thread::sleep_for(std::chrono::milliseconds(m_options.tokenIntervalMs)
                                    * job.tokenCount);
        if (faultMode == "empty") {
            sendJson(response, 200, "{\"choices\":[]}");
            return;
        }
        const std::string body =
            "{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,\"message\":{\"role\":"
            "\"assistant\",\"content\":\""
            + text + "\"},\"finish_reason\":\"stop\"}],\"usage\":" + formatUsage(job) + "}";
        if (faultMode == "cut") {
            response.setContentType("application/json");
            response.setContentLength(static_cast<std::streamsize>(body.size()));
            response.setKeepAlive(false);
            response.send() << body.substr(0, body.size() / 2) << std::flush;
            return;
        }
        sendJson(response, 200, body);
        m_repeater.arrange(request, response, body);
    }

    bool isCancelled(const std::string &attemptId)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_cancelledAttempts.contains(attemptId);
    }

    void sendStream(const generation_job &job, const std::string &faultMode,
                    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        // Such an engine sends no event ids and begins each run at the first token.
        const bool ignoresResume = faultMode == "no-resume";
        const int firstToken = ignoresResume ? 0 : job.firstToken;
        if (!ignoresResume && request.has("X-Resume-From"))
            response.set("X-Resume-From", std::to_string(firstToken));
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(true);
        std::ostream &out = response.send();
        std::string sent;
        for (int i = firstToken; i < job.tokenCount && faultMode != "empty"; ++i) {
            if (isCancelled(job.attemptId))
                return;
            if ((faultMode == "cut" || ignoresResume) && i - job.firstToken == job.tokenCount / 2) {
                response.setKeepAlive(false);
                return;
            }
            if (faultMode == "die" && i - job.firstToken == job.tokenCount / 2)
                std::_Exit(1);
            const std::string event = (ignoresResume ? "" : "id: " + std::to_string(i) + "\n")
                + "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                  "\"delta\":{\"content\":\""
                + tokenText(job, i) + "\"}}]}\n\n";
            out << event << std::flush;
            sent += event;
            if (faultMode == "twice")
                out << event << std::flush;
            if (!out.good())
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(m_options.tokenIntervalMs));
        }
        constexpr std::string_view end = "data: [DONE]\n\n";
        out << end << std::flush;
        m_repeater.arrange(request, response, sent.append(end));
    }

    const standin_options &m_options;
    std::mutex m_mutex;
    block_cache m_cache;
    std::string m_version;
    std::uint64_t m_incarnation;
    std::uint64_t m_epoch = 0;
    std::string m_faultMode;
    int m_faultCount = 0;
    std::string m_faultVersion; // the only weights version that the fault applies to; empty for any
    std::set<std::string> m_cancelledAttempts;
    std::set<std::string> m_authorizations;
    answer_repeater m_repeater;
    answer_repeater m_stateRepeater;
    std::atomic<int> m_runningCount = 0;
    std::atomic<double> m_queuedTokens = 0;
    std::atomic<std::uint64_t> m_requestCount = 0;
};

} // namespace

int runEngine(const standin_options &options)
{
    standin_engine engine(options);
    return runHttpServer(
        options.address, engineThreads,
        [&](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            engine.serve(request, response);
        });
}

} // namespace trefoil
