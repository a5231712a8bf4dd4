"""Simulate organisations with limits, and lost messages, in virtual time."""

from hibiscusslip.dispatch import limits
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import usage
from tests.dispatch import crashing_cell
from tests.dispatch import support

OVERAGE = 0.1
MAX_START_AGE_S = 1.0
MAX_DELAY_S = 12.0


class Cell(crashing_cell.Cell):
    """A cell that loses messages, and judges what its machines run.

    `lose_next` is where the owner is lost in the next pass: 'decided',
    'written' or 'sending'. `exceeded` are starts that brought what their
    organisation has running above its limit, `uncounted` runs on machines
    that the owner doesn't count.
    """

    limit_overage = OVERAGE

    def __init__(self, rng, limit, **fields):
        self.rng = rng
        self.epoch = 1
        self.lose_next = ''
        self.store_lost_until = 0.0
        self.cuts = {}
        self.leases = {}
        self.fences = {}
        self.carried_out = set()
        self.delayed = []
        self.cancelled = set()
        self.limits = []
        self.exceeded = []
        self.uncounted = []
        super().__init__(**fields)
        self.set_limit(limit)

    def set_limit(self, limit):
        """Set the limit of each organisation."""
        self.limit = limit
        self.limits.append((self.now, limit))
        self.engine.config = self.config = model.Configuration(
            self.config.version + 1,
            self.config.queues,
            self.config.services,
            organisations={
                name: model.Organisation(name, limit=limit) for name in 'ab'
            },
        )

    def submit(self, job_id, *steps, organisation='a', **fields):
        self.organisations[job_id] = organisation
        return super().submit(job_id, *steps, **fields)

    def cancel(self, job_id):
        self.cancelled.add(job_id)
        self.engine.cancel(job_id, self.now)

    def cut(self, machine, seconds):
        """Lose all messages to and from a machine for a while."""
        self.cuts[machine.number] = (self.now, self.now + seconds)

    def lose_owner(self):
        self.epoch += 1
        self.lose_next = ''
        super().lose_owner()
        for job_id in self.cancelled:
            self.engine.cancel(job_id, self.now)

    def _tick(self):
        self.now += crashing_cell.TICK_S
        for machine in self.machines:
            if machine.crashed_at is None:
                self._work(machine)
                self._poll(machine)
            elif self.now >= machine.back_at:
                self._boot(machine)
            else:
                self._stay_silent(machine)
        due = [item for item in self.delayed if item[0] <= self.now]
        for item in due:
            self.delayed.remove(item)
            self._carry_out(*item[1:])
        self.engine.plan(self.now, support.WALL_TIME)
        self._write_and_send()
        self._check_counted()

    def _write_and_send(self):
        if self.lose_next == 'decided':
            self.lose_owner()
        if self.now < self.store_lost_until:
            return
        self._write_records()
        if self.lose_next == 'written':
            self.lose_owner()
        for stop in self._take('stops'):
            if self.rng.random() < 0.7:
                self._stop(stop)
        starts = self._take('starts')
        for number, start in enumerate(starts):
            if self.lose_next == 'sending' and 2 * number >= len(starts):
                self.lose_owner()
                return
            self._start(start)

    def _start(self, start):
        if self.now > start.decided_at + MAX_START_AGE_S:
            self.engine.revert_start(start, 'too old to send', self.now)
            return
        (machine,) = (m for m in self.machines if m.name == start.endpoint)
        item = (machine, start, self.epoch, machine.born)
        draw = self.rng.random()
        if draw < 0.15:
            at = self.now + self.rng.uniform(0.0, MAX_DELAY_S)
            self.delayed.append((at, *item))
        elif draw < 0.9 and self._carry_out(*item) and draw < 0.75:
            self.engine.confirm_start(start, self.now)

    def _carry_out(self, machine, start, epoch, born):
        """Carry out a start request; return False if it is void or lost."""
        key = (start.task.name, start.run)
        if (
            machine.name != start.endpoint
            or machine.crashed_at is not None
            or self._is_cut(machine)
            or self.fences.get(machine.number, 0) > epoch
            or (machine.name, machine.born, *key) in self.carried_out
            or (machine.born == born and self.now > start.deadline)
        ):
            return False
        self.carried_out.add((machine.name, machine.born, *key))
        run_s = self.run_s
        if start.task.step.spec.long_running:
            run_s = float('inf')
        machine.running[key] = self.now + run_s
        lease = max(self.leases.get(machine.number, 0), start.deadline)
        self.leases[machine.number] = lease
        self._check_limit(start)
        return True

    def _stop(self, stop):
        for machine in self.machines:
            if machine.name == stop.endpoint and not self._is_cut(machine):
                super()._stop(stop)

    def _is_cut(self, machine):
        return self.now < self.cuts.get(machine.number, (0, 0))[1]

    def _work(self, machine):
        if self.now > self.leases.get(machine.number, 0):
            for task, run in machine.running:
                self._end(machine, task, run, model.RunOutcome.LAPSED)
            machine.running = {}
        super()._work(machine)

    def _poll(self, machine):
        if not self._is_cut(machine):
            super()._poll(machine)
            return
        since, _ = self.cuts[machine.number]
        self.engine.handle_no_response(machine.name, self.now, self.now)
        if self.now >= since + crashing_cell.UNRESPONSIVE_AFTER_S:
            self.engine.mark_unresponsive(machine.name)

    def _report(self, machine):
        if self._is_cut(machine):
            return
        self.fences[machine.number] = self.epoch
        super()._report(machine)
        endpoint = self.engine.endpoints.get(machine.name)
        if endpoint is not None and endpoint.allocations:
            lease = self.now + crashing_cell.LEASE_S
            self.leases[machine.number] = lease

    def _running(self, organisation):
        """Return the runs of an organisation on all machines."""
        return [
            (machine.name, *key)
            for machine in self.machines
            for key in machine.running
            if self.organisations[key[0].split('.')[0]] == organisation
        ]

    def _spec(self, task):
        job_id, _, number, _ = task.split('.')
        return self.specs[job_id].steps[int(number)]

    def _check_limit(self, start):
        """Check a start by the highest limit since it was decided."""
        organisation = start.task.step.job.organisation
        running = self._running(organisation)
        total = model.Demand()
        for _, task, _ in running:
            total = total + self._spec(task).demand
        since = max(at for at, _ in self.limits if at <= start.decided_at)
        if any(total.fits(limit) for at, limit in self.limits if at >= since):
            return
        steps = {task.rpartition('.')[0] for _, task, _ in running}
        spec = start.task.step.spec
        alone = limits.count_startable(
            spec, len(running), usage.Usage(), self.limit, OVERAGE
        )
        if len(steps) > 1 or alone < len(running):
            self.exceeded.append((self.now, start.task.name, running))

    def _check_counted(self):
        ledger = self.engine.ledger
        counted = {
            (run.endpoint, run.task.name, run.run)
            for job_id in self.specs
            for run in ledger.runs_of(job_id)
        }
        running = {key for name in 'ab' for key in self._running(name)}
        self.uncounted += [(self.now, *key) for key in running - counted]
        self._check_ledger(ledger)

    def _check_ledger(self, ledger):
        """Compare the ledger with a scan of all allocations."""
        tasks = [run.task for run in ledger.held_runs()]
        for endpoint in self.engine.endpoints.values():
            tasks += [run.task for run in endpoint.allocations.values()]
        scanned = {}
        for task in tasks:
            name = task.step.job.organisation
            used = scanned.get(name, usage.Usage())
            scanned[name] = usage.Usage(
                used.demand + task.step.spec.demand, used.runs + 1
            )
        assert ledger.usages() == scanned
