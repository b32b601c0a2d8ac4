#include "peer_rpc.h"

#include <stop_token>
#include <thread>

#include <core/json.h>
#include <gtest/gtest.h>
#include <rpc/rpc.h>

#include "kept_connection_server.h"

namespace trefoil {

namespace {

/// Answers the request of an instance for its peer's copy of an object.
std::string copyFor(const scripted_request &request)
{
    rpc_server server([](const Json::Value &message) {
        const config_fetch fetch = std::get<config_fetch>(*peerRequestFromJson(message));
        return toJson(peer_answer(object {.name = fetch.name, .version = 1, .value = "x"}));
    });
    return server.answer(request.body);
}

} // namespace

// JSON-RPC calls all had the id 1: an answer that was sent twice became the answer to the next
// call, such as a grant or a confirmation that was not given.
TEST(PeerClient, AnswerSentTwiceIsNotTheNextCallsAnswer)
{
    const kept_connection_server server(answerTwice(copyFor));
    peer_client peers("");
    constexpr int pairs = 4;
    for (int i = 0; i < pairs; ++i) {
        const std::string name = "config/" + std::to_string(i);
        const result<peer_answer> answer =
            peers.call(toString(server.address()), config_fetch {.name = name});
        ASSERT_TRUE(answer) << answer.error().message;
        EXPECT_EQ(std::get<object>(*answer).name, name);
        EXPECT_FALSE(peers.call(toString(server.address()), config_fetch {.name = "config/next"}))
            << "its connection brings the answer to the call before";
    }
    EXPECT_EQ(server.connections(), pairs) << "such a connection is not used again";
}

// Instances of earlier versions return the id of a call too, so that calls to them need no
// connection each.
TEST(PeerClient, CallsToAPeerShareAConnection)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &request) {
        write(stream, encodeAnswer("", copyFor(request)));
    });
    peer_client peers("");
    for (int i = 0; i < 4; ++i) {
        const result<peer_answer> answer =
            peers.call(toString(server.address()), config_fetch {.name = "config/routes"});
        EXPECT_TRUE(answer) << answer.error().message;
    }
    EXPECT_EQ(server.connections(), 1);
}

// The message of a call with the wrong secret was not read, and its rest was taken for the next
// request on the connection, which got an answer of its own.
TEST(PeersHandler, MessageOfARejectedCallIsNotTheNextRequest)
{
    Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
    const endpoint address {.host = "127.0.0.1", .port = unused.address().port()};
    unused.close();
    control_thread control({});
    const child_body listener = makeHttpListener(
        {.address = address, .factory = makePeersHandlerFactory(control, "secret")});
    const std::jthread thread([&](const std::stop_token &stop) { EXPECT_TRUE(listener(stop)); });
    result<byte_stream> stream = failure("", "");
    while (!(stream = byte_stream::connect(address, std::chrono::seconds(1))))
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    write(*stream,
          "POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Length: 31\r\n\r\n"
          "POST /rpc HTTP/1.1\r\nHost: x\r\n\r\n");
    while (stream->readMore(boot_clock::now() + std::chrono::milliseconds(500))
           == read_outcome::Bytes)
        ;
    const std::string &answers = stream->buffer();
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 403 ")) << answers;
    EXPECT_EQ(answers.find("HTTP/1.1", 1), std::string::npos) << answers;
}

} // namespace trefoil
