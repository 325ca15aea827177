// Answers with a body that several of them share.
#pragma once

#include <memory>
#include <string>

#include <trefoil/http1/server.hpp>

namespace trefoil {

/// Answers a request with a body that is kept once for all answers. It is sent piece by piece as
/// the client reads, so that many slow clients together cost a small part of their bodies.
void answer_with_shared_body(std::shared_ptr<http1::served_request> request,
                             http1::response_head head, std::shared_ptr<const std::string> body);

} // namespace trefoil
