"""Check that messages survive the trip through CBOR."""

import pytest

from hibiscusslip import codec
from hibiscusslip.records import zone


def test_decode_returns_what_was_encoded():
    claim = zone.Claim('r1', 'a', 'i1', [zone.ClaimEntry(1, 2, 3)])
    assert codec.decode(codec.encode(claim), zone.ZoneRecord) == claim


@pytest.mark.parametrize('data', [b'', b'\xff', b'\x01', b'\xa1\x61t\x01'])
def test_decode_refuses_other_bytes(data):
    with pytest.raises(codec.CodecError):
        codec.decode(data, zone.ZoneRecord)
