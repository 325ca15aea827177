// Memory that a test program has allocated.
#pragma once

#include <cstddef>

#include <malloc.h>

namespace trefoil {

/// Bytes of the heap in use, as the C library counts them. The allocator of a sanitizer isn't
/// counted, so tests that use this don't run under sanitizers.
inline std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace trefoil
