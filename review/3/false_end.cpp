#include "../spoiled_streams.h"

int main(int count, char **values)
{
    const review::case_arguments arguments = review::beginCase(count, values);
    review::runSpoiledStreams(arguments, [](review::connection &stream) {
        // The proper end of a chunked body, in the middle of an event.
        stream.write("0\r\n\r\n");
    });
}
