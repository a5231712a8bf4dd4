"""Check that no append is larger than the store takes."""

import curio

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from tests.host import fakes


def test_groups_keep_order_and_size():
    batch = [b'a' * 4, b'b' * 4, b'c' * 9, b'd' * 2]
    groups = writer.split_batch(batch, 8)
    assert groups == [batch[:2], batch[2:3], batch[3:]]


def test_many_dropped_records_go_out_in_several_appends():
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, 0.0)
    engine = engines.Engine(5.0, ctx.log.note)
    sizes = []

    async def scenario():
        out = writer.Writer(ctx, engine, 1, lambda starts: curio.sleep(0))
        names = [f'{number:0200}' for number in range(8000)]
        await out.delete_jobs(names)
        store.script = [note] * 10
        running = await curio.spawn(out.run, daemon=True)
        await curio.sleep(0.2)
        await running.cancel()
        assert store.keys() == names

    async def note(store, topic, records):
        sizes.append(sum(map(len, records)))

    curio.run(scenario)
    assert len(sizes) > 1
    assert max(sizes) <= writer.MAX_APPEND_BYTES


def writer_of(store):
    """Return a writer whose ownership holds, and what it released."""
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, 0.0)
    engine = engines.Engine(5.0, ctx.log.note)
    return writer.Writer(ctx, engine, 1, lambda starts: curio.sleep(0))


class Partitions(fakes.FakeStore):
    """Note partition and sequence number of each append."""

    def __init__(self):
        super().__init__()
        self.seen = []

    async def append(self, topic, records, timeout, **options):
        producer = options['producer']
        self.seen.append((options['part'], producer[2], list(records)))
        return await super().append(topic, records, timeout)


async def unsettled(store, topic, records):
    raise exceptions.StoreUnsettled('no answer')


async def refused(store, topic, records):
    raise exceptions.StoreUnavailable('503')


def delete_jobs(store, *names):
    """Have a writer drop each name in an append of its own."""

    async def scenario():
        out = writer_of(store)
        running = await curio.spawn(out.run, daemon=True)
        for name in names:
            await out.delete_jobs([name])
            await curio.sleep(0.15)
        await running.cancel()

    curio.run(scenario)
    return [(part, number, len(batch)) for part, number, batch in store.seen]


def test_partition_that_refuses_is_left_for_the_other():
    store = Partitions()
    store.script = [refused]
    assert delete_jobs(store, 'j1', 'j2') == [(0, 0, 1), (1, 0, 1), (1, 1, 1)]


def test_number_of_an_unsettled_append_is_never_given_to_another():
    store = Partitions()
    store.script = [unsettled, None, refused]
    delete_jobs(store, 'j1', 'j2')
    first, second = [store.seen[0][2], store.seen[2][2]]
    assert store.seen == [
        (0, 0, first),  # no answer: it may be carried out late
        (1, 0, first),
        (1, 1, second),  # refused: back to the first partition
        (0, 0, first),
        (0, 1, second),
        (1, 1, second),  # a drop goes to all partitions that were used
    ]


def test_all_partitions_are_fenced():
    store = Partitions()
    curio.run(writer_of(store).fence)
    assert [(part, batch) for part, _, batch in store.seen] == [
        (0, []),
        (1, []),
    ]
