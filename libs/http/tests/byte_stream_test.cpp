#include <http/byte_stream.h>

#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

/// Two ends of one connection over the loopback address.
struct connected_pair
{
    connected_pair()
        : server(Poco::Net::SocketAddress("127.0.0.1", 0)),
          near(*byte_stream::connect({.host = "127.0.0.1", .port = server.address().port()},
                                     std::chrono::seconds(2))),
          far(server.acceptConnection())
    { }

    Poco::Net::ServerSocket server;
    byte_stream near;
    byte_stream far;
};

timestamp soon(int milliseconds)
{
    return boot_clock::now() + std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST(ByteStream, AWaitEndsAtItsDeadline)
{
    connected_pair pair;
    const timestamp start = boot_clock::now();
    EXPECT_EQ(pair.near.readMore(soon(50)), read_outcome::TimedOut);
    EXPECT_GE(boot_clock::now() - start, std::chrono::milliseconds(50));
}

TEST(ByteStream, TellsAnOrderlyEndFromABreak)
{
    connected_pair ended;
    ended.far.close();
    EXPECT_EQ(ended.near.readMore(soon(1000)), read_outcome::End);
    connected_pair broken;
    broken.far.abort();
    EXPECT_EQ(broken.near.readMore(soon(1000)), read_outcome::Broken);
}

TEST(ByteStream, AWaitEndsWhenTheWatchedCallerLeaves)
{
    connected_pair server;
    connected_pair caller;
    caller.near.abort();
    EXPECT_EQ(server.near.readMore(soon(1000), &caller.far), read_outcome::WatchedLeft);
    EXPECT_TRUE(caller.far.hasLeft());
}

TEST(ByteStream, AnIdleConnectionWithBytesIsNotQuiet)
{
    connected_pair pair;
    EXPECT_TRUE(pair.near.isQuiet());
    ASSERT_TRUE(pair.far.write("late answer", soon(1000)));
    EXPECT_EQ(pair.near.readMore(soon(1000)), read_outcome::Bytes);
    EXPECT_FALSE(pair.near.isQuiet());
}

TEST(ByteStream, ALongWriteGoesOnWhileTheOtherSideAnswersEarly)
{
    connected_pair pair;
    const std::string body(8u << 20, 'x');
    std::jthread other([&pair] {
        pair.far.write("early", soon(5000));
        while (pair.far.readMore(soon(300)) == read_outcome::Bytes)
            pair.far.buffer().clear();
    });
    EXPECT_TRUE(pair.near.write(body, soon(5000)));
    while (pair.near.buffer().size() < 5 && pair.near.readMore(soon(1000)) == read_outcome::Bytes) {
    }
    EXPECT_EQ(pair.near.buffer(), "early");
}

TEST(ByteStream, AClosedPortIsRefusedBeforeAnythingIsSent)
{
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::uint16_t port = server.address().port();
    server.close();
    const result<byte_stream> stream =
        byte_stream::connect({.host = "127.0.0.1", .port = port}, std::chrono::seconds(1));
    ASSERT_FALSE(stream);
    EXPECT_EQ(stream.error().code, "connection-refused");
}

} // namespace trefoil
