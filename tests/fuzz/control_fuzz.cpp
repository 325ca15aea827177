#include <cstdint>
#include <cstdlib>

#include <trefoil/wire/codec.hpp>

using namespace trefoil;

/// Checks that decoding a control message succeeds or fails cleanly, and that a decoded message
/// survives encoding and decoding unchanged.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto message = decode_control({reinterpret_cast<const char*>(data), size});
    if (message.ok()) {
        const auto again = decode_control(encode_control(*message));
        if (!again.ok() || *again != *message) {
            std::abort();
        }
    }
    return 0;
}
