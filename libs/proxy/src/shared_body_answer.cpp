#include "shared_body_answer.hpp"

#include <string_view>
#include <utility>

namespace trefoil {
namespace {

/// Number of bytes that are written at once, and that may wait for the client.
constexpr std::size_t piece_bytes = 32U << 10U;

/// An answer in progress. The handlers of its request own it.
class shared_body_answer : public std::enable_shared_from_this<shared_body_answer> {
public:
    shared_body_answer(std::shared_ptr<http1::served_request> request,
                       std::shared_ptr<const std::string> body)
        : request_(std::move(request)), body_(std::move(body)) {}

    void start(http1::response_head head) {
        head.framing = http1::body_framing::length;
        head.content_length = body_->size();
        const auto self = shared_from_this();
        request_->set_handlers(
            {{}, [self] { self->request_.reset(); }, [self] { self->send_more(); }});
        request_->begin(std::move(head));
        send_more();
    }

private:
    void send_more() {
        const auto request = request_;
        if (request == nullptr) {
            return;
        }
        const std::string_view body = *body_;
        while (sent_bytes_ < body.size()) {
            if (request->unsent_bytes() >= piece_bytes) {
                return;
            }
            const auto piece = body.substr(sent_bytes_, piece_bytes);
            sent_bytes_ += piece.size();
            request->write(piece);
        }
        request_.reset();
        request->set_handlers({});
        request->finish();
    }

    std::shared_ptr<http1::served_request> request_;
    std::shared_ptr<const std::string> body_;
    std::size_t sent_bytes_ = 0;
};

} // namespace

void answer_with_shared_body(std::shared_ptr<http1::served_request> request,
                             http1::response_head head, std::shared_ptr<const std::string> body) {
    const auto answer = std::make_shared<shared_body_answer>(std::move(request), std::move(body));
    answer->start(std::move(head));
}

} // namespace trefoil
