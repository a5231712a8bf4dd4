"""Check that no append is larger than the store takes."""

import curio

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import writer
from tests.host import fakes


def test_groups_keep_order_and_size():
    batch = [b'a' * 4, b'b' * 4, b'c' * 9, b'd' * 2]
    groups = writer.grouped(batch, 8)
    assert groups == [batch[:2], batch[2:3], batch[3:]]


def test_many_dropped_records_go_out_in_several_appends():
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    ctx.ownership.won(1, 0.0)
    engine = engines.Engine(5.0, ctx.log.note)
    sizes = []

    async def scenario():
        out = writer.Writer(ctx, engine, 1, lambda starts: curio.sleep(0))
        names = [f'{number:0200}' for number in range(8000)]
        await out.forget(names)
        store.script = [note] * 10
        running = await curio.spawn(out.run, daemon=True)
        await curio.sleep(0.2)
        await running.cancel()
        assert store.keys() == names

    async def note(store, topic, records):
        sizes.append(sum(map(len, records)))

    curio.run(scenario)
    assert len(sizes) > 1
    assert max(sizes) <= writer.MOST_APPEND_BYTES
