#include <delivery/stream_assembler.h>

#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

sse_event token(std::string_view id, std::string_view data = "{}")
{
    return {.id = id, .data = data};
}

const sse_event endMarker {.id = "", .data = streamEnd};

} // namespace

TEST(SseParser, JoinsChunksAndDataLines)
{
    sse_parser parser;
    std::vector<std::string> seen;
    const auto collect = [&](const sse_event &event) {
        seen.push_back(std::string(event.id) + "=" + std::string(event.data));
    };
    EXPECT_TRUE(parser.feed("id: 0\r\nda", collect));
    EXPECT_TRUE(parser.feed("ta: a\n\n: comment\ndata: b\ndata: c\n\n", collect));
    EXPECT_EQ(seen, (std::vector<std::string> {"0=a", "=b\nc"}));
    EXPECT_FALSE(parser.feed(std::string(sse_parser::maxLineBytes + 1, 'x'), collect));
}

TEST(StreamAssembler, ResumesWithoutLossOrRepetition)
{
    stream_assembler stream;
    const std::uint64_t first = stream.begin();
    EXPECT_EQ(stream.take(first, token("0")), stream_step::Deliver);
    EXPECT_EQ(stream.take(first, token("1")), stream_step::Deliver);
    const std::uint64_t second = stream.begin();
    EXPECT_EQ(stream.next(), 2u);
    EXPECT_EQ(stream.take(first, token("2")), stream_step::Stale);
    EXPECT_EQ(stream.take(second, token("1")), stream_step::Repeated);
    EXPECT_EQ(stream.take(second, token("2")), stream_step::Deliver);
    EXPECT_EQ(stream.take(second, endMarker), stream_step::Complete);
    EXPECT_EQ(stream.take(second, endMarker), stream_step::Stale);
}

TEST(StreamAssembler, DetectsGapsAndEmptyAnswers)
{
    stream_assembler stream;
    std::uint64_t attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, endMarker), stream_step::Empty);
    attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("1")), stream_step::Gap);
    EXPECT_EQ(stream.take(attempt, token("x")), stream_step::Gap);
    EXPECT_FALSE(stream.isComplete());
}

TEST(StreamAssembler, NumbersEventsWithoutId)
{
    stream_assembler stream;
    std::uint64_t attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("")), stream_step::Deliver);
    EXPECT_EQ(stream.take(attempt, token("")), stream_step::Deliver);
    attempt = stream.begin();
    stream.setPosition(attempt, 2);
    EXPECT_EQ(stream.take(attempt, token("")), stream_step::Deliver);
    EXPECT_EQ(stream.next(), 3u);
    EXPECT_EQ(stream.take(attempt, endMarker), stream_step::Complete);
}

// An engine that ignored the resume position began again, without ids: its first events became the
// continuation of the events before.
TEST(StreamAssembler, RunThatDoesNotTellWhereItResumesIsNotJoined)
{
    stream_assembler stream;
    std::uint64_t attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("", "a")), stream_step::Deliver);
    EXPECT_EQ(stream.take(attempt, token("", "b")), stream_step::Deliver);
    attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("", "a")), stream_step::Gap);
    attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, endMarker), stream_step::Gap);
    attempt = stream.begin();
    stream.setPosition(attempt, 3);
    EXPECT_EQ(stream.take(attempt, token("", "d")), stream_step::Gap);
    EXPECT_EQ(stream.next(), 2u);
}

// An engine began again with ids and another text: the events of both runs were joined.
TEST(StreamAssembler, RunsWithDifferentTextsAreNotJoined)
{
    for (const bool hasIds : {true, false}) {
        stream_assembler stream;
        std::uint64_t attempt = stream.begin();
        EXPECT_EQ(stream.take(attempt, token("0", "a")), stream_step::Deliver);
        EXPECT_EQ(stream.take(attempt, token("1", "b")), stream_step::Deliver);
        attempt = stream.begin();
        if (!hasIds)
            stream.setPosition(attempt, 0);
        EXPECT_EQ(stream.take(attempt, token(hasIds ? "0" : "", "a")), stream_step::Repeated);
        EXPECT_EQ(stream.take(attempt, token(hasIds ? "1" : "", "x")), stream_step::Gap);
        attempt = stream.begin();
        EXPECT_EQ(stream.take(attempt, token("0", "a")), stream_step::Repeated);
        EXPECT_EQ(stream.take(attempt, token("1", "b")), stream_step::Repeated);
        EXPECT_EQ(stream.take(attempt, token("2", "c")), stream_step::Deliver);
    }
}

// A run that began again and ended before the position that the client had reached made the joined
// stream complete.
TEST(StreamAssembler, ShorterRunDoesNotCompleteTheStream)
{
    stream_assembler stream;
    std::uint64_t attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("0")), stream_step::Deliver);
    EXPECT_EQ(stream.take(attempt, token("1")), stream_step::Deliver);
    attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("0")), stream_step::Repeated);
    EXPECT_EQ(stream.take(attempt, endMarker), stream_step::Gap);
    attempt = stream.begin();
    stream.setPosition(attempt, 2);
    EXPECT_EQ(stream.take(attempt, endMarker), stream_step::Complete);
}

// Ids that skip events which the client has make the run's text another one.
TEST(StreamAssembler, IdsThatSkipOrGoBackToAnotherTextEndTheAttempt)
{
    stream_assembler stream;
    std::uint64_t attempt = stream.begin();
    for (const char *id : {"0", "1", "2"})
        EXPECT_EQ(stream.take(attempt, token(id, id)), stream_step::Deliver);
    EXPECT_EQ(stream.take(attempt, token("1", "1")), stream_step::Repeated);
    EXPECT_EQ(stream.take(attempt, token("1", "x")), stream_step::Gap);
    attempt = stream.begin();
    EXPECT_EQ(stream.take(attempt, token("0", "0")), stream_step::Repeated);
    EXPECT_EQ(stream.take(attempt, token("3", "3")), stream_step::Gap);
}

/// Whichever events are lost, repeated, reordered or from an earlier attempt, the client gets
/// tokens 0, 1, 2, ... once each.
TEST(StreamAssembler, DeliversEachTokenOnceInOrderAcrossAttempts)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        stream_assembler stream;
        std::vector<std::uint64_t> attempts {stream.begin()};
        std::uint64_t delivered = 0;
        std::uint64_t nextNumber = 0;
        for (int step = 0; step < 500 && !stream.isComplete(); ++step) {
            const std::uint64_t attempt = attempts[random() % attempts.size()];
            const std::uint64_t number =
                random() % 4 == 0 ? random() % (nextNumber + 3) : nextNumber;
            const std::string id = std::to_string(number);
            const stream_step decision = stream.take(attempt, token(id));
            if (decision == stream_step::Deliver) {
                ASSERT_EQ(number, delivered) << "seed " << seed;
                ++delivered;
            }
            nextNumber = stream.next();
            if (decision == stream_step::Gap || random() % 20 == 0)
                attempts.push_back(stream.begin());
        }
        EXPECT_EQ(delivered, stream.next());
    }
}

} // namespace trefoil
