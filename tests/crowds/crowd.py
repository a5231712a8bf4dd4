"""Provide crowds of clients that don't behave."""

import contextlib
import selectors
import socket
import time

STALL_S = 3.0  # a crowd that gets no further for so long has done its worst
MAX_SEND_S = 60.0
CONNECT_TIMEOUT_S = 10.0
RECEIVE_BUFFER_BYTES = 4096


class Client:
    """Represent a client that sends `data` and reads no answer."""

    def __init__(self, address, data):
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.settimeout(CONNECT_TIMEOUT_S)
        self._left = memoryview(data)
        self.closed = False
        try:
            self.sock.connect(address)
            self.sock.setblocking(False)
        except OSError:
            self.close()

    @property
    def done(self):
        """Return True if there is nothing left to send."""
        return self.closed or not self._left

    def send(self):
        """Send as much as the connection takes; return how much."""
        try:
            sent = self.sock.send(self._left[: 256 * 1024])
        except BlockingIOError:
            return 0
        except OSError:
            self.close()
            return 1
        self._left = self._left[sent:]
        return sent

    def close(self):
        """Close the connection."""
        self.closed = True
        self.sock.close()


@contextlib.contextmanager
def present(address, count, data):
    """Yield once `count` clients have sent what they can; they stay on."""
    clients = [Client(address, data) for _ in range(count)]
    try:
        _send_all(clients)
        yield clients
    finally:
        for client in clients:
            client.close()


def _send_all(clients):
    give_up_at = time.monotonic() + MAX_SEND_S
    last_sent_at = time.monotonic()
    with selectors.DefaultSelector() as selector:
        waiting = 0
        for client in clients:
            if not client.done:
                selector.register(client.sock, selectors.EVENT_WRITE, client)
                waiting += 1
        while waiting and time.monotonic() < give_up_at:
            for key, _ in selector.select(STALL_S):
                client = key.data
                if client.send():
                    last_sent_at = time.monotonic()
                if client.done:
                    selector.unregister(key.fileobj)
                    waiting -= 1
            if time.monotonic() > last_sent_at + STALL_S:
                return
