"""Build queues, jobs and endpoints, and drive an engine step by step."""

import dataclasses

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import records

SERVICE = 'planner'
WALL_TIME = 1_000_000.0


def queue(name='small', **fields):
    fields.setdefault('service', SERVICE)
    fields.setdefault('max_attempts', 2)
    fields.setdefault('stretch', 2.0)
    return model.Queue(name, 'a.example', f'/{name}/', **fields)


def config(*queues, version=1):
    services = {q.service: model.Service(q.service) for q in queues}
    return model.Configuration(version, {q.name: q for q in queues}, services)


def step(count=1, cpu=1000, memory=100, accelerators=0, **fields):
    demand = model.Demand(cpu, memory, accelerators)
    return model.Step(count, demand, **fields)


def entry(name, cpu=8000, memory=8000, accelerators=0, **fields):
    fields.setdefault('service', SERVICE)
    fields.setdefault('address', f'{name}:1')
    fields.setdefault('zone', 'z1')
    fields.setdefault('labels', ('a', 'r1'))
    fields.setdefault('draining', False)
    fields.setdefault('seq', 1)
    fields.setdefault('born', 1.0)
    fields.setdefault('clock', 0.0)
    capacity = model.Demand(cpu, memory, accelerators)
    return model.EndpointEntry(name=name, capacity=capacity, **fields)


class Bench:
    """An engine with a clock that tests move, and a log that they read.

    Records count as written after each scheduling pass.
    """

    def __init__(
        self, *queues, lease=5.0, max_lease=None, policy=policies.Policy()
    ):
        self.notes = []
        self.engine = engines.Engine(lease, self.note, max_lease, policy)
        self.engine.config = config(*(queues or (queue(),)))
        self.now = 100.0
        self.ended_numbers = {}

    def note(self, event, **fields):
        self.notes.append((event, fields))

    def events(self, name):
        return [fields for event, fields in self.notes if event == name]

    def endpoint(self, name, **fields):
        """List an endpoint, report that it runs nothing, and return it."""
        item = entry(name, **fields)
        self.engine.register_endpoint(item, self.now)
        self.report(name)
        return self.engine.endpoints[name]

    def list_again(self, name, **fields):
        """Apply another entry of an endpoint, which differs in fields."""
        entry_ = self.engine.endpoints[name].entry
        entry_ = dataclasses.replace(entry_, **fields)
        self.engine.register_endpoint(entry_, self.now)

    def submit(self, job_id, *steps, queue='small', **fields):
        spec = model.JobSpec('payload', tuple(steps), **fields)
        submission = records.Submission(queue, SERVICE, WALL_TIME, b'')
        return self.engine.submit(
            job_id, submission, spec, self.now, WALL_TIME
        )

    def plan(self, wall_time=WALL_TIME):
        """Run a scheduling pass, write all records and return the starts."""
        self.engine.plan(self.now, wall_time)
        return self.commit()

    def commit(self):
        """Write all records and return the starts that may be sent."""
        engine = self.engine
        starts, engine.starts = engine.starts, []
        written = {i: engine.jobs[i].state for i in engine.dirty}
        engine.dirty = set()
        engine.confirm_records(written, engine.handled_cursors())
        return starts

    def stops(self):
        """Return the stops since the last call."""
        stops, self.engine.stops = self.engine.stops, []
        return stops

    def confirm(self, starts):
        for start in starts:
            self.engine.confirm_start(start, self.now)

    def report(
        self,
        name,
        running=(),
        ended=(),
        born=1.0,
        sent=None,
        ends_complete=True,
    ):
        """Apply an endpoint's reply to a poll that was sent at `sent`."""
        clock = self.now
        report = model.EndpointReport(
            born, clock, tuple(running), tuple(ended), ends_complete
        )
        self.engine.handle_report(name, report, sent or self.now, self.now)

    def running_run(self, start):
        return model.RunningRun(start.task.name, start.run, '', 50, 0.0)

    def end(self, start, how='done', checkpoint=''):
        """Report that a run has ended, and no other runs."""
        name = start.endpoint
        self.ended_numbers[name] = self.ended_numbers.get(name, 0) + 1
        ended = model.EndedRun(
            self.ended_numbers[name],
            start.task.name,
            start.run,
            model.RunOutcome(how),
            checkpoint,
        )
        self.report(name, ended=[ended])
