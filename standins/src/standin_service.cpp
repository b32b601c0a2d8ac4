#include "standin_server.h"

#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <Poco/URI.h>
#include <core/json.h>

namespace trefoil {

namespace {

constexpr int serviceThreads = 64;

/// Stand-in for a service with non-idempotent calls. Logs every execution, so that tests can count
/// them.
class standin_service
{
public:
    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        const std::string path = Poco::URI(request.getURI()).getPath();
        const std::string body = readRequestBody(request);
        m_repeater.sendDue(request);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (path == "/admin") {
            serveAdmin(request, body, response);
            return;
        }
        if (m_rejects)
            response.set("X-Request-Ran", "not-run");
        else if (request.getMethod() != "GET")
            recordRun(request, body);
        if (m_failureStatus != 0) {
            Json::Value answer(Json::objectValue);
            answer["failure"] = "the ledger is away";
            answerTo(request, m_failureStatus, answer, response);
            return;
        }
        if (request.getMethod() == "GET") {
            Json::Value answer(Json::objectValue);
            answer["runs"] = Json::UInt64(m_runs.size());
            answer["path"] = path;
            answerTo(request, 200, answer, response);
            return;
        }
        if (m_truncatesNextResponse) {
            m_truncatesNextResponse = false;
            // The call has taken effect, but its response is lost.
            response.setContentLength(100);
            response.setKeepAlive(false);
            response.send() << "{" << std::flush;
            return;
        }
        Json::Value answer(Json::objectValue);
        answer["number"] = Json::UInt64(m_runs.size());
        answerTo(request, 201, answer, response);
    }

private:
    void recordRun(const Poco::Net::HTTPServerRequest &request, const std::string &body)
    {
        m_runs.push_back(body);
        m_authorizations.insert(request.get("Authorization", ""));
    }

    void answerTo(Poco::Net::HTTPServerRequest &request, int status, const Json::Value &answer,
                  Poco::Net::HTTPServerResponse &response)
    {
        const std::string body = writeJson(answer);
        sendJson(response, status, body);
        m_repeater.arrange(request, response, body);
    }

    void serveAdmin(Poco::Net::HTTPServerRequest &request, const std::string &body,
                    Poco::Net::HTTPServerResponse &response)
    {
        if (request.getMethod() == "POST") {
            const result<Json::Value> command = parseJson(body, "an admin command");
            m_truncatesNextResponse = command && textOr(*command, "mode") == "cut";
            m_failureStatus = command ? static_cast<int>(integerOr(*command, "failure_status")) : 0;
            m_rejects = command && (*command)["rejects"].asBool();
            m_repeater.setMoment(command ? parseRepeatMoment(textOr(*command, "repeat"))
                                         : repeat_moment::Never);
        }
        Json::Value answer(Json::objectValue);
        answer["runs"] = Json::Value(Json::arrayValue);
        for (const std::string &run : m_runs)
            answer["runs"].append(run);
        answer["authorizations"] = Json::Value(Json::arrayValue);
        for (const std::string &each : m_authorizations)
            answer["authorizations"].append(each);
        answer["repeated"] = Json::UInt64(m_repeater.count());
        sendJson(response, 200, writeJson(answer));
    }

    std::mutex m_mutex;
    std::vector<std::string> m_runs;
    std::set<std::string> m_authorizations;
    bool m_truncatesNextResponse = false;
    /// Status of the answer to each request; 0 if requests succeed.
    int m_failureStatus = 0;
    /// Whether requests that fail don't run, and the answers say so.
    bool m_rejects = false;
    answer_repeater m_repeater;
};

} // namespace

int runService(const standin_options &options)
{
    standin_service service;
    return runHttpServer(
        options.address, serviceThreads,
        [&](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            service.serve(request, response);
        });
}

} // namespace trefoil
