// What becomes of an answer of the target on this machine, for logs and metrics.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <trefoil/base/log.hpp>
#include <trefoil/base/log_queue.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/proxy/header_field_names.hpp>

namespace trefoil {

enum class answer_fate : std::uint8_t {
    passed_on,
    /// The run failed, since its answer can't be used.
    unusable,
    /// It is no answer to the request that waits on the connection.
    discarded,
};

/// One answer of the target.
struct target_answer_report {
    answer_fate fate = answer_fate::passed_on;
    /// Why it was not passed on; empty if it was.
    std::string cause;
    /// Id of the request that waits on the connection; empty if there is none.
    std::string request_id;
    http1::connection_use use;
    /// From the answer's head; 0 or empty if none was read.
    int status = 0;
    std::string echoed_id;
    std::string stamp;

    friend bool operator==(const target_answer_report&, const target_answer_report&) = default;
};

/// Sets the members that come from the head of an answer.
void describe_head(target_answer_report& report, const header_field_names& fields,
                   const http1::response_head& head);

/// Answers that are passed on are logged as a sample.
log_class log_class_of(answer_fate fate);
log_record to_record(const target_answer_report& report);

} // namespace trefoil
