#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/http1/message_parser.hpp>

using namespace trefoil::http1;

/// Feeds the input to a response parser, in pieces whose size is the first byte, and checks that
/// nothing follows a failure and that each body piece belongs to a response.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::size_t piece_bytes = 1 + data[0];
    std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    response_parser parser;
    std::vector<response_event> events;
    while (!rest.empty()) {
        const auto piece = rest.substr(0, piece_bytes);
        parser.feed(piece, events);
        rest.remove_prefix(piece.size());
    }
    parser.finish(events);
    bool is_in_response = false;
    bool has_failed = false;
    for (const auto& event : events) {
        const bool is_body = std::holds_alternative<body_piece>(event);
        if (has_failed || (is_body && !is_in_response)) {
            std::abort();
        }
        is_in_response = is_in_response ? !std::holds_alternative<message_end>(event)
                                        : std::holds_alternative<response_head>(event);
        has_failed = std::holds_alternative<parse_failure>(event);
    }
    return 0;
}
