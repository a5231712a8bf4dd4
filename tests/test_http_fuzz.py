"""Fuzz the server with split and corrupted input."""

import hypothesis
from hypothesis import strategies

from tests.faults import serving

# `derandomize` seeds the examples with the source of each test: a change of a
# test or of its name changes the examples that it runs.
STEADY = hypothesis.settings(
    deadline=None, derandomize=True, max_examples=40, database=None
)
BODY = strategies.binary(max_size=300)


def request(body, last):
    """Return the bytes of one request; `last` asks to close after it."""
    end = b'connection: close\r\n' if last else b''
    head = b'POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n' % len(body)
    return head + end + b'\r\n' + body


def split(raw, cuts):
    """Return `raw` split at the offsets `cuts`, modulo its length."""
    offsets = sorted({0, len(raw), *(cut % (len(raw) + 1) for cut in cuts)})
    return [raw[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


@STEADY
@hypothesis.given(
    strategies.lists(BODY, min_size=1, max_size=4),
    strategies.lists(strategies.integers(0, 10**6), max_size=6),
)
def test_requests_arrive_whole_however_they_are_split(bodies, cuts):
    async def work():
        handler = serving.Echo()
        raw = b''.join(request(body, False) for body in bodies[:-1])
        raw += request(bodies[-1], True)
        async with serving.run_server(handler) as (_, port):
            answer = await serving.send(port, *split(raw, cuts))
        assert [req.body for req in handler.requests] == bodies
        assert answer.count(b'HTTP/1.1 200') == len(bodies)

    serving.run(work)


@STEADY
@hypothesis.given(
    BODY,
    strategies.integers(0, 10**6),
    strategies.binary(min_size=1, max_size=8),
)
def test_broken_input_leaves_the_server_well(body, at, noise):
    async def work():
        handler = serving.Echo()
        raw = request(body, True)
        at_byte = at % len(raw)
        broken = raw[:at_byte] + noise + raw[at_byte + len(noise) :]
        async with serving.run_server(handler) as (_, port):
            answer = await serving.send(port, broken)
            assert answer.startswith(b'HTTP/1.1 ')
            before = len(handler.requests)
            good = await serving.send(port, request(b'good', True))
            assert good.startswith(b'HTTP/1.1 200')
            assert handler.requests[before].body == b'good'

    serving.run(work)
