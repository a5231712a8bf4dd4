"""Write logs as lines for people or as JSON."""

import collections.abc
import logging
import sys
import typing

import loguru
import msgspec

LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')
HIDDEN = '[hidden]'
CURIO_TIME_LOGGER = 'curio.time'
_LINE = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {extra[host]} {message}\n'


class _Bridge(logging.Handler):
    """Pass records of the standard library's loggers on."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record with its message and exception type."""
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
    """Set up logging for the process; a later call replaces it.

    `secrets` are texts that no line may show. Raises ValueError for an
    unknown level.
    """
    if level not in LEVELS:
        raise ValueError(
            f'unknown log level {level!r}; use one of {", ".join(LEVELS)}'
        )
    out = stream or sys.stderr
    hidden = [secret for secret in secrets if secret]
    loguru.logger.remove()
    loguru.logger.configure(
        extra={'host': host}, patcher=lambda record: _clean(record, hidden)
    )
    # Diagnosis would print the values of variables, keys among them.
    loguru.logger.add(
        _JsonSink(out) if json_lines else out,
        level=level,
        format=_format,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_Bridge()], level='WARNING', force=True)
    # It warns of every timeout that an event has just outrun.
    logging.getLogger(CURIO_TIME_LOGGER).setLevel('ERROR')


def _clean(record: typing.Any, hidden: list[str]) -> None:
    text = record['message']
    for secret in hidden:
        text = text.replace(secret, HIDDEN)
    # One record is one line, whatever a caller's text holds.
    record['message'] = text.replace('\r', '\\r').replace('\n', '\\n')


def _format(record: typing.Any) -> str:
    exc = record['exception']
    if exc is None:
        return _LINE
    # Only the type: the text or the traceback may quote what is secret.
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
        """Do nothing, as each record is flushed when written."""
