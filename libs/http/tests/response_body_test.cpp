#include <http/response_body.h>
#include <http/stream_progress.h>

#include <array>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr std::size_t maxHeldBytes = 4096;

/// How a server's bytes are followed by nothing more.
enum class cut { OrderlyEnd, Reset, MalformedBytes };
constexpr std::array<cut, 3> cuts {cut::OrderlyEnd, cut::Reset, cut::MalformedBytes};

constexpr std::array<body_end, 3> framings {body_end::Chunked, body_end::Length, body_end::Close};

const std::vector<std::string> events {"id: 1\ndata: one\n\n", "id: 2\r\ndata: two\r\n\r\n",
                                       ": comment\n\n", "id: 3\rdata: three\r\r",
                                       "id: 4\ndata: a\ndata: b\n\n"};

std::string concatenated(std::size_t first = 0)
{
    std::string text;
    for (std::size_t i = first; i < events.size(); ++i)
        text += events[i];
    return text;
}

body_framing framingOf(body_end end, std::size_t length)
{
    return {.end = end, .length = end == body_end::Length ? length : 0};
}

/// Encodes @p parts, in chunks if @p end says so.
std::string encoded(body_end end, const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts) {
        if (end == body_end::Chunked)
            appendChunk(text, part);
        else
            text += part;
    }
    return end == body_end::Chunked ? text + std::string(lastChunk) : text;
}

/// What came of one attempt at a server.
struct attempt_result
{
    std::string passedOn;
    body_state state = body_state::Incomplete;
};

/// Feeds @p bytes in pieces of @p pieceSize and ends the answer with @p how, if it is given.
attempt_result attempt(const response_body_options &options, std::string_view bytes,
                       std::size_t pieceSize, std::optional<cut> how)
{
    response_body body(options);
    attempt_result result;
    std::string input;
    while (!bytes.empty()) {
        input += bytes.substr(0, pieceSize);
        bytes.remove_prefix(std::min(pieceSize, bytes.size()));
        result.passedOn += body.feed(input);
    }
    if (how == cut::MalformedBytes) {
        input += "?\n\nno chunk\n\n";
        result.passedOn += body.feed(input);
    }
    if (how)
        body.end(*how != cut::Reset);
    result.state = body.state();
    if (!options.isEventStream && result.state == body_state::Whole)
        result.passedOn = body.plainBody();
    return result;
}

/// Returns whether @p text consists of the first of the events, each of them whole.
bool isSequenceOfEvents(std::string_view text)
{
    for (const std::string &event : events) {
        if (text.empty())
            return true;
        if (!text.starts_with(event))
            return false;
        text.remove_prefix(event.size());
    }
    return text.empty();
}

} // namespace

TEST(ResponseBody, SoundStreamKeepsItsBytesAndIsPassedOnEventByEvent)
{
    for (const body_end end : framings) {
        const std::string bytes = encoded(end, events);
        const response_body_options options {
            .framing = framingOf(end, bytes.size()), .isEventStream = true, .maxHeldBytes = 64};
        for (std::size_t pieceSize = 1; pieceSize <= bytes.size(); ++pieceSize) {
            const attempt_result got = attempt(options, bytes, pieceSize, cut::OrderlyEnd);
            EXPECT_EQ(got.state, body_state::Whole) << pieceSize;
            EXPECT_EQ(got.passedOn, concatenated()) << pieceSize;
        }
        response_body body(options);
        for (const std::string &event : events) {
            std::string input = event;
            if (end == body_end::Chunked) {
                input.clear();
                appendChunk(input, event);
            }
            EXPECT_EQ(body.feed(input), event);
        }
    }
}

// An incomplete event was joined with the events of the next server, or passed on as complete.
TEST(ResponseBody, StreamCutAtAnyByteIsNeitherCompleteNorJoined)
{
    for (const body_end end : framings) {
        const std::string bytes = encoded(end, events);
        const response_body_options options {.framing = framingOf(end, bytes.size()),
                                             .isEventStream = true,
                                             .maxHeldBytes = maxHeldBytes};
        for (const cut how : cuts) {
            // Without chunks, bytes that don't belong to the answer can't be told from it.
            if (how == cut::MalformedBytes && end != body_end::Chunked)
                continue;
            for (std::size_t size = 0; size < bytes.size(); ++size) {
                const attempt_result first =
                    attempt(options, std::string_view(bytes).substr(0, size), bytes.size(), how);
                SCOPED_TRACE("framing " + std::to_string(static_cast<int>(end)) + ", cut "
                             + std::to_string(static_cast<int>(how)) + " at "
                             + std::to_string(size));
                EXPECT_TRUE(isSequenceOfEvents(first.passedOn)) << first.passedOn;
                if (first.state == body_state::Whole) {
                    // The only end that can't be told from a cut is one between two events.
                    EXPECT_EQ(end, body_end::Close);
                    EXPECT_EQ(how, cut::OrderlyEnd);
                    EXPECT_EQ(first.passedOn, bytes.substr(0, size));
                    continue;
                }
                stream_progress progress;
                progress.record(first.passedOn);
                ASSERT_TRUE(progress.canContinue());
                // Another server goes on after the last event that was passed on.
                std::vector<std::string> rest;
                const std::size_t known =
                    progress.lastEventId().empty() ? 0 : std::stoul(progress.lastEventId());
                for (std::size_t i = 0, id = 0; i < events.size(); ++i) {
                    id += containsData(events[i]) ? 1 : 0;
                    if (id > known)
                        rest.push_back(events[i]);
                }
                const std::string restBytes = encoded(end, rest);
                response_body_options restOptions = options;
                restOptions.framing = framingOf(end, restBytes.size());
                const attempt_result second =
                    attempt(restOptions, restBytes, restBytes.size(), cut::OrderlyEnd);
                std::string withData;
                const std::string all = first.passedOn + second.passedOn;
                for (const std::string &event : events)
                    withData += containsData(event) ? event : "";
                std::string received = all;
                for (std::size_t at = received.find(events[2]); at != std::string::npos;
                     at = received.find(events[2]))
                    received.erase(at, events[2].size());
                EXPECT_EQ(received, withData);
                const bool hadAll = rest.empty() && end == body_end::Close;
                EXPECT_EQ(second.state, hadAll ? body_state::BrokenOff : body_state::Whole);
            }
        }
    }
}

TEST(ResponseBody, IncompleteEventDoesNotReachTheNextServersStream)
{
    const response_body_options options {
        .framing = {.end = body_end::Close}, .isEventStream = true, .maxHeldBytes = maxHeldBytes};
    stream_progress progress;
    response_body first(options);
    std::string input = "id: 1\ndata: a\n\nid: 2\nda";
    progress.record(first.feed(input));
    EXPECT_EQ(progress.lastEventId(), "1");
    input = "ta: b\n\nid: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: cut";
    progress.record(first.feed(input));
    EXPECT_EQ(progress.lastEventId(), "7");
    first.end(false);
    response_body second(options);
    input = "id: 8\r\ndata: b\r\n\r\n";
    const std::string events = second.feed(input);
    EXPECT_EQ(events, "id: 8\r\ndata: b\r\n\r\n");
    progress.record(events);
    EXPECT_EQ(progress.lastEventId(), "8");
    EXPECT_EQ(second.heldBytes(), 0u);
    second.end(true);
    EXPECT_EQ(second.state(), body_state::Whole);
}

// A chunked stream, or one with a length, that ended inside an event was passed on as complete.
TEST(ResponseBody, StreamWhoseFramingEndsInsideAnEventIsBrokenOff)
{
    for (const body_end end : framings) {
        for (const char *rest : {"id: 2\nda", "id: 2\ndata: b\n", "\n: com", "data"}) {
            const std::string bytes = encoded(end, {events[0], rest});
            const attempt_result got = attempt({.framing = framingOf(end, bytes.size()),
                                                .isEventStream = true,
                                                .maxHeldBytes = maxHeldBytes},
                                               bytes, bytes.size(), cut::OrderlyEnd);
            EXPECT_EQ(got.state, body_state::BrokenOff) << rest;
            EXPECT_EQ(got.passedOn, events[0] + (*rest == '\n' ? "\n" : ""));
        }
    }
}

TEST(ResponseBody, StreamWithoutEventsIsWholeOnlyIfItsFramingSaysSo)
{
    const auto stateOf = [](body_end end, const std::string &bytes) {
        return attempt({.framing = framingOf(end, bytes.size()),
                        .isEventStream = true,
                        .maxHeldBytes = maxHeldBytes},
                       bytes, 1, cut::OrderlyEnd)
            .state;
    };
    EXPECT_EQ(stateOf(body_end::Chunked, std::string(lastChunk)), body_state::Whole);
    EXPECT_EQ(stateOf(body_end::Length, ""), body_state::Whole);
    EXPECT_EQ(stateOf(body_end::Close, ""), body_state::BrokenOff);
    EXPECT_EQ(stateOf(body_end::Close, ": ping\n\n"), body_state::BrokenOff);
}

// The bytes after a cut chunk completed its last event.
TEST(ResponseBody, EventOfAChunkIsPassedOnOnlyWithTheChunksEnd)
{
    response_body body({.framing = {.end = body_end::Chunked},
                        .isEventStream = true,
                        .maxHeldBytes = maxHeldBytes});
    std::string input = "13\r\nid: 1\nda";
    EXPECT_EQ(body.feed(input), "");
    input += "\n\nHTTP/1.1 500 ..";
    EXPECT_EQ(body.feed(input), "");
    EXPECT_EQ(body.state(), body_state::BrokenOff);
}

TEST(ResponseBody, PlainBodyCutAtAnyByteIsNotWhole)
{
    const std::vector<std::string> parts {"{\"answer\": ", "\n\n", "42}"};
    for (const body_end end : framings) {
        const std::string bytes = encoded(end, parts);
        const response_body_options options {.framing = framingOf(end, bytes.size()),
                                             .maxHeldBytes = maxHeldBytes};
        for (std::size_t pieceSize = 1; pieceSize <= bytes.size(); ++pieceSize) {
            const attempt_result got = attempt(options, bytes, pieceSize, cut::OrderlyEnd);
            EXPECT_EQ(got.state, body_state::Whole);
            EXPECT_EQ(got.passedOn, "{\"answer\": \n\n42}");
        }
        for (const cut how : cuts) {
            if (end == body_end::Close && how != cut::Reset)
                continue;
            if (how == cut::MalformedBytes && end == body_end::Length)
                continue;
            for (std::size_t size = 0; size < bytes.size(); ++size) {
                const attempt_result got =
                    attempt(options, std::string_view(bytes).substr(0, size), 1, how);
                EXPECT_EQ(got.state, body_state::BrokenOff) << size;
            }
        }
    }
}

TEST(ResponseBody, HoldsNoMoreThanItsLimit)
{
    const std::string block(1000, 'x');
    std::string chunk;
    appendChunk(chunk, block);
    const std::string openChunk = "ffffffff\r\n" + block;
    struct endless_case
    {
        body_end end;
        bool isEventStream;
        std::string first;
        std::string next;
    };
    const std::vector<endless_case> cases {
        {body_end::Chunked, true, chunk, chunk},     {body_end::Chunked, false, chunk, chunk},
        {body_end::Chunked, true, openChunk, block}, {body_end::Chunked, false, openChunk, block},
        {body_end::Close, true, block, block},       {body_end::Close, false, block, block},
        {body_end::Length, true, block, block},      {body_end::Length, false, block, block},
    };
    for (const endless_case &each : cases) {
        response_body body({.framing = framingOf(each.end, std::size_t {1} << 40),
                            .isEventStream = each.isEventStream,
                            .maxHeldBytes = maxHeldBytes});
        std::string input = each.first;
        std::size_t held = 0;
        int pieces = 0;
        for (; body.state() == body_state::Incomplete && pieces < 100; ++pieces) {
            EXPECT_EQ(body.feed(input), "");
            held = std::max(held, body.heldBytes() + input.size());
            input += each.next;
        }
        EXPECT_EQ(body.state(), body_state::BrokenOff);
        EXPECT_LE(held, maxHeldBytes + each.first.size());
    }
}

} // namespace trefoil
