// Reads the platform's configuration service over HTTP.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/documents/document_exchange.hpp>
#include <trefoil/http/http_client.hpp>

namespace trefoil {

/// A document that is newer than asked for.
struct platform_document {
    revision at;
    std::string text;

    friend bool operator==(const platform_document&, const platform_document&) = default;
};

/// The platform has nothing newer.
struct platform_unchanged {
    friend bool operator==(const platform_unchanged&, const platform_unchanged&) = default;
};

/// Why a read failed.
enum class platform_problem : std::uint8_t {
    /// No connection, no answer in time or a broken one.
    unreachable,
    /// An answer that is no document: another status, no revision, too large.
    bad_answer,
};

using platform_result = std::variant<platform_document, platform_unchanged, platform_problem>;

/// Largest document in bytes.
inline constexpr std::uint64_t max_document_bytes = 1'000'000;

/// Path of a read: `/v1/kv/<document>?after=REVISION&wait=MS`.
std::string platform_path(const platform_read& read);

/// The platform's answer as a result. A document carries its revision in the header `revision`;
/// status 304 or 204 means that nothing is newer.
platform_result read_platform_answer(const http_answer& answer);

/// Sends reads, one call each.
class platform_client {
public:
    using done_handler = std::function<void(platform_result)>;

    platform_client(http_client& client, endpoint platform)
        : client_(client), platform_(std::move(platform)) {}

    /// `done` is called once, later.
    void read(const platform_read& what, done_handler done);

private:
    http_client& client_;
    endpoint platform_;
};

} // namespace trefoil
