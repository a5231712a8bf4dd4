"""Set socket options and read what a socket holds."""

import socket
import struct
import typing

from curio import socket as curio_socket

MS_PER_S = 1000
DISCARD_UNSENT = struct.pack('ii', 1, 0)


def set_options(sock: typing.Any, user_timeout: float) -> None:
    """Send small writes at once and give unacknowledged data a limit."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    timeout_ms = int(user_timeout * MS_PER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def family_of(address: str) -> socket.AddressFamily:
    """Return the address family of an IP number."""
    return socket.AF_INET6 if ':' in address else socket.AF_INET


def listen(address: str, port: int, backlog: int) -> typing.Any:
    """Return a listening curio socket."""
    sock = curio_socket.socket(family_of(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(backlog)
    return sock


def cut(sock: typing.Any, how: int = socket.SHUT_RDWR) -> None:
    """Shut a socket down, so that the task waiting on it wakes."""
    try:
        sock._socket.shutdown(how)
    except (OSError, AttributeError):
        return


def discard_unsent(sock: typing.Any) -> None:
    """Have closing drop what the kernel hasn't sent yet."""
    try:
        sock._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT
        )
    except (OSError, AttributeError):
        return


def quiet(sock: typing.Any) -> bool:
    """Tell whether an idle socket is open and holds no data."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False
