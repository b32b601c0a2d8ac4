#include "standin_server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <core/clock.h>
#include <core/json.h>
#include <core/text_table.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr int loadThreads = 16;

/// Figures of a run.
struct load_result
{
    std::mutex mutex;
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
    int failures = 0;
    std::uint64_t bytes = 0;
};

double quantile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const double place = share * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(place + 0.5)];
}

std::string makeBody(const standin_options &options, int number)
{
    // All but the last message is shared, as in the traffic that the router is for.
    std::string prompt(options.promptBytes, 'x');
    return "{\"model\":\"" + options.model
        + "\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"system\",\"content\":\""
        + prompt + "\"},{\"role\":\"user\",\"content\":\"question " + std::to_string(number)
        + "\"}]}";
}

/// Sends one request and reads its stream to the end marker.
void sendOne(Poco::Net::HTTPClientSession &session, const standin_options &options, int number,
             load_result &results)
{
    const std::string body = makeBody(options, number);
    const timestamp start = boot_clock::now();
    double first = -1;
    bool complete = false;
    std::uint64_t bytes = 0;
    try {
        Poco::Net::HTTPRequest request("POST", "/v1/chat/completions",
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(true);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        if (!options.key.empty())
            request.set("Authorization", "Bearer " + options.key);
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveResponse(response);
        std::string line;
        while (std::getline(in, line)) {
            bytes += line.size() + 1;
            if (first < 0 && line.starts_with("data:"))
                first = toSeconds(boot_clock::now() - start) * 1000;
            complete = complete || line.starts_with("data: [DONE]");
        }
    } catch (const Poco::Exception &) {
        session.reset();
    }
    const std::lock_guard<std::mutex> lock(results.mutex);
    if (!complete) {
        ++results.failures;
        return;
    }
    results.bytes += bytes;
    results.firstTokenMs.push_back(first);
    results.totalMs.push_back(toSeconds(boot_clock::now() - start) * 1000);
}

} // namespace

int runLoad(const standin_options &options)
{
    load_result results;
    std::atomic<int> next = 0;
    const timestamp start = boot_clock::now();
    std::vector<std::jthread> threads;
    for (int i = 0; i < loadThreads; ++i) {
        threads.emplace_back([&] {
            Poco::Net::HTTPClientSession session(options.target.host, options.target.port);
            session.setKeepAlive(true);
            session.setTimeout(Poco::Timespan(30, 0));
            while (true) {
                const int number = next.fetch_add(1);
                if (number >= options.requests)
                    return;
                // An open loop: each request has its time, whether or not others are answered.
                const timestamp due = start + fromSeconds(number / options.rate);
                std::this_thread::sleep_for(due - boot_clock::now());
                sendOne(session, options, number, results);
            }
        });
    }
    threads.clear();
    Json::Value answer(Json::objectValue);
    answer["label"] = options.label;
    answer["requests"] = options.requests;
    answer["failures"] = results.failures;
    answer["seconds"] = toSeconds(boot_clock::now() - start);
    answer["first_token_ms_p50"] = quantile(results.firstTokenMs, 0.5);
    answer["first_token_ms_p99"] = quantile(results.firstTokenMs, 0.99);
    answer["total_ms_p50"] = quantile(results.totalMs, 0.5);
    answer["bytes_a_stream"] =
        Json::UInt64(results.bytes / std::max<std::size_t>(1, results.firstTokenMs.size()));
    std::cout << writeJson(answer) << "\n";
    if (!options.json.empty()) {
        std::ofstream file(options.json, std::ios::app);
        file << writeJson(answer) << "\n";
    }
    return results.failures == 0 ? 0 : 1;
}

} // namespace trefoil
