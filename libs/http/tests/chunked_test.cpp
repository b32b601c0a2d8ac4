#include <http/chunked.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Chunked, DecodesInputSplitAnywhere)
{
    const std::string encoded = "5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nX: y\r\n\r\nnext";
    for (std::size_t pieceSize = 1; pieceSize <= encoded.size(); ++pieceSize) {
        chunked_decoder decoder;
        std::string input;
        std::string body;
        chunked_state state = chunked_state::More;
        std::size_t fed = 0;
        while (state == chunked_state::More && fed < encoded.size()) {
            input += encoded.substr(fed, pieceSize);
            fed += pieceSize;
            state = decoder.feed(input, body);
        }
        ASSERT_EQ(state, chunked_state::Done) << pieceSize;
        EXPECT_EQ(body, "hello world") << pieceSize;
        EXPECT_EQ(input + encoded.substr(std::min(fed, encoded.size())), "next") << pieceSize;
    }
}

TEST(Chunked, RejectsMalformedSizesAndLineEnds)
{
    for (const char *text : {"g\r\n", "-1\r\n", " 5\r\nhello\r\n", "\r\n", "5\r\nhelloX\r\n",
                             "5\nhello\r\n0\r\n\r\n", "fffffffffffffffff\r\n"}) {
        chunked_decoder decoder;
        std::string input(text);
        std::string body;
        EXPECT_EQ(decoder.feed(input, body), chunked_state::Malformed) << text;
    }
}

TEST(Chunked, EmptyDataDoesNotEndTheBody)
{
    std::string out;
    appendChunk(out, "");
    EXPECT_EQ(out, "");
    appendChunk(out, "0123456789abcdef");
    EXPECT_EQ(out, "10\r\n0123456789abcdef\r\n");
}

} // namespace trefoil
