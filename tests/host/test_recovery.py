"""Check that an unreadable partition only delays a recovery."""

import curio
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import recovery
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.host import fakes


class Store:
    """Answer after a while; fail reads of one partition at once."""

    def __init__(self, failing_part):
        self._failing_part = failing_part

    async def newest(self, topic, timeout, part=0):
        if part == self._failing_part:
            raise exceptions.StoreOutcomeUnknown('reset')
        await curio.sleep(0.05)
        return store.NewestValues({}, {}, 0)


@pytest.mark.parametrize('failing_part', [0, 1])
def test_read_error_of_a_partition_is_raised_as_it_is(failing_part):
    """The owner retries; a cancellation in its place would end the host."""
    ctx = fakes.make_context(Store(failing_part))
    engine = engines.Engine(5.9)
    with pytest.raises(exceptions.StoreOutcomeUnknown):
        curio.run(recovery.recover, ctx, engine)
