"""Read single cells: names, numbers, yes and no."""

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

Reader = collections.abc.Callable[[str], typing.Any]


class CellError(ValueError):
    """Raise for a cell that can't be used; names the remedy."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


def name(text: str) -> str:
    """Return a name of letters, digits, dots, dashes and underscores."""
    if len(text) > MAX_NAME_CHARS or not _NAME.fullmatch(text):
        raise CellError(
            f'{text[:MAX_NAME_CHARS]!r} is not a name',
            f'use up to {MAX_NAME_CHARS} letters, digits, dots, dashes and'
            ' underscores',
        )
    return text


def payload(text: str) -> str:
    """Return the text that goes to each task."""
    if len(text) > MAX_PAYLOAD_CHARS:
        raise CellError(
            f'the payload has {len(text)} characters',
            f'shorten it to {MAX_PAYLOAD_CHARS}',
        )
    return text


def number(text: str, grouping: str) -> float:
    """Return a decimal number written with a point or a comma.

    `grouping` is the mark that may stand between thousands in this
    sheet; a number that could be read in both ways is refused.
    """
    if not _NUMBER.fullmatch(text):
        raise CellError(
            f'{text!r} is not a number',
            'write digits with at most one decimal point or comma, no unit'
            ' and no thousands mark',
        )
    grouped = _GROUPED.fullmatch(text)
    if grouped and grouped[1] == grouping:
        plain = text.replace(grouping, '')
        raise CellError(
            f'{text!r} may mean {plain} or a fraction',
            f'write {plain} without the mark, or the fraction with one more'
            ' digit',
        )
    value = float(text.replace(',', '.'))
    if not math.isfinite(value) or abs(value) > MAX_AMOUNT:
        raise CellError(f'{text!r} is too large', f'stay below {MAX_AMOUNT}')
    return value


def boolean(text: str) -> bool:
    """Return whether the cell says yes."""
    lowered = text.lower()
    if lowered in ('yes', 'true', '1'):
        return True
    if lowered in ('no', 'false', '0'):
        return False
    raise CellError(f'{text!r} is neither yes nor no', 'write yes or no')


def form(text: str) -> work.Form:
    """Return how the tasks of a workload relate."""
    try:
        return work.Form(text.lower())
    except ValueError:
        raise CellError(
            f'{text!r} is not a form of work',
            'write service, batch or gang',
        ) from None


def urgency(text: str) -> work.Urgency:
    """Return the urgency that a word names."""
    try:
        return work.Urgency[text.upper()]
    except KeyError:
        raise CellError(
            f'{text!r} is not an urgency',
            'write urgent, high, normal or low',
        ) from None


class Numbers:
    """Read the numbers of one sheet, which has one thousands mark."""

    def __init__(self, grouping: str) -> None:
        self._grouping = grouping

    def fraction(self, text: str) -> float:
        """Return a share of the fleet, from `0.3` or `30%`."""
        percent = text.endswith('%')
        plain = text[:-1].strip() if percent else text
        value = number(plain, self._grouping)
        value = value / 100 if percent else value
        if not 0 <= value <= 1:
            raise CellError(
                f'{text!r} is not a share of the fleet',
                'write a number from 0 to 1, or from 0% to 100%',
            )
        return value

    def whole(self, text: str) -> int:
        """Return a whole number of at least 0."""
        value = number(text, self._grouping)
        if value < 0 or not value.is_integer():
            raise CellError(
                f'{text!r} is not a whole number of at least 0',
                'write digits only',
            )
        return int(value)

    def count(self, text: str) -> int:
        """Return a whole number of at least 1."""
        value = self.whole(text)
        if value < 1:
            raise CellError(f'{text!r} is below 1', 'write at least 1')
        return value

    def positive(self, text: str) -> float:
        """Return a number above 0."""
        value = number(text, self._grouping)
        if value <= 0:
            raise CellError(f'{text!r} is not above 0', 'write more than 0')
        return value

    def optional_positive(self, text: str) -> float | None:
        """Return a number above 0, or None for a blank cell."""
        return self.positive(text) if text else None

    def cores(self, text: str) -> int:
        """Return thousandths of a core, at least 1."""
        return self._scaled(text, MILLI_PER_CORE)

    def memory(self, text: str) -> int:
        """Return MiB from a number of GiB, at least 1."""
        return self._scaled(text, MB_PER_GB)

    def _scaled(self, text: str, scale: int) -> int:
        scaled = round(self.positive(text) * scale)
        if scaled < 1:
            raise CellError(
                f'{text!r} is too small', f'write at least {1 / scale:g}'
            )
        return scaled
