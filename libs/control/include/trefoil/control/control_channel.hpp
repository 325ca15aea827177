// Control messages between nodes over gRPC.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/wire/control_message.hpp>

struct uv_loop_s;

namespace trefoil {

/// Failures of the control channel.
enum class control_failure { cannot_listen };

absl::StatusCode status_code(control_failure failure);
std::string_view name_of(control_failure failure);

/// Bytes and messages so far, as protobuf envelopes without gRPC's and TCP's own.
struct control_traffic {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;

    friend bool operator==(const control_traffic&, const control_traffic&) = default;
};

/// Sends and receives control messages. gRPC's threads only queue: the handler runs on the loop.
class control_channel {
public:
    using message_handler = std::function<void(const instance_id& from, control_message message)>;
    /// A message that is none of this protocol came in.
    using bad_message_handler = std::function<void(const absl::Status&)>;

    /// Fails with control_failure::cannot_listen.
    static absl::StatusOr<std::unique_ptr<control_channel>>
    listen(uv_loop_s* loop, const endpoint& where, instance_id self, message_handler on_message,
           bad_message_handler on_bad_message);
    ~control_channel();
    control_channel(const control_channel&) = delete;
    control_channel& operator=(const control_channel&) = delete;

    /// Sends a message; it may be lost without notice.
    void send(const endpoint& to, const control_message& message);

    control_traffic traffic() const;

private:
    class impl;
    explicit control_channel(std::unique_ptr<impl> made);
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
