#include <rpc/rpc.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Rpc, DeliversAMessageAndItsAnswer)
{
    rpc_server server([](const Json::Value &message) {
        Json::Value answer(Json::objectValue);
        answer["twice"] = message["number"].asInt() * 2;
        return answer;
    });
    const rpc_transport transport = [&](const std::string &request, std::string &response) {
        response = server.answer(request);
        return true;
    };
    Json::Value message(Json::objectValue);
    message["number"] = 21;
    Json::Value answer;
    std::string errorMessage;
    ASSERT_TRUE(rpcCall(transport, message, answer, errorMessage)) << errorMessage;
    EXPECT_EQ(answer["twice"].asInt(), 42);
}

TEST(Rpc, ReportsWhyACallFailed)
{
    const rpc_transport silent = [](const std::string &, std::string &) { return false; };
    const rpc_transport garbled = [](const std::string &, std::string &response) {
        response = "<html>";
        return true;
    };
    Json::Value answer;
    std::string errorMessage;
    EXPECT_FALSE(rpcCall(silent, Json::Value(Json::objectValue), answer, errorMessage));
    EXPECT_NE(errorMessage.find("did not answer"), std::string::npos);
    EXPECT_FALSE(rpcCall(garbled, Json::Value(Json::objectValue), answer, errorMessage));
}

// A peer's answer that came twice was taken for that to the next call on its connection, such as a
// grant of tokens to another team.
TEST(Rpc, AnswerToAnEarlierCallIsNotTaken)
{
    rpc_server server([](const Json::Value &message) { return message; });
    std::string previous;
    const rpc_transport repeating = [&](const std::string &request, std::string &response) {
        const std::string current = server.answer(request);
        response = previous.empty() ? current : previous;
        previous = current;
        return true;
    };
    Json::Value message(Json::objectValue);
    Json::Value answer;
    std::string errorMessage;
    message["team"] = "reef";
    ASSERT_TRUE(rpcCall(repeating, message, answer, errorMessage)) << errorMessage;
    message["team"] = "kelp";
    EXPECT_FALSE(rpcCall(repeating, message, answer, errorMessage)) << answer["team"].asString();
    EXPECT_EQ(answer["team"].asString(), "reef") << "the answer was replaced";
}

// An error of the peer ends the call as one that failed.
TEST(Rpc, ErrorOfThePeerIsReported)
{
    rpc_server server([](const Json::Value &message) { return message; });
    const rpc_transport renaming = [&](const std::string &request, std::string &response) {
        std::string other = request;
        other.replace(other.find("deliver"), std::string("deliver").size(), "unknown");
        response = server.answer(other);
        return true;
    };
    Json::Value answer;
    std::string errorMessage;
    EXPECT_FALSE(rpcCall(renaming, Json::Value(Json::objectValue), answer, errorMessage));
    EXPECT_NE(errorMessage.find("METHOD_NOT_FOUND"), std::string::npos) << errorMessage;
}

TEST(Rpc, MalformedRequestGetsAJsonRpcError)
{
    rpc_server server([](const Json::Value &) { return Json::Value(Json::objectValue); });
    EXPECT_NE(server.answer("{").find("\"error\""), std::string::npos);
    EXPECT_NE(server.answer("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"deliver\"}").find("error"),
              std::string::npos);
}

} // namespace trefoil
