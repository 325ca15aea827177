#include <cstdint>
#include <cstdlib>

#include <trefoil/config_service/config_client.hpp>

using namespace trefoil;

/// Builds a platform response from the input: the first byte selects the status, the first line is
/// the revision and the rest is the body.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    constexpr int statuses[] = {200, 204, 304, 404, 500};
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto line_end = std::min(text.find('\n'), text.size());
    http_answer answer;
    answer.status = statuses[data[0] % std::size(statuses)];
    answer.headers.push_back({"revision", std::string(text.substr(0, line_end))});
    answer.body = text.substr(std::min(line_end + 1, text.size()));
    const auto result = read_platform_answer(answer);
    if (const auto* read = std::get_if<platform_document>(&result)) {
        if (read->document_revision.value == 0 || answer.status != 200) {
            std::abort();
        }
    }
    return 0;
}
