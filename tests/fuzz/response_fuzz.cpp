#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/http1/message_parser.hpp>

#include "message_sequence.hpp"

using namespace trefoil::http1;

/// Feeds the input to a response parser and checks that nothing follows a failure, that no field
/// lacks a name, that each body piece belongs to a response, and that each response is read as it
/// would be on a connection of its own. The lower bits of the first byte are the size of the pieces
/// less one; with the highest bit, the first response is one to HEAD.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr std::uint8_t piece_mask = 0x7f;
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    bool expects_no_body = data[0] > piece_mask;
    response_parser parser;
    response_parser splitter;
    if (expects_no_body) {
        parser.expect_no_body();
        splitter.expect_no_body();
    }
    const auto events =
        parse_connection<response_event>(parser, bytes, 1U + (data[0] & piece_mask));
    check_events(events);
    std::vector<response_event> expected;
    for (const auto message : split_messages<response_event>(splitter, bytes)) {
        parse_alone(expected, message, expects_no_body);
    }
    if (events != expected) {
        std::abort();
    }
    return 0;
}
