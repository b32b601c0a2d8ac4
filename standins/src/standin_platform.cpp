#include "standin_server.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <sstream>
#include <thread>

#include <Poco/URI.h>
#include <core/clock.h>
#include <core/json.h>
#include <platform/codec.h>
#include <platform/object_table.h>

namespace trefoil {

namespace {

/// A watch occupies a thread while it waits.
constexpr int platformThreads = 256;

/// Stand-in for the platform: serves its object API from an object_table. Faults are injected
/// through /admin.
class standin_platform
{
public:
    explicit standin_platform(const std::string &instances)
    {
        std::istringstream names(instances);
        std::string name;
        while (std::getline(names, name, ','))
            m_instances.push_back(name);
    }

    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::string path = Poco::URI(request.getURI()).getPath();
        if (path == "/admin") {
            serveAdmin(request, response);
            return;
        }
        ++m_callCount;
        if (m_isDown) {
            // Simulates an outage: every call fails.
            sendJson(response, 503, "{}");
            return;
        }
        if (path == "/instances")
            serveInstances(response);
        else if (path == "/watch")
            serveWatch(request, response);
        else if (path == "/objects")
            serveList(request, response);
        else if (path.starts_with("/objects/") && request.getMethod() == "PUT")
            servePut(path.substr(9), request, response);
        else if (path.starts_with("/objects/"))
            serveGet(path.substr(9), response);
        else
            sendJson(response, 404, "{}");
    }

private:
    void serveAdmin(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        if (request.getMethod() == "POST") {
            const result<Json::Value> command =
                parseJson(readRequestBody(request), "an admin command");
            if (command && (*command)["out"].isBool())
                m_isDown = (*command)["out"].asBool();
            if (command && (*command)["lose_answers"].isInt())
                m_responsesToDrop = (*command)["lose_answers"].asInt();
        }
        Json::Value answer(Json::objectValue);
        answer["calls"] = Json::UInt64(m_callCount.load());
        sendJson(response, 200, writeJson(answer));
    }

    void serveInstances(Poco::Net::HTTPServerResponse &response)
    {
        Json::Value answer(Json::objectValue);
        answer["instances"] = Json::Value(Json::arrayValue);
        for (const std::string &name : m_instances) {
            Json::Value entry(Json::objectValue);
            entry["name"] = name;
            entry["leaving"] = false;
            answer["instances"].append(std::move(entry));
        }
        sendJson(response, 200, writeJson(answer));
    }

    void serveGet(const std::string &name, Poco::Net::HTTPServerResponse &response)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const result<object> found = m_table.get(name);
        if (found)
            sendJson(response, 200, writeJson(toJson(*found)));
        else
            sendJson(response, 404, "{}");
    }

    void serveList(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Json::Value answer(Json::objectValue);
        answer["items"] = Json::Value(Json::arrayValue);
        for (const object &item : m_table.list(queryParameter(request, "prefix")))
            answer["items"].append(toJson(item));
        sendJson(response, 200, writeJson(answer));
    }

    void servePut(const std::string &name, Poco::Net::HTTPServerRequest &request,
                  Poco::Net::HTTPServerResponse &response)
    {
        const std::string value = readRequestBody(request);
        const std::uint64_t expectedVersion =
            std::strtoull(queryParameter(request, "expected").c_str(), nullptr, 10);
        result<std::uint64_t> written = failure("", "");
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            written = m_table.put(name, value, expectedVersion);
        }
        m_changed.notify_all();
        if (written && m_responsesToDrop > 0) {
            --m_responsesToDrop;
            static_cast<void>(request.stream());
            response.setContentLength(100);
            response.send() << "{"; // truncated: the client can't tell that the write took effect
            response.setKeepAlive(false);
            return;
        }
        Json::Value answer(Json::objectValue);
        answer["version"] = Json::UInt64(written.value_or(0));
        sendJson(response, written ? 200 : 409, writeJson(answer));
    }

    void serveWatch(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::string prefix = queryParameter(request, "prefix");
        const std::uint64_t sinceVersion =
            std::strtoull(queryParameter(request, "from").c_str(), nullptr, 10);
        const std::chrono::milliseconds timeout(
            std::strtol(queryParameter(request, "wait_ms").c_str(), nullptr, 10));
        object_changes changes;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait_for(lock, timeout, [&] {
                changes = m_table.changesSince(prefix, sinceVersion);
                return !changes.changed.empty() || m_isDown.load();
            });
        }
        if (m_isDown) {
            sendJson(response, 503, "{}");
            return;
        }
        Json::Value answer(Json::objectValue);
        answer["up_to"] = Json::UInt64(changes.upToVersion);
        answer["changed"] = Json::Value(Json::arrayValue);
        for (const object &item : changes.changed)
            answer["changed"].append(toJson(item));
        sendJson(response, 200, writeJson(answer));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    object_table m_table;
    std::vector<std::string> m_instances;
    std::atomic<bool> m_isDown = false;
    std::atomic<int> m_responsesToDrop = 0;
    std::atomic<std::uint64_t> m_callCount = 0;
};

} // namespace

int runPlatform(const standin_options &options)
{
    standin_platform platform(options.instances);
    return runHttpServer(
        options.address, platformThreads,
        [&](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            platform.serve(request, response);
        });
}

} // namespace trefoil
