"""Provide socket options and the state of sockets."""

import socket
import struct
import typing

from curio import socket as curio_socket

MS_PER_S = 1000
LINGER_ZERO = struct.pack('ii', 1, 0)


def set_options(sock: typing.Any, user_timeout_s: float) -> None:
    """Set TCP_NODELAY, so that small writes are sent at once, and a timeout.

    See `set_user_timeout` for the timeout.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_user_timeout(sock, user_timeout_s)


def set_user_timeout(sock: typing.Any, user_timeout_s: float) -> None:
    """Set TCP_USER_TIMEOUT.

    The kernel closes a connection whose data stays unacknowledged for
    `user_timeout_s` seconds.
    """
    timeout_ms = int(user_timeout_s * MS_PER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def family_of(address: str) -> socket.AddressFamily:
    """Return the address family of an IP address."""
    return socket.AF_INET6 if ':' in address else socket.AF_INET


def listen(
    address: str, port: int, backlog: int, receive_buffer: int
) -> typing.Any:
    """Return a listening curio socket; raises OSError.

    The kernel keeps `receive_buffer` bytes for each connection that weren't
    read yet.
    """
    sock = curio_socket.socket(family_of(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind((address, port))
    sock.listen(backlog)
    return sock


def shut_down(sock: typing.Any, how: int = socket.SHUT_RDWR) -> None:
    """Shut a socket down; a task that waits on it wakes.

    A socket that is closed or disconnected already is ignored.
    """
    try:
        sock._socket.shutdown(how)
    except (OSError, AttributeError):
        return


def receive_now(sock: typing.Any, size: int) -> bytes | None:
    """Return up to `size` bytes, None if there are none yet.

    Raises OSError.
    """
    try:
        data: bytes = sock._socket.recv(size)
    except (BlockingIOError, InterruptedError):
        return None
    return data


def reset_on_close(sock: typing.Any) -> None:
    """Make close() reset the connection and discard its unsent data."""
    try:
        sock._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
        )
    except (OSError, AttributeError):
        return


def is_idle(sock: typing.Any) -> bool:
    """Return whether a socket is open and has no data to read."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False
