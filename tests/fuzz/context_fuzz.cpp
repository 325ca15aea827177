#include <cstdint>
#include <cstdlib>

#include <trefoil/wire/codec.hpp>

using namespace trefoil;

/// A header of a call or an answer is read or refused; what is read passes on unchanged.
// The name is given by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto context = decode_context(text);
    if (context.ok()) {
        const auto again = decode_context(encode_context(*context));
        if (!again.ok() || *again != *context) {
            std::abort();
        }
    }
    const auto info = decode_answer_info(text);
    if (info.ok()) {
        const auto again = decode_answer_info(encode_answer_info(*info));
        if (!again.ok() || *again != *info) {
            std::abort();
        }
    }
    if (!find_baggage(strip_baggage(text)).empty()) {
        std::abort();
    }
    return 0;
}
