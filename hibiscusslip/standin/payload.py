"""Define what a task on a stand-in worker does.

The payload of a task is a JSON object, or any other text to echo; its
answer follows from the task's id and the payload, so that a caller can check
that it got its own answer.
"""

import hashlib
import typing

import msgspec

DEFAULT_ANSWER_BYTES = 64
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class Payload(msgspec.Struct, frozen=True, omit_defaults=True):
    """Say how long a task runs, how it ends and what it answers.

    Times are in seconds. `request` names what the caller asked for: a task
    that isn't `repeatable` may start once per request and task number.
    `use` is the share of its demand that the task uses in truth. `stop_s` is
    how long the task takes to end when it is told to stop.
    """

    run_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.1
    answer_bytes: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_ANSWER_BYTES)
    ] = DEFAULT_ANSWER_BYTES
    fail: bool = False
    never_ends: bool = False
    echo: str = ''
    request: str = ''
    repeatable: bool = True
    use: typing.Annotated[float, msgspec.Meta(ge=0)] = 1.0
    stop_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


OBJECT_START = b'{'
BROKEN = Payload(run_s=0.0, fail=True)


def encode(payload: Payload) -> bytes:
    """Return the bytes that a job carries to its tasks."""
    return msgspec.json.encode(payload)


def decode(data: bytes) -> Payload:
    """Return the payload in `data`; a broken one fails at once.

    Anything but an object is taken as the echo of a task with defaults.
    """
    if not data.startswith(OBJECT_START):
        return Payload(echo=data.decode('utf-8', 'replace'))
    try:
        return msgspec.json.decode(data, type=Payload)
    except (msgspec.DecodeError, ValueError):
        return BROKEN


def expected_answer(
    task: str, echo: str = '', size: int = DEFAULT_ANSWER_BYTES
) -> bytes:
    """Return the `size` bytes that the task answers with."""
    text = hashlib.sha256(f'{task}\n{echo}'.encode()).hexdigest().encode()
    return (text * (size // len(text) + 1))[:size]
