#include "http_object_store.h"

#include <gtest/gtest.h>

#include "kept_connection_server.h"

namespace trefoil {

namespace {

constexpr double callsPerSecond = 1000;

/// Returns the state of the object that @p request names.
std::string objectNamedBy(const scripted_request &request)
{
    const std::string name = request.path.substr(std::string_view("/objects/").size());
    return "{\"name\":\"" + name + "\",\"version\":1,\"value\":\"\"}";
}

} // namespace

// A store, or a proxy before it, that sent its answers twice made the next calls on the connection
// get earlier ones: another object, an older state, the version of another write.
TEST(HttpObjectStore, AnswerSentTwiceIsNotTheNextCallsAnswer)
{
    const kept_connection_server server(answerTwice(objectNamedBy));
    http_object_store store(server.address(), callsPerSecond);
    for (int i = 0; i < 8; ++i) {
        const std::string name = "object-" + std::to_string(i);
        const result<object> item = store.get(name);
        ASSERT_TRUE(item) << item.error().message;
        EXPECT_EQ(item->name, name);
    }
    EXPECT_EQ(server.connections(), 1);
}

TEST(HttpObjectStore, ConnectionsOfAStoreThatNamesNoAttemptAreNotKept)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &request) {
        write(stream, encodeAnswer("", objectNamedBy(request)));
    });
    http_object_store store(server.address(), callsPerSecond);
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(store.get("object-" + std::to_string(i)));
    EXPECT_EQ(server.connections(), 4);
}

// The write may have taken effect although its answer didn't come.
TEST(HttpObjectStore, WriteWhoseAnswerIsToAnotherCallMayHaveTakenEffect)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &) {
        write(stream, encodeAnswer("another", "{\"version\":7}"));
    });
    http_object_store store(server.address(), callsPerSecond);
    const result<std::uint64_t> version = store.put("object-1", "x", 0);
    ASSERT_FALSE(version);
    EXPECT_EQ(version.error().code, platform_errors::unknownOutcome);
    const result<object> item = store.get("object-1");
    ASSERT_FALSE(item);
    EXPECT_EQ(item.error().code, platform_errors::unavailable);
}

} // namespace trefoil
