"""Read an endpoint's events from a streamed response."""

from hibiscusslip.endpoint import exceptions
from hibiscusslip.endpoint import wire
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import stream


class EventReader:
    """Read batches of events over one response that stays open.

    The stream is reopened after a failure and when the position or the wait
    differs from that of the open stream.
    """

    def __init__(
        self,
        address: str,
        port: int,
        timeout: float,
        bounds: limits.Limits,
    ) -> None:
        self._address = address
        self._port = port
        self._timeout = timeout
        self._limits = bounds
        self._stream: stream.LineStream | None = None
        self._position = 0
        self._wait = 0.0

    async def read(self, after: int, wait: float) -> wire.RunsReply:
        """Return the events after number `after`.

        The batch is empty when none arrive within `wait` seconds. Raises
        NotSent or CallUnsettled.
        """
        try:
            return await self._read(after, wait)
        except http_exceptions.NotSent as exc:
            raise exceptions.NotSent(str(exc)) from exc
        except http_exceptions.HttpError as exc:
            raise exceptions.CallUnsettled(str(exc)) from exc

    async def close(self) -> None:
        """Close the stream."""
        opened, self._stream = self._stream, None
        if opened is not None:
            await opened.close()

    async def _read(self, after: int, wait: float) -> wire.RunsReply:
        try:
            opened = await self._open(after, wait)
            line = b''
            while not line:
                line = await opened.next_line(self._timeout + wait)
            batch = wire.decode(line, wire.RunsReply)
        except BaseException:
            await self.close()
            raise
        self._position = batch.next_event
        return batch

    async def _open(self, after: int, wait: float) -> stream.LineStream:
        in_order = after == self._position and wait == self._wait
        if self._stream is not None and in_order:
            return self._stream
        await self.close()
        path = f'{wire.EVENT_STREAM_PATH}?after={after}&wait={wait:g}'
        self._stream = await stream.open_stream(
            self._address, self._port, path, self._timeout, self._limits
        )
        self._position, self._wait = after, wait
        return self._stream
