"""Check that an unreadable partition only delays a recovery."""

import curio
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import cancellations
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
        reader = recovery.PartitionReader(ctx)
        cancels = cancellations.Cancellations(ctx)
        curio.run(recovery.recover, ctx, engine, reader, cancels)


def test_partition_that_was_read_isnt_read_again_when_another_fails():
    class RecordingStore(Store):
        def __init__(self):
            super().__init__(failing_part=1)
            self.reads = []

        async def newest(self, topic, timeout, part=0):
            self.reads.append(part)
            return await super().newest(topic, timeout, part)

    fake_store = RecordingStore()
    ctx = fakes.make_context(fake_store)
    reader = recovery.PartitionReader(ctx)

    async def attempt():
        with pytest.raises(exceptions.StoreOutcomeUnknown):
            cancels = cancellations.Cancellations(ctx)
            engine = engines.Engine(5.9)
            await recovery.recover(ctx, engine, reader, cancels)

    async def attempt_twice():
        await attempt()
        await attempt()

    curio.run(attempt_twice)
    assert sorted(fake_store.reads) == [0, 1, 1]
