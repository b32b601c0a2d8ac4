#include "spoiled_streams.h"

#include <thread>

namespace review {

namespace {

constexpr int requestCount = 1500;
constexpr int clientCount = 12;
/// The worker in trouble spoils one in so many of its answers (`garble`: x = 0.02).
constexpr int spoiledShare = 50;
constexpr int spoiledEvent = 6;

/// Returns what is wrong with the stream that a client got, or "".
std::string findFault(const std::string &id, const client_answer &answer)
{
    if (answer.status != 200)
        return "";
    std::string body = answer.body;
    int next = 1;
    for (; !body.empty(); ++next) {
        const std::size_t end = body.find("\n\n");
        if (end == std::string::npos)
            break;
        const std::string got = body.substr(0, end + 2);
        if (got != worker::event(id, next))
            return "instead of piece " + std::to_string(next) + " came: " + got;
        body.erase(0, end + 2);
    }
    const bool isWhole = next > worker::eventCount && body.empty();
    return answer.isComplete && !isWhole
        ? "ended as complete in piece " + std::to_string(next) + ": " + body
        : "";
}

std::string onOneLine(std::string text)
{
    for (std::size_t at = 0; (at = text.find('\n')) != std::string::npos;)
        text.replace(at, 1, "\\n");
    return text;
}

} // namespace

void runSpoiledStreams(const case_arguments &arguments, const spoil_answer &spoil)
{
    run_record record(arguments.folder + "/record.txt");
    platform_store store;
    store.put("config", "main", baseConfiguration());
    Json::Value weights(Json::objectValue);
    weights["model"] = "m0";
    weights["version"] = 1;
    store.put("versions", "m0", weights);
    std::atomic<int> answers = 0;
    std::atomic<int> spoiled = 0;
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 3; ++i) {
        worker::options options {.service = "llm", .isEngine = true};
        options.onRun = [&record](worker &self, const http_message &request) {
            record.add("run at " + self.id() + " of " + request.field("X-Request-Id")
                       + " after piece " + request.field("Last-Event-Id"));
        };
        if (i == 0 && hasTrouble())
            options.trouble = [&](worker &self, connection &stream, const http_message &request) {
                if (!request.target().starts_with("/reply/")
                    || request.field("X-Expect-Version") != std::to_string(self.weights())
                    || request.field("X-Expect-Instance") != self.id()
                    || !request.field("Last-Event-Id").empty() || ++answers % spoiledShare != 0)
                    return false;
                const std::string id = request.field("X-Request-Id");
                record.add("run at " + self.id() + " of " + id + ", whose answer is spoiled");
                spoiled += 1;
                stream.write(worker::streamHead(request, self.weights()));
                for (int i = 1; i < spoiledEvent; ++i)
                    stream.write(worker::chunk(worker::event(id, i)));
                const std::string piece = worker::event(id, spoiledEvent);
                stream.write(worker::chunk(piece.substr(0, piece.size() / 2)));
                sleepFor(milliseconds(5));
                spoil(stream);
                sleepFor(milliseconds(50));
                return true;
            };
        workers.push_back(std::make_unique<worker>(store, options));
    }
    machine edge("edge-1", "pa-depot", store, arguments.command, arguments.temporary);
    edge.start();
    if (!edge.waitUntilReady(milliseconds(10000)))
        endCase(2);
    sleepFor(milliseconds(3500));
    std::atomic<int> next = 0;
    std::atomic<int> served = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> broken = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&] {
            for (int number = ++next; number <= requestCount; number = ++next) {
                const std::string id = "reply-" + std::to_string(number);
                const std::string body(1700, 'q');
                const client_answer answer =
                    ask(edge.front(),
                        {.path = "/reply/" + std::to_string(number % 40),
                         .id = id,
                         .key = "key-palermo",
                         .fields = {{"X-Model-Name", "m0"},
                                    {"X-Token-Count", "826,12"},
                                    {"X-Prompt-Prefix",
                                     "a" + std::to_string(number % 40) + ":198,b"
                                         + std::to_string(number) + ":628"}},
                         .body = body,
                         .patience = milliseconds(15000)});
                const std::string fault = findFault(id, answer);
                served += answer.status == 200 && answer.isComplete ? 1 : 0;
                cut += answer.status == 200 && !answer.isComplete ? 1 : 0;
                if (!fault.empty())
                    broken += 1;
                record.add("answer to " + id + ": " + std::to_string(answer.status)
                           + (answer.isComplete ? " complete" : " cut") + ", "
                           + std::to_string(answer.body.size()) + " bytes"
                           + (fault.empty() ? "" : "; WRONG: " + onOneLine(fault)));
            }
        });
    }
    for (std::thread &each : clients)
        each.join();
    record.add(std::to_string(requestCount) + " sent, " + std::to_string(served)
               + " answered completely, " + std::to_string(cut) + " cut, " + std::to_string(spoiled)
               + " answers spoiled by a worker, " + std::to_string(broken)
               + " with wrong pieces or a false end");
    if (served < requestCount / 2)
        endCase(2);
    endCase(broken > 0 ? 1 : 0);
}

} // namespace review
