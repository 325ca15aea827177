// Options and state of the socket of a TCP connection.
#pragma once

#include <chrono>

namespace trefoil::http1 {

/// Ends the connection when its peer is unreachable: if data is unacknowledged for the time of
/// set_user_timeout(), or if probes of an idle connection are not answered.
void enable_dead_peer_detection(int socket);

/// Sets the TCP user timeout (RFC 5482): data that is unacknowledged for this long ends the
/// connection.
void set_user_timeout(int socket, std::chrono::milliseconds timeout);

/// Makes the system probe a closed receive window at least this often. Does nothing before Linux
/// 6.15, where the time between two probes doubles up to the TCP user timeout.
void set_max_probe_interval(int socket, std::chrono::milliseconds interval);

/// Sends the end of the stream behind what the socket has accepted. Nothing more can be written.
void shut_down_sending(int socket);

/// Makes the close of the socket a TCP reset.
void set_reset_on_close(int socket);

/// True if the peer has closed or reset the connection, but only once its last bytes have been
/// received.
bool has_peer_ended(int socket);

/// Returns the error of a socket's connection and clears it; zero if there is none.
int take_error(int socket);

} // namespace trefoil::http1
