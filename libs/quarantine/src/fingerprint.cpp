#include <trefoil/quarantine/fingerprint.hpp>

#include <trefoil/base/hash.hpp>

namespace trefoil {

fingerprint fingerprint_of(std::string_view kind, const http_request& request) {
    auto hash = stable_hash(request.service.str());
    for (const std::string_view part :
         {kind, std::string_view(request.method), std::string_view(request.path),
          std::string_view(request.body)}) {
        hash = mix_hash(hash, stable_hash(part));
    }
    return hash;
}

} // namespace trefoil
