"""Check that an unreadable partition only delays a recovery."""

import curio
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import records
from hibiscusslip.host import cancellations
from hibiscusslip.host import recovery
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.dispatch import support
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
        submits = submissions.Submissions(ctx)
        cancels = cancellations.Cancellations(ctx)
        curio.run(recovery.recover, ctx, engine, reader, submits, cancels)


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
            submits = submissions.Submissions(ctx)
            cancels = cancellations.Cancellations(ctx)
            engine = engines.Engine(5.9)
            await recovery.recover(ctx, engine, reader, submits, cancels)

    async def attempt_twice():
        await attempt()
        await attempt()

    curio.run(attempt_twice)
    assert sorted(fake_store.reads) == [0, 1, 1]


@pytest.mark.parametrize('configured', [True, False])
def test_new_owner_classifies_jobs_as_the_former_one_did(configured):
    """It reads partition by partition, the former read all side by side.

    One that has no configuration yet classified none, for good.
    """
    body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
    queue = support.queue('q')
    organisations = {'a': model.Organisation('a', 2.0)}
    config = model.Configuration(1, {'q': queue}, {}, 0, organisations)
    accepted = {f'{n:016x}': 1000.0 + n * 0.4 for n in range(40)}
    values = {
        job_id: records.encode_submission(
            records.Submission('q', support.SERVICE, time, body, 'a')
        )
        for job_id, time in accepted.items()
    }

    class InboxStore:
        async def newest(self, topic, timeout, part=0):
            keys = list(values)[part::12] if topic == topics.INBOX else []
            offsets = {key: offset for offset, key in enumerate(keys)}
            found = {key: values[key] for key in keys}
            return store.NewestValues(found, offsets, len(keys))

    ctx = fakes.make_context(InboxStore())
    former, new = engines.Engine(5.9), engines.Engine(5.9)
    former.config = config
    new.config = config if configured else None
    for job_id, value in values.items():
        submissions.Submissions(ctx).apply(
            former, job_id, value, 0.0, accepted[job_id] + 0.1
        )
    reader = recovery.PartitionReader(ctx)
    submits = submissions.Submissions(ctx)
    cancels = cancellations.Cancellations(ctx)
    curio.run(recovery.recover, ctx, new, reader, submits, cancels)
    new.configure(config, policies.Policy())
    classified = {i: job.within_entitlement for i, job in new.jobs.items()}
    assert len(classified) == 40
    assert set(classified.values()) == {True, False}
    assert classified == {
        i: job.within_entitlement for i, job in former.jobs.items()
    }
