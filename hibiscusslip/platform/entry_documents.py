"""Decode the entries in the platform's list of endpoints.

Any writer can leave an entry there. One that can't be used for an endpoint is
refused here, by its first odd field, so that it costs nothing but itself.
"""

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.http import addresses
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import fields
from hibiscusslip.platform import settings

MAX_TEXT_CHARS = 255
MAX_LABELS = 100
# Of an endpoint that writes an entry a second it is reached in 68 years. With
# a higher one all later entries would count as older.
MAX_SEQ = 2**31


class _Entry(fields.Document):
    service: str
    addr: str
    zone: str
    state: str
    capacity: fields.Resources
    labels: list[str] = []
    seq: int = 0
    clock_ms: float | None = None
    born: int = msgspec.field(name='born', default=0)


def read_endpoint_entry(name: str, value: bytes) -> model.EndpointEntry:
    """Return an endpoint's entry in the list of endpoints.

    Raises EntryInvalid if it can't be read, or if one of its fields means that
    the endpoint can't be used.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise exceptions.EntryInvalid(f"it can't be read: {exc}") from exc
    _check_texts(name, entry)
    _check_numbers(entry)
    if entry.state not in ('ready', 'draining'):
        raise exceptions.EntryInvalid('its state is unknown')
    return model.EndpointEntry(
        name=name,
        service=entry.service,
        address=entry.addr,
        zone=entry.zone,
        labels=tuple(entry.labels),
        capacity=entry.capacity.demand(),
        draining=entry.state == 'draining',
        seq=entry.seq,
        born=entry.born / settings.MS_PER_S,
        clock=_to_seconds(entry.clock_ms),
    )


def _check_texts(name: str, entry: _Entry) -> None:
    """Raise EntryInvalid for a text that can't be sent, or is too long."""
    if not _is_sendable(name):
        raise exceptions.EntryInvalid("its name can't be sent in a header")
    if not addresses.is_address(entry.addr):
        raise exceptions.EntryInvalid('its address is no IP address and port')
    if len(entry.labels) > MAX_LABELS:
        raise exceptions.EntryInvalid('it has too many labels')
    texts = (entry.service, entry.zone, *entry.labels)
    if any(len(text) > MAX_TEXT_CHARS for text in texts):
        raise exceptions.EntryInvalid('its service, zone or label is too long')


def _check_numbers(entry: _Entry) -> None:
    """Raise EntryInvalid for a number that can't be computed with."""
    if min(entry.capacity.amounts()) < 0:
        raise exceptions.EntryInvalid('its capacity is negative')
    if not fields.are_plausible(entry.capacity.amounts()):
        raise exceptions.EntryInvalid('its capacity is too large')
    if not 0 <= entry.born <= fields.MAX_NUMBER:
        raise exceptions.EntryInvalid('its start is out of range')
    if not -MAX_SEQ <= entry.seq <= MAX_SEQ:
        raise exceptions.EntryInvalid('its sequence number is out of range')
    if not fields.are_plausible([entry.clock_ms or 0.0]):
        raise exceptions.EntryInvalid('its clock is out of range')


def _is_sendable(name: str) -> bool:
    """Return True if a name can be the value of a header."""
    return (
        bool(name)
        and name.isascii()
        and name.isprintable()
        and name.strip() == name
    )


def _to_seconds(clock_ms: float | None) -> float | None:
    return None if clock_ms is None else clock_ms / settings.MS_PER_S
