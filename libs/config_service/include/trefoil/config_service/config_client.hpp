// HTTP client of the platform's configuration service.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/documents/document_exchange.hpp>
#include <trefoil/http/http_client.hpp>

namespace trefoil {

/// Result of a read: a document with a newer revision than the reader has.
struct platform_document {
    /// Revision of the document.
    revision document_revision;
    std::string text;

    friend bool operator==(const platform_document&, const platform_document&) = default;
};

/// Result of a read: the platform has no newer revision.
struct platform_unchanged {
    friend bool operator==(const platform_unchanged&, const platform_unchanged&) = default;
};

/// Reasons for which a read fails.
enum class platform_error : std::uint8_t {
    /// The connection failed, or no complete answer arrived in time.
    unreachable,
    /// The answer is not a document: unexpected status, no valid revision, or too large.
    bad_answer,
};

using platform_result = std::variant<platform_document, platform_unchanged, platform_error>;

/// Maximum size of a document in bytes.
inline constexpr std::uint64_t max_document_bytes = 1'000'000;

/// Returns the path of a read: `/v1/kv/<document>?after=REVISION&wait=MS`.
std::string platform_path(const platform_read& read);

/// Converts the platform's answer to a result. A document has its revision in the header
/// `revision`; status 304 or 204 means that there is no newer revision.
platform_result read_platform_answer(const http_answer& answer);

/// Reads documents from the platform, with one HTTP request for each read. The HTTP client must
/// outlive this object.
class platform_client {
public:
    using done_handler = std::function<void(platform_result)>;

    platform_client(http_client& client, endpoint platform)
        : client_(client), platform_(std::move(platform)) {}

    /// Sends a read. `done` is called once, after this function has returned.
    void read(const platform_read& query, done_handler done);

private:
    http_client& client_;
    endpoint platform_;
};

} // namespace trefoil
