"""Define the payload that controls a task on a stand-in worker.

The payload of a task is a JSON object, or any other text to echo. The answer
is a function of the task's id and the payload, so that a caller can verify
that it received the answer to its own request.
"""

import hashlib
import typing

import msgspec

DEFAULT_ANSWER_BYTES = 64
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class Payload(msgspec.Struct, frozen=True, omit_defaults=True):
    """Control how long a task runs, how it ends and what it answers.

    Times are in seconds. `request` identifies the caller's request: a task
    that isn't `repeatable` may start once per request and task number.
    `use` is the actual usage of the task as a share of its demand. `stop_s`
    is the time that the task needs to end when it is stopped.
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
INVALID_PAYLOAD = Payload(run_s=0.0, fail=True)


def encode(payload: Payload) -> bytes:
    """Return the encoded payload for a job document."""
    return msgspec.json.encode(payload)


def decode(data: bytes) -> Payload:
    """Return the payload in `data`, one that fails at once if invalid.

    Data that isn't a JSON object becomes the echo of a default payload.
    """
    if not data.startswith(OBJECT_START):
        return Payload(echo=data.decode('utf-8', 'replace'))
    try:
        return msgspec.json.decode(data, type=Payload)
    except (msgspec.DecodeError, ValueError):
        return INVALID_PAYLOAD


def expected_answer(
    task: str, echo: str = '', size: int = DEFAULT_ANSWER_BYTES
) -> bytes:
    """Return the answer that a task gives, `size` bytes long."""
    text = hashlib.sha256(f'{task}\n{echo}'.encode()).hexdigest().encode()
    return (text * (size // len(text) + 1))[:size]
