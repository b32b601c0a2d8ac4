#include "../spoiled_streams.h"

int main(int count, char **values)
{
    const review::case_arguments arguments = review::beginCase(count, values);
    review::runSpoiledStreams(arguments, [](review::connection &stream) {
        // Bytes that are no answer.
        stream.write("?? no chunk ??\r\n");
    });
}
