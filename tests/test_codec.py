"""Test that messages are encoded as CBOR and validated when decoded."""

import pytest

from hibiscusslip import codec
from hibiscusslip.records import zone


def test_decode_returns_the_encoded_message():
    claim = zone.Claim('r1', 'a', 'i1', [zone.ClaimEntry(1, 2, 3)])
    assert codec.decode(codec.encode(claim), zone.ZoneRecord) == claim


@pytest.mark.parametrize('data', [b'', b'\xff', b'\x01', b'\xa1\x61t\x01'])
def test_decode_rejects_invalid_data(data):
    with pytest.raises(codec.CodecError):
        codec.decode(data, zone.ZoneRecord)
