// Log record of answers that did not reach their client whole.
#pragma once

#include <cstdint>

#include <trefoil/base/log.hpp>
#include <trefoil/http1/server.hpp>
#include <trefoil/proxy/header_field_names.hpp>

namespace trefoil {

/// Who was to receive an answer.
enum class answer_receiver : std::uint8_t { caller, node };

log_record to_record(const http1::cut_answers& cut, answer_receiver receiver,
                     const header_field_names& fields);

} // namespace trefoil
