// HTTP requests and answers as immutable values; the core passes them on and never edits them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// One header field; names are in lower case.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// A complete request, its body whole.
struct http_request {
    std::string method;
    /// Path with query, as sent.
    std::string path;
    /// The service that is asked, from the Host header.
    service_name service;
    std::vector<http_header> headers;
    std::string body;
    /// The Idempotency-Key header, empty without one.
    std::string idempotency_key;
    /// Who sends it: the credentials' hash or else the address; empty inside the fleet.
    std::string caller;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// A complete answer, its body whole.
struct http_answer {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

using request_ptr = std::shared_ptr<const http_request>;
using answer_ptr = std::shared_ptr<const http_answer>;

} // namespace trefoil
