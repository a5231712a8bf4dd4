"""Check that a partition which can't be read only delays a recovery."""

import curio
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import recovery
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.host import fakes


class Store:
    """Answer after a while, but for one partition that breaks off at once."""

    def __init__(self, broken):
        self._broken = broken

    async def newest(self, topic, timeout, part=0):
        if part == self._broken:
            raise exceptions.StoreUnsettled('reset')
        await curio.sleep(0.05)
        return store.Newest({}, {}, 0)


@pytest.mark.parametrize('broken', [0, 1])
def test_partition_that_breaks_off_is_told_as_such(broken):
    """Not as a cancellation, which would end the host."""
    ctx = fakes.make_context(Store(broken))
    engine = engines.Engine(5.9)
    with pytest.raises(exceptions.StoreUnsettled):
        curio.run(recovery.recover, ctx, engine)
