#pragma once

#include "standins.h"

namespace review {

/// What the worker in trouble does with an answer that it spoils, once it has sent the first pieces
/// and the first half of the next.
using spoil_answer = std::function<void(connection &stream)>;

/// Runs one machine, three workers and many clients of a route whose streams may be resumed. One
/// worker spoils one in fifty of its answers. Ends the program: with 1 if a client got wrong
/// pieces, or a stream that ended as complete before its last piece.
[[noreturn]] void runSpoiledStreams(const case_arguments &arguments, const spoil_answer &spoil);

} // namespace review
