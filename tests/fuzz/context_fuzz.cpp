#include <cstdint>
#include <cstdlib>

#include <trefoil/wire/codec.hpp>

using namespace trefoil;

/// Checks that decoding a call or response header succeeds or fails cleanly, that a decoded header
/// survives encoding and decoding unchanged, and that stripping baggage removes the context.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto context = decode_context(text);
    if (context.ok()) {
        const auto decoded_again = decode_context(encode_context(*context));
        if (!decoded_again.ok() || *decoded_again != *context) {
            std::abort();
        }
    }
    const auto info = decode_answer_info(text);
    if (info.ok()) {
        const auto decoded_again = decode_answer_info(encode_answer_info(*info));
        if (!decoded_again.ok() || *decoded_again != *info) {
            std::abort();
        }
    }
    if (!find_baggage(strip_baggage(text)).empty()) {
        std::abort();
    }
    return 0;
}
