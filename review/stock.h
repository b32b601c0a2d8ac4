#pragma once

#include "rig.h"

namespace trefoil::rig {

/// What a stand-in server sends instead of its answer: @p answer once, a second one behind it.
/// @p number counts the answers that are spoiled. Returns nothing to leave the answer as it is.
struct spoiled_answer
{
    std::string first;
    std::string second;
    std::size_t headBytes = 0;
    std::size_t secondHeadBytes = 0;
    std::size_t number = 0;
};
using spoiler = std::function<server_reply(const spoiled_answer &answer)>;

struct stock_options
{
    /// Whether the servers send their bodies in one chunk instead of with a length.
    bool isChunked = false;
    std::size_t bodyBytes = 400;
    duration time = std::chrono::seconds(45);
    /// Broken answers after which the run ends early.
    int enough = 1;
    int clients = 16;
    spoiler spoil;
};

/// Plays safe reads at four servers, of which the first two spoil one answer in 34, for 5 s at a
/// time, while there is trouble, and checks each success that a client gets: it bears the seal of a
/// server and is exactly the body that this server made for this request. Returns the exit status
/// of the script.
int runStock(const char *directory, const char *recordFile, const stock_options &options);

} // namespace trefoil::rig
