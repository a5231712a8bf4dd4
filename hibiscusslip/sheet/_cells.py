"""Parse the values of single cells."""

import collections.abc
import math
import re
import typing

from hibiscusslip.model import work

MAX_NAME_CHARS = 64
MAX_PAYLOAD_CHARS = 4096
MAX_AMOUNT = 10**9
MILLI_PER_CORE = 1000
MB_PER_GB = 1024

_NAME = re.compile(r'\w[\w.-]*')
_NUMBER = re.compile(r'[+-]?\d+([.,]\d+)?')
_GROUPED = re.compile(r'[+-]?[1-9]\d{0,2}([.,])\d{3}')

Parser = collections.abc.Callable[[str], typing.Any]


class CellError(ValueError):
    """Raise for an invalid cell; names the problem and the remedy."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


def parse_name(text: str) -> str:
    """Return a name of letters, digits, dots, dashes and underscores."""
    if len(text) > MAX_NAME_CHARS or not _NAME.fullmatch(text):
        raise CellError(
            f'{text[:MAX_NAME_CHARS]!r} is not a name',
            f'use up to {MAX_NAME_CHARS} letters, digits, dots, dashes and'
            ' underscores',
        )
    return text


def parse_payload(text: str) -> str:
    """Return the text that is passed to each task."""
    if len(text) > MAX_PAYLOAD_CHARS:
        raise CellError(
            f'the payload has {len(text)} characters',
            f'shorten it to {MAX_PAYLOAD_CHARS}',
        )
    return text


def parse_number(text: str, thousands_separator: str) -> float:
    """Return a decimal number written with a point or a comma.

    A number that is ambiguous, as its point or comma may be the sheet's
    `thousands_separator`, is rejected.
    """
    if not _NUMBER.fullmatch(text):
        raise CellError(
            f'{text!r} is not a number',
            'write digits with at most one decimal point or comma, no unit'
            ' and no thousands mark',
        )
    grouped = _GROUPED.fullmatch(text)
    if grouped and grouped[1] == thousands_separator:
        plain = text.replace(thousands_separator, '')
        raise CellError(
            f'{text!r} may mean {plain} or a fraction',
            f'write {plain} without the mark, or the fraction with one'
            ' more digit',
        )
    value = float(text.replace(',', '.'))
    if not math.isfinite(value) or abs(value) > MAX_AMOUNT:
        raise CellError(f'{text!r} is too large', f'stay below {MAX_AMOUNT}')
    return value


def parse_boolean(text: str) -> bool:
    """Return True for yes, False for no."""
    lowered = text.lower()
    if lowered in ('yes', 'true', '1'):
        return True
    if lowered in ('no', 'false', '0'):
        return False
    raise CellError(f'{text!r} is neither yes nor no', 'write yes or no')


def parse_form(text: str) -> work.Form:
    """Return the form of a workload: service, batch or gang."""
    try:
        return work.Form(text.lower())
    except ValueError:
        raise CellError(
            f'{text!r} is not a form of work',
            'write service, batch or gang',
        ) from None


def parse_urgency(text: str) -> work.Urgency:
    """Return the urgency of the given name."""
    try:
        return work.Urgency[text.upper()]
    except KeyError:
        raise CellError(
            f'{text!r} is not an urgency',
            'write urgent, high, normal or low',
        ) from None


class NumberParser:
    """Parse the numbers of a sheet, given its thousands separator."""

    def __init__(self, thousands_separator: str) -> None:
        self._thousands_separator = thousands_separator

    def parse_fraction(self, text: str) -> float:
        """Return a share of the fleet, given as `0.3` or `30%`."""
        percent = text.endswith('%')
        plain = text[:-1].strip() if percent else text
        value = parse_number(plain, self._thousands_separator)
        value = value / 100 if percent else value
        if not 0 <= value <= 1:
            raise CellError(
                f'{text!r} is not a share of the fleet',
                'write a number from 0 to 1, or from 0% to 100%',
            )
        return value

    def parse_integer(self, text: str) -> int:
        """Return a whole number of at least 0."""
        value = parse_number(text, self._thousands_separator)
        if value < 0 or not value.is_integer():
            raise CellError(
                f'{text!r} is not a whole number of at least 0',
                'write digits only',
            )
        return int(value)

    def parse_count(self, text: str) -> int:
        """Return a whole number of at least 1."""
        value = self.parse_integer(text)
        if value < 1:
            raise CellError(f'{text!r} is below 1', 'write at least 1')
        return value

    def parse_positive(self, text: str) -> float:
        """Return a number above 0."""
        value = parse_number(text, self._thousands_separator)
        if value <= 0:
            raise CellError(f'{text!r} is not above 0', 'write more than 0')
        return value

    def parse_optional_positive(self, text: str) -> float | None:
        """Return a number above 0, or None for a blank cell."""
        return self.parse_positive(text) if text else None

    def parse_cores(self, text: str) -> int:
        """Return a number of cores in thousandths, at least 1."""
        return self._parse_scaled(text, MILLI_PER_CORE)

    def parse_memory(self, text: str) -> int:
        """Return a number of GiB in MiB, at least 1."""
        return self._parse_scaled(text, MB_PER_GB)

    def _parse_scaled(self, text: str, scale: int) -> int:
        scaled = round(self.parse_positive(text) * scale)
        if scaled < 1:
            raise CellError(
                f'{text!r} is too small', f'write at least {1 / scale:g}'
            )
        return scaled
