"""Run owners one after the other on a store in memory."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import owner
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.host import fakes

BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
JOB_ID = f'{1:016x}'
CANCELLED = model.JobState.CANCELLED
QUEUED = model.JobState.QUEUED


class LogStore:
    """Store topics in memory as the platform does.

    Appends to a topic and partition in `down` fail. `before_append` is called
    with the topic and the partition of each append before it takes effect.
    """

    def __init__(self):
        self.logs = {}
        self.down = set()
        self.epoch = 0
        self.appends = []
        self.before_append = lambda topic, part: None

    def log(self, topic, part):
        return self.logs.setdefault((topic, part), [])

    async def append(
        self, topic, records, timeout, *, part=0, at=None, producer=None
    ):
        self.before_append(topic, part)
        self.appends.append((topic, part))
        if (topic, part) in self.down:
            raise exceptions.StoreUnavailable('503')
        log = self.log(topic, part)
        if at not in (None, len(log)):
            raise exceptions.StoreConflict(len(log))
        if producer is not None:
            if producer[1] < self.epoch:
                raise exceptions.ProducerFenced('a newer epoch has written')
            self.epoch = producer[1]
        log.extend(records)
        return len(log) - len(records)

    async def read(self, topic, start, wait, timeout, part=0, began=None):
        log = self.log(topic, part)
        return store.Batch(start, log[start:], 0, len(log))

    async def newest(self, topic, timeout, part=0):
        values, offsets = {}, {}
        for offset, record in enumerate(self.log(topic, part)):
            key, value = store.decode_keyed(record)
            offsets[key] = offset
            values[key] = value
        live = {key: value for key, value in values.items() if value}
        kept = {key: offsets[key] for key in live}
        return store.NewestValues(live, kept, len(self.log(topic, part)))


class Cell:
    """Step through what an owner does; `succeed` replaces it by the next.

    The state of the former owner is lost.
    """

    def __init__(self):
        self.store = LogStore()
        self.owner = None

    async def succeed(self):
        ctx = fakes.make_context(self.store)
        epoch = 1 if self.owner is None else self.owner.epoch + 1
        ctx.ownership.record_claim(epoch, 0.0)
        self.owner = owner.Owner(ctx, None, None, epoch)
        self.owner._resume(await self.owner._recover())

    def job(self, job_id=JOB_ID):
        return self.owner.engine.jobs.get(job_id)

    def submit(self, part=0, organisation='o1', job_id=JOB_ID):
        """Write a submission as a host does; the owner hasn't read it yet."""
        submission = records.Submission('q', 's', 1.0, BODY, organisation)
        key = topics.submission_key(job_id, organisation)
        value = records.encode_submission(submission)
        self.put(part, key, value)

    def cancel(self, part=0, organisation='o1', job_id=JOB_ID):
        key = topics.cancel_key(job_id, organisation)
        self.put(part, key, topics.encode_cancel(organisation))

    def put(self, part, key, value):
        log = self.store.log(topics.INBOX, part)
        log.append(store.encode_keyed(key, value))

    def inbox_keys(self):
        """Return the keys that the next owner will read."""
        keys = set()
        for (topic, _), log in self.store.logs.items():
            if topic == topics.INBOX:
                keys |= _live_keys(log)
        return keys

    async def read(self):
        for feed in self.owner.inboxes:
            await feed.read_once(0.0)

    async def write(self):
        await self.owner._writer._write()

    async def retire(self):
        """Have the IDs of all ended jobs retired by the next `write`."""
        for job in self.owner.engine.jobs.values():
            job.final_at = -1e9
        await self.owner.intake.delete_old(self.owner._writer)

    async def delete(self):
        await self.owner.intake.delete_old(self.owner._writer)
        await self.write()

    async def end_job(self, part=0, cancel_part=1):
        """Have a job submitted and cancelled and its end written."""
        self.submit(part)
        self.cancel(cancel_part)
        await self.read()
        await self.write()
        assert self.job().durable_state is CANCELLED


def _live_keys(log):
    newest = dict(map(store.decode_keyed, log))
    return {key for key, value in newest.items() if value}


def read_by(local_owner, key, value, part=0):
    """Have an owner read a record, the next one of a partition."""
    while len(local_owner.inboxes) <= part:
        local_owner.inboxes.append(Feed())
    feed = local_owner.inboxes[part]
    position = inbox_positions.Position(part, feed.offset)
    feed.offset += 1
    local_owner.intake.apply(key, value, position)


async def retire_ended(local_owner):
    """Have the IDs of all jobs of an owner retired."""
    local_owner.ctx.ownership.record_claim(local_owner.epoch, 0.0)
    deletion = local_owner.intake.deletion
    states = dict.fromkeys(local_owner.engine.jobs, CANCELLED.value)
    assert deletion.add(states)
    await deletion.retire(local_owner._writer)
    await local_owner._writer._write()


async def delete_ended(local_owner):
    """Have the records of all jobs of an owner deleted."""
    await retire_ended(local_owner)
    await local_owner.intake.deletion.delete(local_owner._writer)
    await local_owner._writer._write()


def deleted_keys(local_owner, topic):
    """Return the keys of the records that delete records of a topic."""
    records = local_owner.ctx.store.records
    rows = [
        store.decode_keyed(record) for name, record in records if name == topic
    ]
    return [key for key, value in rows if not value]


class Feed:
    """Stand for the feed of a partition without further records."""

    failing = False
    behind = False

    def __init__(self):
        self.offset = 0

    async def read_to_end(self):
        pass
