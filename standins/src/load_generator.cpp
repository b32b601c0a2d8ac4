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
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <core/clock.h>
#include <core/json.h>
#include <core/text_table.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr int loadThreads = 16;

/// Measurements of a load run.
struct load_results
{
    std::mutex mutex;
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
    int failures = 0;
    std::uint64_t bytes = 0;
};

double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const double rank = fraction * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(rank + 0.5)];
}

std::string makeBody(const standin_options &options, int requestNumber)
{
    // All requests share the same long prompt, so that the router can reuse cached prefixes.
    std::string prompt(options.promptBytes, 'x');
    return "{\"model\":\"" + options.model
        + "\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"system\",\"content\":\""
        + prompt + "\"},{\"role\":\"user\",\"content\":\"question " + std::to_string(requestNumber)
        + "\"}]}";
}

/// Sends one request and reads the streamed response up to its end marker.
void sendRequest(Poco::Net::HTTPClientSession &session, const standin_options &options,
                 int requestNumber, load_results &results)
{
    const std::string body = makeBody(options, requestNumber);
    const timestamp start = boot_clock::now();
    double firstTokenMs = -1;
    bool isComplete = false;
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
            if (firstTokenMs < 0 && line.starts_with("data:"))
                firstTokenMs = toSeconds(boot_clock::now() - start) * 1000;
            isComplete = isComplete || line.starts_with("data: [DONE]");
        }
    } catch (const Poco::Exception &) {
        session.reset();
    }
    const std::lock_guard<std::mutex> lock(results.mutex);
    if (!isComplete) {
        ++results.failures;
        return;
    }
    results.bytes += bytes;
    results.firstTokenMs.push_back(firstTokenMs);
    results.totalMs.push_back(toSeconds(boot_clock::now() - start) * 1000);
}

} // namespace

int runLoad(const standin_options &options)
{
    load_results results;
    std::atomic<int> nextRequest = 0;
    const timestamp start = boot_clock::now();
    std::vector<std::jthread> threads;
    for (int i = 0; i < loadThreads; ++i) {
        threads.emplace_back([&] {
            Poco::Net::HTTPClientSession session(options.target.host, options.target.port);
            session.setKeepAlive(true);
            session.setTimeout(Poco::Timespan(30, 0));
            while (true) {
                const int requestNumber = nextRequest.fetch_add(1);
                if (requestNumber >= options.requests)
                    return;
                // Open loop: each request is sent at its scheduled time if a thread is free,
                // whether or not earlier ones were answered.
                const timestamp sendTime = start + fromSeconds(requestNumber / options.rate);
                std::this_thread::sleep_for(sendTime - boot_clock::now());
                sendRequest(session, options, requestNumber, results);
            }
        });
    }
    threads.clear();
    Json::Value summary(Json::objectValue);
    summary["label"] = options.label;
    summary["requests"] = options.requests;
    summary["failures"] = results.failures;
    summary["seconds"] = toSeconds(boot_clock::now() - start);
    summary["first_token_ms_p50"] = quantile(results.firstTokenMs, 0.5);
    summary["first_token_ms_p99"] = quantile(results.firstTokenMs, 0.99);
    summary["total_ms_p50"] = quantile(results.totalMs, 0.5);
    summary["bytes_a_stream"] =
        Json::UInt64(results.bytes / std::max<std::size_t>(1, results.firstTokenMs.size()));
    std::cout << writeJson(summary) << "\n";
    if (!options.json.empty()) {
        std::ofstream file(options.json, std::ios::app);
        file << writeJson(summary) << "\n";
    }
    return results.failures == 0 ? 0 : 1;
}

} // namespace trefoil
