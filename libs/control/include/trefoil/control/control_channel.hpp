// Exchange of control messages between nodes over gRPC.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/wire/control_message.hpp>

struct uv_loop_s;

namespace trefoil {

/// Errors of the control channel.
enum class control_failure { cannot_listen };

absl::StatusCode status_code(control_failure failure);
std::string_view name_of(control_failure failure);

/// Cumulative counters of the control traffic. The sizes are those of the protobuf encoding,
/// without the overhead of gRPC and TCP.
struct control_traffic {
    std::uint64_t messages_sent = 0;
    /// Size of the envelopes sent.
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    /// Size of the messages in the envelopes received, without the sender field.
    std::uint64_t bytes_received = 0;

    friend bool operator==(const control_traffic&, const control_traffic&) = default;
};

/// Sends and receives control messages. gRPC's threads only queue received messages; the handlers
/// run on the thread of the loop.
class control_channel {
public:
    /// Called for each decoded message with the instance that sent it.
    using message_handler = std::function<void(const instance_id& from, control_message message)>;
    /// Called for a received message that cannot be decoded.
    using bad_message_handler = std::function<void(const absl::Status&)>;

    /// Starts listening on the address. `self` is the sender named in outgoing messages. Fails with
    /// control_failure::cannot_listen.
    static absl::StatusOr<std::unique_ptr<control_channel>>
    listen(uv_loop_s* loop, const endpoint& listen_address, instance_id self,
           message_handler on_message, bad_message_handler on_bad_message);
    ~control_channel();
    control_channel(const control_channel&) = delete;
    control_channel& operator=(const control_channel&) = delete;

    /// Sends a message. Its delivery is not confirmed, and its loss is not reported.
    void send(const endpoint& to, const control_message& message);

    control_traffic traffic() const;

private:
    class impl;
    explicit control_channel(std::unique_ptr<impl> made);
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
