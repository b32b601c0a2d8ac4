#include <http/response_body.h>
#include <http/stream_progress.h>

#include <array>
#include <ctime>
#include <optional>
#include <random>
#include <vector>

#include <core/clock.h>
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

const std::string furtherHead = "HTTP/1.1 200 OK\r\nServer: x\r\nX-Id: r0\r\n\r\n";

// A second answer behind a body that ends with its connection was taken for a part of it.
TEST(ResponseBody, FurtherAnswerBreaksABodyWithoutFramingOffAtItsStatusLine)
{
    const std::vector<std::string> bodies {"",        "{}",     "{}\n", "{}\r\n",
                                           "a HTTP/", "a HTTP", "HH",   "HTTP/1.1 200 HTTP/1.1 2"};
    for (const std::string &own : bodies) {
        const std::string bytes = own + furtherHead + "{\"not\": \"own\"}";
        for (std::size_t pieceSize = 1; pieceSize <= bytes.size(); ++pieceSize) {
            response_body body({.framing = {.end = body_end::Close},
                                .maxHeldBytes = maxHeldBytes,
                                .answerField = "x-id"});
            std::string input;
            for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
                input += bytes.substr(at, pieceSize);
                body.feed(input);
            }
            body.end(true);
            EXPECT_EQ(body.state(), body_state::BrokenOff) << own;
            EXPECT_TRUE(body.hasFurtherAnswer()) << own;
            EXPECT_TRUE(own.starts_with(body.plainBody())) << body.plainBody();
        }
    }
}

TEST(ResponseBody, FurtherAnswerInAStreamWithoutFramingSpoilsNoEvent)
{
    const response_body_options options {.framing = {.end = body_end::Close},
                                         .isEventStream = true,
                                         .maxHeldBytes = maxHeldBytes,
                                         .answerField = "X-Id"};
    for (std::size_t size = 0; size <= concatenated().size(); ++size) {
        const std::string own = concatenated().substr(0, size);
        for (const std::string &further :
             {furtherHead + concatenated(), furtherHead, furtherHead.substr(0, 14)}) {
            const std::string bytes = own + further;
            for (const std::size_t pieceSize : {std::size_t {1}, std::size_t {7}, bytes.size()}) {
                const attempt_result got = attempt(options, bytes, pieceSize, cut::OrderlyEnd);
                EXPECT_EQ(got.state, body_state::BrokenOff) << size << " " << further;
                EXPECT_TRUE(isSequenceOfEvents(got.passedOn)) << got.passedOn;
                EXPECT_TRUE(own.starts_with(got.passedOn)) << got.passedOn;
            }
        }
    }
}

// An interim answer has no field that tells its request: what was written of it before the further
// answer's own head was passed on as an event.
TEST(ResponseBody, InterimAnswerOfAFurtherAnswerIsNoPartOfTheBody)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string own = concatenated();
    for (const bool isEventStream : {false, true}) {
        const response_body_options options {.framing = {.end = body_end::Close},
                                             .isEventStream = isEventStream,
                                             .maxHeldBytes = maxHeldBytes,
                                             .answerField = "X-Id"};
        for (const std::string &further : {interim + furtherHead, interim + interim + furtherHead,
                                           interim + furtherHead.substr(0, 14), interim}) {
            for (const std::size_t pieceSize :
                 {std::size_t {1}, std::size_t {7}, std::size_t {4096}}) {
                const attempt_result got =
                    attempt(options, own + further, pieceSize, cut::OrderlyEnd);
                EXPECT_EQ(got.state, body_state::BrokenOff) << further;
                EXPECT_TRUE(own.starts_with(got.passedOn)) << got.passedOn;
            }
        }
    }
}

TEST(ResponseBody, FurtherAnswerThatIsCutInItsHeadBreaksTheBodyOff)
{
    constexpr std::size_t versionBytes = std::string_view("HTTP/1.1 ").size();
    for (std::size_t size = 0; size < furtherHead.size(); ++size) {
        const std::string bytes = "{\"a\": \"HTTP/1.1 200\"}" + furtherHead.substr(0, size);
        const attempt_result got = attempt({.framing = {.end = body_end::Close},
                                            .maxHeldBytes = maxHeldBytes,
                                            .answerField = "X-Id"},
                                           bytes, 1, cut::OrderlyEnd);
        // So little can't be told from the end of a text.
        const bool isOwn = size < versionBytes;
        EXPECT_EQ(got.state, isOwn ? body_state::Whole : body_state::BrokenOff) << size;
        EXPECT_EQ(got.passedOn, isOwn ? bytes : "") << size;
    }
}

// An answer that was cut looked whole, filled up to its length by the one behind it.
TEST(ResponseBody, FurtherAnswerThatFillsABodyWithALengthBreaksItOff)
{
    const std::string next = furtherHead + std::string(100, 'y');
    for (const std::size_t own : {std::size_t {0}, std::size_t {30}}) {
        for (std::size_t filled = 1; filled < next.size(); ++filled) {
            response_body body({.framing = {.end = body_end::Length, .length = own + filled},
                                .maxHeldBytes = maxHeldBytes,
                                .answerField = "X-Id"});
            std::string input = std::string(own, 'x') + next;
            body.feed(input);
            EXPECT_EQ(body.state(), body_state::BrokenOff) << filled;
            EXPECT_TRUE(body.hasFurtherAnswer()) << filled;
        }
    }
    // Nothing follows a body that quotes an answer, or what follows is no part of the quotation.
    const std::vector<std::pair<std::string, std::string>> whole {
        {furtherHead, ""},
        {"see " + furtherHead + "and so on", ""},
        {"see " + furtherHead.substr(0, 20), ""},
        {"{\"text\": \"HTTP/1.1 200 OK\"}", furtherHead},
        {"HTTP/1.1 200 OK", furtherHead},
        {"a text", next},
        {"HH", "HTTP/1.1 200"}};
    for (const std::pair<std::string, std::string> &each : whole) {
        response_body body({.framing = {.end = body_end::Length, .length = each.first.size()},
                            .maxHeldBytes = maxHeldBytes,
                            .answerField = "X-Id"});
        std::string input = each.first + each.second;
        body.feed(input);
        EXPECT_EQ(body.state(), body_state::Whole) << each.first;
        EXPECT_EQ(body.plainBody(), each.first);
        EXPECT_EQ(input, each.second);
    }
}

TEST(ResponseBody, TextThatIsNoAnswerBelongsToTheBody)
{
    const std::vector<std::string> texts {
        "HTTP/1.1 200 OK\n\nX-Id: r0\n\n",
        "HTTP/1.1 200 OK\r\nServer: x\r\n\r\nX-Id: r0",
        "HTTP/1.1 200 OK\r\nno field\r\nX-Id: r0\r\n\r\n",
        "HTTP/2.0 200 OK\r\nX-Id: r0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nX-Id: r0\r\n\r\n",
        "{\"text\": \"HTTP/1.1 200 OK\\r\\nX-Id: r0\\r\\n\\r\\n\"}",
        "{\"text\": \"HTTP/1.1 200 OK\"}",
        "{\r\n\"text\": \"HTTP/1.1 200 OK\"\r\n}",
        "{\r\n\"text\": \"HTTP/1.1 200 OK\",\r\n\"more\": 1}\r\n",
        "id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: X-Id: r0\r\n\r\n",
        "id: 1\rdata: HTTP/1.1 200 OK\r\r",
        "id: 1\ndata: HTTP/1.1 200 OK\n\n",
    };
    for (const std::string &text : texts) {
        for (const bool isEventStream : {false, true}) {
            if (isEventStream && !text.starts_with("id"))
                continue;
            for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
                const attempt_result got = attempt({.framing = {.end = body_end::Close},
                                                    .isEventStream = isEventStream,
                                                    .maxHeldBytes = maxHeldBytes,
                                                    .answerField = "X-Id"},
                                                   text, pieceSize, cut::OrderlyEnd);
                EXPECT_EQ(got.state, body_state::Whole) << text;
                EXPECT_EQ(got.passedOn, text);
            }
        }
    }
}

/// Returns where the first head in @p text begins that holds the field X-Id or follows interim
/// answers, by trying each place.
std::optional<std::size_t> firstHead(std::string_view text)
{
    const auto isHead = [](std::string_view from) {
        constexpr int maxHeads = 5;
        for (int i = 0; i < maxHeads; ++i) {
            const std::size_t end = from.find("\r\n\r\n");
            if (end == std::string_view::npos)
                return false;
            const result<response_head> head = parseResponseHead(from.substr(0, end));
            if (!head || (head->status >= 200 && !head->headers.has("X-Id")))
                return false;
            if (head->headers.has("X-Id"))
                return true;
            from.remove_prefix(end + 4);
        }
        return false;
    };
    for (std::size_t at = text.find('H'); at != std::string_view::npos;
         at = text.find('H', at + 1)) {
        if (isHead(text.substr(at)))
            return at;
    }
    return std::nullopt;
}

TEST(ResponseBody, FurtherAnswerIsFoundInRandomTexts)
{
    const std::vector<std::string> parts {"HTTP/1.1 200",
                                          "HTTP/1.1 200 OK\r\n",
                                          "HTTP/1.1 200 OK\r\n",
                                          "HTTP/1.0 503 Busy\r\n",
                                          "HTTP/1.1 100 Continue\r\n\r\n",
                                          "HTTP/1.1 200 OK\r\na: ",
                                          "HTTP/",
                                          "H",
                                          " ",
                                          "\r",
                                          "\n",
                                          "\r\n",
                                          "\r\n",
                                          "\r\n\r\n",
                                          "X-Id: r\r\n",
                                          "X-Id: r\r\n\r\n",
                                          "X-Id: r\r\n\r\n",
                                          "a: b\r\n",
                                          "a: HTTP/1.1 200 x\r\n",
                                          "a: HTTP/1.1 199 x\r\n",
                                          "no field\r\n",
                                          "x-id : 1\r\n",
                                          ":\r\n",
                                          "\x01",
                                          "HTTP/1.1 700 x\r\n",
                                          "HTTP/1.1 2000\r\n",
                                          "data: HTTP/1.1 200 OK\n\n"};
    std::mt19937 random(11);
    constexpr int texts = 40'000;
    int heads = 0;
    for (int i = 0; i < texts; ++i) {
        std::string text;
        for (std::size_t count = 1 + random() % 12; count > 0; --count)
            text += parts[random() % parts.size()];
        const std::optional<std::size_t> at = firstHead(text);
        heads += at ? 1 : 0;
        const std::size_t pieceSize = 1 + random() % text.size();
        response_body body({.framing = {.end = body_end::Close},
                            .maxHeldBytes = maxHeldBytes,
                            .answerField = "X-Id"});
        std::string input;
        for (std::size_t from = 0; from < text.size(); from += pieceSize) {
            input += text.substr(from, pieceSize);
            body.feed(input);
        }
        ASSERT_LE(body.plainBody().size(), at.value_or(text.size())) << text;
        ASSERT_TRUE(body.hasFurtherAnswer() || !at || body.heldBytes() > body.plainBody().size())
            << text;
        ASSERT_TRUE(!body.hasFurtherAnswer() || at) << text;
        body.end(true);
        ASSERT_TRUE(body.hasFurtherAnswer() || !at) << text;
    }
    EXPECT_GT(heads, texts / 100);
}

/// Returns the processor time of this thread.
duration processorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_nsec / 1000);
}

// A text that repeats a status line was searched in time that grew with the square of a line.
TEST(ResponseBody, SearchForAFurtherAnswerIsFasterThanALink)
{
    constexpr std::size_t bodyBytes = 8u << 20;
    constexpr std::size_t pieceBytes = 16 << 10;
    // That of a link of 100 Mbit a second.
    constexpr duration linkTime = std::chrono::milliseconds(670);
    const auto repeated = [](const std::string &text, std::size_t size) {
        std::string all;
        while (all.size() < size)
            all += text;
        return all;
    };
    const std::string line = "HTTP/1.1 200 ";
    const std::vector<std::string> texts {
        "H", line, repeated(line, 16'000) + "\n", repeated(line + "OK\r\na:b\r\n", 16'000),
        line + "\r\n" + repeated("a: " + line + "\r\n", 15'000) + "\r\n"};
    for (const std::string &text : texts) {
        const std::string bytes = repeated(text, bodyBytes);
        response_body body({.framing = {.end = body_end::Close},
                            .maxHeldBytes = bodyBytes * 2,
                            .answerField = "X-Id"});
        const duration start = processorTime();
        std::string input;
        for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
            input.append(bytes, at, pieceBytes);
            body.feed(input);
        }
        EXPECT_LT(toMilliseconds(processorTime() - start), toMilliseconds(linkTime))
            << text.substr(0, 40);
    }
}

// What may become a head is held only while it may.
TEST(ResponseBody, EndlessBeginOfAHeadIsNotHeldPastItsLimit)
{
    response_body body({.framing = {.end = body_end::Close},
                        .maxHeldBytes = std::size_t {1} << 20,
                        .answerField = "X-Id"});
    std::string input = "HTTP/1.1 200 ";
    std::size_t fed = input.size();
    while (body.plainBody().empty() && fed < 100'000) {
        input += std::string(1000, 'x');
        fed += 1000;
        body.feed(input);
    }
    EXPECT_LT(fed, 20'000u);
    EXPECT_EQ(body.plainBody().size(), fed);
    body.end(true);
    EXPECT_EQ(body.state(), body_state::Whole);
}

TEST(ResponseBody, UnusedBodyIsDiscardedUpToItsLimit)
{
    const std::string block(1000, 'x');
    for (const body_end end : {body_end::Chunked, body_end::Length}) {
        const std::string bytes = encoded(end, {block, block, block});
        for (const std::uint64_t limit : {std::uint64_t {3000}, std::uint64_t {2999}}) {
            response_body body({.framing = framingOf(end, 3000), .maxDiscardedBytes = limit});
            std::string input;
            for (std::size_t at = 0; at < bytes.size(); at += 300) {
                input += bytes.substr(at, 300);
                EXPECT_EQ(body.feed(input), "");
                EXPECT_EQ(body.heldBytes(), 0u);
            }
            const bool isWithinLimit = limit == 3000;
            EXPECT_EQ(body.state(), isWithinLimit ? body_state::Whole : body_state::BrokenOff);
            EXPECT_EQ(body.plainBody(), "");
        }
    }
    response_body endless(
        {.framing = {.end = body_end::Chunked}, .maxDiscardedBytes = std::uint64_t {5000}});
    std::string input = "ffffffff\r\n";
    for (int i = 0; i < 6; ++i) {
        input += block;
        endless.feed(input);
    }
    EXPECT_EQ(endless.state(), body_state::BrokenOff);
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
