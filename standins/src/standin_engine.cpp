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
constexpr std::size_t maxEvents = 512;
constexpr duration loadTime = std::chrono::milliseconds(1500);

/// Blocks held, with the least recently used dropped first, and the events about it.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity) : m_capacity(capacity) { }

    /// Returns how many leading blocks were held, and holds all of them from now on.
    std::size_t use(const std::vector<std::string> &blocks)
    {
        std::size_t held = 0;
        while (held < blocks.size() && m_places.contains(blocks[held]))
            ++held;
        std::vector<std::string> stored;
        std::vector<std::string> evicted;
        for (const std::string &block : blocks) {
            const auto found = m_places.find(block);
            if (found != m_places.end())
                m_order.erase(found->second);
            else
                stored.push_back(block);
            m_order.push_front(block);
            m_places[block] = m_order.begin();
        }
        while (m_order.size() > m_capacity) {
            evicted.push_back(m_order.back());
            m_places.erase(m_order.back());
            m_order.pop_back();
        }
        if (!stored.empty() || !evicted.empty())
            addEvent(stored, evicted);
        return held;
    }

    void clear()
    {
        m_order.clear();
        m_places.clear();
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

    std::uint64_t nextSequence() const { return m_next; }

private:
    void addEvent(const std::vector<std::string> &stored, const std::vector<std::string> &evicted)
    {
        Json::Value event(Json::objectValue);
        event["sequence"] = Json::UInt64(m_next++);
        for (const std::string &block : stored)
            event["stored"].append(block);
        for (const std::string &block : evicted)
            event["evicted"].append(block);
        m_events.push_back(std::move(event));
        if (m_events.size() > maxEvents)
            m_events.pop_front();
    }

    std::size_t m_capacity;
    std::list<std::string> m_order;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_places;
    std::list<Json::Value> m_events;
    std::uint64_t m_next = 1;
};

/// A model engine: deterministic tokens after a time for the prompt that its cache does not hold.
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
            serveLoad(request, response);
        else if (path == "/cancel")
            serveCancel(request, response);
        else if (path == "/admin")
            serveAdmin(request, response);
        else
            serveCompletion(request, response);
    }

private:
    struct generation
    {
        std::string attempt;
        bool stream = false;
        int tokens = 0;
        int from = 0;
        std::size_t cachedBlocks = 0;
        std::size_t promptTokens = 0;
        std::uint64_t seed = 0;
    };

    void serveState(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::uint64_t from = std::strtoull(queryOf(request, "from").c_str(), nullptr, 10);
        Json::Value state(Json::objectValue);
        state["incarnation"] = Json::UInt64(m_incarnation);
        state["version"] = m_version;
        state["running"] = Json::UInt64(static_cast<std::uint64_t>(m_running.load()));
        state["queued"] = Json::UInt64(0);
        state["queued_tokens"] = m_waitingTokens.load();
        state["prefill_rate"] = m_options.prefillRate;
        state["next_sequence"] = Json::UInt64(m_cache.nextSequence());
        state["events"] = from == 0 ? Json::Value(Json::arrayValue) : m_cache.eventsFrom(from);
        answerJson(response, 200, writeJson(state));
    }

    void serveLoad(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const result<Json::Value> order = parseJson(bodyOf(request), "an order");
        if (!order) {
            answerJson(response, 400, "{}");
            return;
        }
        const std::uint64_t epoch = integerOr(*order, "epoch");
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_options.fenced && epoch < m_epoch) {
                answerJson(response, 409, "{}");
                return;
            }
            m_epoch = std::max(m_epoch, epoch);
            m_version.clear();
            m_cache.clear(); // blocks of other weights are worth nothing
        }
        answerJson(response, 200, "{}");
        std::this_thread::sleep_for(loadTime);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_version = textOr(*order, "version");
        ++m_incarnation;
    }

    void serveCancel(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const result<Json::Value> order = parseJson(bodyOf(request), "an order");
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (order)
            m_cancelled.insert(textOr(*order, "attempt"));
        answerJson(response, 200, "{}");
    }

    void serveAdmin(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (request.getMethod() == "POST") {
            const result<Json::Value> order = parseJson(bodyOf(request), "an order");
            if (order) {
                m_mode = textOr(*order, "mode", m_mode);
                m_modeCount = static_cast<int>(integerOr(*order, "count", 1));
                m_modeVersion = textOr(*order, "version");
            }
        }
        Json::Value answer(Json::objectValue);
        answer["requests"] = Json::UInt64(m_requests.load());
        answer["cancelled"] = Json::UInt64(m_cancelled.size());
        answer["authorizations"] = Json::Value(Json::arrayValue);
        for (const std::string &each : m_authorizations)
            answer["authorizations"].append(each);
        answer["version"] = m_version;
        answerJson(response, 200, writeJson(answer));
    }

    /// Takes one use of the mode asked for, or "".
    std::string takeMode()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool applies = m_modeVersion.empty() || m_modeVersion == m_version;
        if (m_modeCount <= 0 || !applies)
            return {};
        --m_modeCount;
        return m_mode;
    }

    void serveCompletion(Poco::Net::HTTPServerRequest &request,
                         Poco::Net::HTTPServerResponse &response)
    {
        ++m_requests;
        std::string body = bodyOf(request);
        body.reserve(body.size() + requestPadding);
        if (body.find("crash the server") != std::string::npos)
            std::_Exit(1);
        const std::string mode = takeMode();
        if (mode == "crash")
            std::_Exit(1);
        if (mode == "busy" || mode == "error") {
            answerJson(response, mode == "busy" ? 503 : 500, "{}");
            return;
        }
        if (mode == "freeze")
            std::this_thread::sleep_for(std::chrono::hours(1));
        const result<chat_request> chat = readChatRequest(body);
        if (!chat) {
            answerJson(response, 400, "{\"error\":{\"message\":\"bad request\"}}");
            return;
        }
        const generation work = prepare(request, *chat);
        m_running.fetch_add(1);
        response.set("X-Cached-Tokens", std::to_string(work.cachedBlocks * 4000));
        if (work.stream)
            stream(work, mode, response);
        else
            whole(work, mode, response);
        m_running.fetch_sub(1);
    }

    generation prepare(Poco::Net::HTTPServerRequest &request, const chat_request &chat)
    {
        generation work;
        work.attempt = request.get("X-Attempt", "");
        work.stream = chat.stream;
        constexpr std::int64_t mostTokens = 24;
        work.tokens = static_cast<int>(
            std::min<std::int64_t>(chat.maxTokens > 0 ? chat.maxTokens : mostTokens, 4096));
        work.from = std::atoi(request.get("X-Resume-From", "0").c_str());
        std::size_t bytes = 0;
        for (const std::string_view piece : chat.prompt) {
            bytes += piece.size();
            work.seed = hash64(piece, work.seed);
        }
        work.promptTokens = bytes / 4;
        std::vector<std::string> blocks;
        std::istringstream list(request.get("X-Prefix-Blocks", ""));
        std::string block;
        while (std::getline(list, block, ','))
            blocks.push_back(block);
        double missing = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_authorizations.insert(request.get("Authorization", ""));
            work.cachedBlocks = m_cache.use(blocks);
        }
        missing =
            static_cast<double>(work.promptTokens) - static_cast<double>(work.cachedBlocks) * 4000;
        missing = std::max(0.0, missing);
        m_waitingTokens.store(m_waitingTokens.load() + missing);
        std::this_thread::sleep_for(fromSeconds(missing / m_options.prefillRate));
        m_waitingTokens.store(std::max(0.0, m_waitingTokens.load() - missing));
        return work;
    }

    static std::string tokenText(const generation &work, int index)
    {
        return "t" + std::to_string(hash64(std::to_string(index), work.seed) % 1000) + " ";
    }

    static std::string usage(const generation &work)
    {
        Json::Value usage(Json::objectValue);
        usage["prompt_tokens"] = Json::UInt64(work.promptTokens);
        usage["completion_tokens"] = work.tokens;
        usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64(work.cachedBlocks * 4000);
        return writeJson(usage);
    }

    void whole(const generation &work, const std::string &mode,
               Poco::Net::HTTPServerResponse &response)
    {
        std::string text;
        for (int i = 0; i < work.tokens; ++i)
            text += tokenText(work, i);
        std::this_thread::sleep_for(std::chrono::milliseconds(m_options.tokenMilliseconds)
                                    * work.tokens);
        if (mode == "empty") {
            answerJson(response, 200, "{\"choices\":[]}");
            return;
        }
        const std::string body =
            "{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,\"message\":{\"role\":"
            "\"assistant\",\"content\":\""
            + text + "\"},\"finish_reason\":\"stop\"}],\"usage\":" + usage(work) + "}";
        if (mode == "cut") {
            response.setContentType("application/json");
            response.setContentLength(static_cast<std::streamsize>(body.size()));
            response.setKeepAlive(false);
            response.send() << body.substr(0, body.size() / 2) << std::flush;
            return;
        }
        answerJson(response, 200, body);
    }

    bool isCancelled(const std::string &attempt)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_cancelled.contains(attempt);
    }

    void stream(const generation &work, const std::string &mode,
                Poco::Net::HTTPServerResponse &response)
    {
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(true);
        std::ostream &out = response.send();
        for (int i = work.from; i < work.tokens && mode != "empty"; ++i) {
            if (isCancelled(work.attempt))
                return;
            if (mode == "cut" && i - work.from == work.tokens / 2) {
                response.setKeepAlive(false);
                return;
            }
            if (mode == "die" && i - work.from == work.tokens / 2)
                std::_Exit(1);
            const std::string event = "id: " + std::to_string(i)
                + "\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                  "\"delta\":{\"content\":\""
                + tokenText(work, i) + "\"}}]}\n\n";
            out << event << std::flush;
            if (mode == "twice")
                out << event << std::flush;
            if (!out.good())
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(m_options.tokenMilliseconds));
        }
        out << "data: [DONE]\n\n" << std::flush;
    }

    const standin_options &m_options;
    std::mutex m_mutex;
    block_cache m_cache;
    std::string m_version;
    std::uint64_t m_incarnation;
    std::uint64_t m_epoch = 0;
    std::string m_mode;
    int m_modeCount = 0;
    std::string m_modeVersion;
    std::set<std::string> m_cancelled;
    std::set<std::string> m_authorizations;
    std::atomic<int> m_running = 0;
    std::atomic<double> m_waitingTokens = 0;
    std::atomic<std::uint64_t> m_requests = 0;
};

} // namespace

int runEngine(const standin_options &options)
{
    standin_engine engine(options);
    return runStandin(
        options.address, engineThreads,
        [&](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            engine.serve(request, response);
        });
}

} // namespace trefoil
