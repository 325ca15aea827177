#include <trefoil/control/control_channel.hpp>

#include <list>
#include <map>
#include <mutex>
#include <vector>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <uv.h>

#include <trefoil/base/error.hpp>
#include <trefoil/wire/codec.hpp>

#include "trefoil_wire.grpc.pb.h"

namespace trefoil {
namespace {

/// Maximum number of open channels. The least recently used one is closed first.
constexpr std::size_t max_channels = 64;
constexpr std::chrono::seconds send_timeout{2};
constexpr int max_message_bytes = 4'000'000;

/// A received message that is not decoded yet.
struct received_message {
    std::string from;
    std::string bytes;
};

} // namespace

class control_channel::impl {
public:
    impl(uv_loop_t* loop, instance_id self, message_handler on_message,
         bad_message_handler on_bad_message)
        : self_(std::move(self)), on_message_(std::move(on_message)),
          on_bad_message_(std::move(on_bad_message)), service_(*this) {
        wakeup_ = new uv_async_t;
        uv_async_init(loop, wakeup_, [](uv_async_t* wakeup) {
            static_cast<impl*>(wakeup->data)->process_queue();
        });
        wakeup_->data = this;
        uv_unref(reinterpret_cast<uv_handle_t*>(wakeup_));
    }

    ~impl() {
        if (server_) {
            server_->Shutdown(std::chrono::system_clock::now());
            server_->Wait();
        }
        uv_close(reinterpret_cast<uv_handle_t*>(wakeup_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_async_t*>(handle); });
    }

    absl::Status open(const endpoint& listen_address) {
        grpc::ServerBuilder builder;
        int bound_port = 0;
        builder.AddListeningPort(to_string(listen_address), grpc::InsecureServerCredentials(),
                                 &bound_port);
        builder.SetMaxReceiveMessageSize(max_message_bytes);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        if (!server_ || bound_port != listen_address.port) {
            return make_error(control_failure::cannot_listen, to_string(listen_address));
        }
        return absl::OkStatus();
    }

    void send(const endpoint& to, const control_message& message) {
        auto call = std::make_shared<outgoing_call>();
        call->envelope.set_from(self_.str());
        call->envelope.mutable_message()->ParseFromString(encode_control(message));
        call->context.set_deadline(std::chrono::system_clock::now() + send_timeout);
        ++traffic_.messages_sent;
        traffic_.bytes_sent += call->envelope.ByteSizeLong();
        stub_of(to).async()->Deliver(&call->context, &call->envelope, &call->receipt,
                                     [call](const grpc::Status&) {});
    }

    control_traffic traffic() const { return traffic_; }

private:
    struct outgoing_call {
        grpc::ClientContext context;
        proto::Envelope envelope;
        proto::Receipt receipt;
    };

    struct peer_channel {
        endpoint to;
        std::unique_ptr<proto::Control::Stub> stub;
    };

    class service : public proto::Control::CallbackService {
    public:
        explicit service(impl& owner) : owner_(owner) {}

        grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* context,
                                          const proto::Envelope* envelope,
                                          proto::Receipt*) override {
            owner_.enqueue({envelope->from(), envelope->message().SerializeAsString()});
            auto* reactor = context->DefaultReactor();
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }

    private:
        impl& owner_;
    };

    /// Queues a received message for the loop. Called on gRPC's threads.
    void enqueue(received_message message) {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(message));
        uv_async_send(wakeup_);
    }

    /// Decodes the queued messages and passes them on. Called on the thread of the loop.
    void process_queue() {
        std::vector<received_message> messages;
        {
            const std::lock_guard lock(mutex_);
            messages.swap(queue_);
        }
        for (const auto& message : messages) {
            ++traffic_.messages_received;
            traffic_.bytes_received += message.bytes.size();
            auto decoded = decode_control(message.bytes);
            if (decoded.ok()) {
                on_message_(instance_id(message.from), *std::move(decoded));
            } else {
                on_bad_message_(decoded.status());
            }
        }
    }

    /// Returns the stub of the channel to the address, and opens the channel if there is none.
    proto::Control::Stub& stub_of(const endpoint& to) {
        for (auto at = channels_.begin(); at != channels_.end(); ++at) {
            if (at->to == to) {
                channels_.splice(channels_.begin(), channels_, at);
                return *channels_.front().stub;
            }
        }
        if (channels_.size() >= max_channels) {
            channels_.pop_back();
        }
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(max_message_bytes);
        constexpr int first_backoff_ms = 200;
        constexpr int max_backoff_ms = 2000;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_backoff_ms);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_backoff_ms);
        auto channel =
            grpc::CreateCustomChannel(to_string(to), grpc::InsecureChannelCredentials(), arguments);
        channels_.push_front({to, proto::Control::NewStub(channel)});
        return *channels_.front().stub;
    }

    instance_id self_;
    message_handler on_message_;
    bad_message_handler on_bad_message_;
    service service_;
    std::unique_ptr<grpc::Server> server_;
    /// Open channels, with the most recently used one at the front.
    std::list<peer_channel> channels_;
    control_traffic traffic_;
    uv_async_t* wakeup_ = nullptr;
    std::mutex mutex_;
    std::vector<received_message> queue_;
};

absl::StatusCode status_code(control_failure) {
    return absl::StatusCode::kUnavailable;
}
std::string_view name_of(control_failure) {
    return "cannot_listen";
}

control_channel::control_channel(std::unique_ptr<impl> made) : impl_(std::move(made)) {}
control_channel::~control_channel() = default;

absl::StatusOr<std::unique_ptr<control_channel>>
control_channel::listen(uv_loop_s* loop, const endpoint& listen_address, instance_id self,
                        message_handler on_message, bad_message_handler on_bad_message) {
    auto made = std::make_unique<impl>(loop, std::move(self), std::move(on_message),
                                       std::move(on_bad_message));
    const auto opened = made->open(listen_address);
    if (!opened.ok()) {
        return opened;
    }
    return std::unique_ptr<control_channel>(new control_channel(std::move(made)));
}

void control_channel::send(const endpoint& to, const control_message& message) {
    impl_->send(to, message);
}
control_traffic control_channel::traffic() const {
    return impl_->traffic();
}

} // namespace trefoil
