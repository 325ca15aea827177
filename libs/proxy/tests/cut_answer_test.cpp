// Log line and counter of answers that did not reach their client whole.
#include <doctest/doctest.h>

#include "cut_answer_record.hpp"
#include "proxy_metrics.hpp"

using namespace trefoil;

TEST_CASE("the line of a cut answer names its request, the cause and what was not acknowledged") {
    header_field_names fields;
    fields.request_id = "id";
    http1::request_head head;
    head.headers = {{"host", "a"}, {"id", "r-1"}};
    http1::cut_answers cut{http1::close_reason::silent, 4711, std::chrono::milliseconds(2600), 2,
                           &head};
    CHECK(format_record(to_record(cut, answer_receiver::caller, fields)) ==
          "6012 answer_cut id=r-1 cause=silent to=caller bytes=4711 silent_ms=2600 open=2");
    cut.last_answered = nullptr;
    CHECK(format_record(to_record(cut, answer_receiver::node, fields)) ==
          "6012 answer_cut id=- cause=silent to=node bytes=4711 silent_ms=2600 open=2");
}

TEST_CASE("cut answers are counted by cause") {
    proxy_metrics metrics;
    metrics.count_cut_answer(http1::close_reason::reset);
    metrics.count_cut_answer(http1::close_reason::reset);
    metrics.count_cut_answer(http1::close_reason::timed_out);
    const auto text = metrics.text();
    CHECK(text.find("trefoil_cut_answers_total{cause=\"reset\"} 2\n") != std::string::npos);
    CHECK(text.find("trefoil_cut_answers_total{cause=\"timed_out\"} 1\n") != std::string::npos);
}
