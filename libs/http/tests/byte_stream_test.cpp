#include <http/byte_stream.h>

#include <csignal>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace trefoil {

namespace {

/// Two ends of one connection over the loopback address.
struct connected_pair
{
    connected_pair()
        : server(Poco::Net::SocketAddress("127.0.0.1", 0)),
          local(*byte_stream::connect({.host = "127.0.0.1", .port = server.address().port()},
                                      std::chrono::seconds(2))),
          remote(server.acceptConnection())
    { }

    Poco::Net::ServerSocket server;
    byte_stream local;
    byte_stream remote;
};

timestamp fromNow(int milliseconds)
{
    return boot_clock::now() + std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST(ByteStream, ReadTimesOutAtItsDeadline)
{
    connected_pair pair;
    const timestamp start = boot_clock::now();
    EXPECT_EQ(pair.local.readMore(fromNow(50)), read_outcome::TimedOut);
    EXPECT_GE(boot_clock::now() - start, std::chrono::milliseconds(50));
}

TEST(ByteStream, DistinguishesAnOrderlyEndFromAReset)
{
    connected_pair shutDown;
    shutDown.remote.close();
    EXPECT_EQ(shutDown.local.readMore(fromNow(1000)), read_outcome::End);
    connected_pair reset;
    reset.remote.abort();
    EXPECT_EQ(reset.local.readMore(fromNow(1000)), read_outcome::Broken);
}

// A reset that a write had met was taken for the orderly end of an answer without a length.
TEST(ByteStream, ResetSeenByAWriteIsNoOrderlyEnd)
{
    connected_pair pair;
    const std::string body(8u << 20, 'x');
    std::jthread remoteThread([&pair] {
        pair.remote.write("part of an answer", fromNow(1000));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        pair.remote.abort();
    });
    EXPECT_FALSE(pair.local.write(body, fromNow(5000)));
    read_outcome outcome = read_outcome::Bytes;
    while (outcome == read_outcome::Bytes)
        outcome = pair.local.readMore(fromNow(1000));
    EXPECT_EQ(outcome, read_outcome::Broken);
}

// The kernel closed the connections of a killed process in order: an answer that was cut looked
// complete.
TEST(ByteStream, ConnectionOfAKilledProcessIsReset)
{
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    result<byte_stream> local = byte_stream::connect(
        {.host = "127.0.0.1", .port = server.address().port()}, std::chrono::seconds(1));
    ASSERT_TRUE(local);
    pid_t child = 0;
    {
        byte_stream remote(server.acceptConnection());
        remote.resetUnlessClosed();
        child = ::fork();
        ASSERT_GE(child, 0);
        if (child == 0) {
            ::pause();
            ::_exit(0);
        }
    }
    EXPECT_EQ(local->readMore(fromNow(100)), read_outcome::TimedOut);
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    EXPECT_EQ(local->readMore(fromNow(1000)), read_outcome::Broken);
}

TEST(ByteStream, ConnectionThatIsClosedInOrderIsNotReset)
{
    connected_pair pair;
    pair.remote.resetUnlessClosed();
    ASSERT_TRUE(pair.remote.write("answer", fromNow(1000)));
    pair.remote.close();
    EXPECT_EQ(pair.local.readMore(fromNow(1000)), read_outcome::Bytes);
    EXPECT_EQ(pair.local.readMore(fromNow(1000)), read_outcome::End);
}

TEST(ByteStream, ReadEndsWhenTheWatchedConnectionCloses)
{
    connected_pair server;
    connected_pair caller;
    caller.local.abort();
    EXPECT_EQ(server.local.readMore(fromNow(1000), &caller.remote), read_outcome::WatchedClosed);
    EXPECT_TRUE(caller.remote.isClosedByRemote());
}

// A caller that sent its next request before it left.
TEST(ByteStream, EndOfTheRemoteIsSeenBehindUnreadBytes)
{
    connected_pair server;
    connected_pair caller;
    ASSERT_TRUE(caller.local.write(std::string(16u << 10, 'x'), fromNow(1000)));
    EXPECT_FALSE(caller.remote.isClosedByRemote());
    caller.local.close();
    EXPECT_EQ(server.local.readMore(fromNow(1000), &caller.remote), read_outcome::WatchedClosed);
    EXPECT_TRUE(caller.remote.isClosedByRemote());
    EXPECT_TRUE(caller.remote.buffer().empty());
}

TEST(ByteStream, ConnectionWithUnreadBytesIsNotIdle)
{
    connected_pair pair;
    EXPECT_TRUE(pair.local.isIdle());
    ASSERT_TRUE(pair.remote.write("late answer", fromNow(1000)));
    EXPECT_EQ(pair.local.readMore(fromNow(1000)), read_outcome::Bytes);
    EXPECT_FALSE(pair.local.isIdle());
}

TEST(ByteStream, LongWriteContinuesWhenTheRemoteSideAnswersEarly)
{
    connected_pair pair;
    const std::string body(8u << 20, 'x');
    std::jthread remoteThread([&pair] {
        pair.remote.write("early", fromNow(5000));
        while (pair.remote.readMore(fromNow(300)) == read_outcome::Bytes)
            pair.remote.buffer().clear();
    });
    EXPECT_TRUE(pair.local.write(body, fromNow(5000)));
    while (pair.local.buffer().size() < 5
           && pair.local.readMore(fromNow(1000)) == read_outcome::Bytes) {
    }
    EXPECT_EQ(pair.local.buffer(), "early");
}

TEST(ByteStream, ClosedPortRefusesTheConnection)
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
