// HTTP requests and answers. The core holds them as immutable shared values and never changes them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// One header field. The name is in lower case.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// An HTTP request with its complete body.
struct http_request {
    std::string method;
    /// Path and query as received.
    std::string path;
    /// The service that the request is addressed to, from the Host header.
    service_name service;
    std::vector<http_header> headers;
    std::string body;
    /// Value of the Idempotency-Key header; empty if there is none.
    std::string idempotency_key;
    /// Identity of the caller: a hash of its credentials or else its address. Empty for calls from
    /// inside the fleet.
    std::string caller;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// An HTTP response with its complete body.
struct http_answer {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

using request_ptr = std::shared_ptr<const http_request>;
using answer_ptr = std::shared_ptr<const http_answer>;

} // namespace trefoil
