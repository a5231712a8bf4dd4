"""Write the logs of a process as plain text or as JSON lines."""

import collections.abc
import logging
import sys
import typing

import loguru
import msgspec

LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')
MASK = '[hidden]'
CURIO_TIME_LOGGER = 'curio.time'
_LINE = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {extra[host]} {message}\n'


class _LoguruHandler(logging.Handler):
    """Forward records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record with its message and its exception."""
        text = f'{record.name}: {record.getMessage()}'
        if record.exc_info and record.exc_info[1] is not None:
            text = f'{text}: {record.exc_info[1]!r}'
        loguru.logger.log(record.levelname, '{}', text)


def configure(
    level: str = 'INFO',
    json_lines: bool = False,
    host: str = '-',
    secrets: collections.abc.Iterable[str] = (),
    stream: typing.TextIO | None = None,
) -> None:
    """Configure logging for the process, replacing any earlier set-up.

    `secrets` are strings to mask in all messages, `stream` defaults to
    standard error. Raise ValueError for an unknown level.
    """
    if level not in LEVELS:
        raise ValueError(
            f'unknown log level {level!r}; use one of {", ".join(LEVELS)}'
        )
    out = stream or sys.stderr
    masked = [secret for secret in secrets if secret]
    loguru.logger.remove()
    loguru.logger.configure(
        extra={'host': host}, patcher=lambda record: _sanitize(record, masked)
    )
    # diagnose=True would print the values of variables, such as keys.
    loguru.logger.add(
        _JsonSink(out) if json_lines else out,
        level=level,
        format=_format,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(
        handlers=[_LoguruHandler()], level='WARNING', force=True
    )
    # curio warns of every operation that completes after its timeout.
    logging.getLogger(CURIO_TIME_LOGGER).setLevel('ERROR')


def _sanitize(record: typing.Any, masked: list[str]) -> None:
    text = record['message']
    for secret in masked:
        text = text.replace(secret, MASK)
    # Escape line breaks, so that text of callers can't forge a record.
    record['message'] = text.replace('\r', '\\r').replace('\n', '\\n')


def _format(record: typing.Any) -> str:
    exc = record['exception']
    if exc is None:
        return _LINE
    # Only the type: the message or the traceback may contain secrets.
    record['extra']['error'] = exc.type.__name__
    return _LINE.replace('\n', ' ({extra[error]})\n')


class _JsonSink:
    """Write each record as one JSON object."""

    def __init__(self, out: typing.TextIO):
        self._out = out

    def write(self, message: typing.Any) -> None:
        """Write one record."""
        record = message.record
        line = dict(record['extra'])
        line['time'] = record['time'].isoformat()
        line['level'] = record['level'].name
        line['module'] = record['name']
        line['message'] = record['message']
        text = msgspec.json.encode(line, enc_hook=str).decode()
        self._out.write(f'{text}\n')
        self._out.flush()

    def flush(self) -> None:
        """Do nothing, as `write` flushes each record."""
