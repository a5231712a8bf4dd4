"""Fake the job service behind the callers' API."""

from hibiscusslip.caller import exceptions
from hibiscusslip.caller import service
from hibiscusslip.model import work


class FakeJobs(service.JobService):
    """Return preset states or errors and record the calls.

    `submit` raises `error` once `fail_from` jobs were submitted; without
    `fail_from` it raises from the first job on.
    """

    def __init__(self):
        self.specs = []
        self.calls = []
        self.error = None
        self.wait_error = None
        self.fail_from = None
        self.submit_outcome = work.Outcome.QUEUED
        self.states = {}

    async def submit(self, spec):
        if self.error and len(self.specs) >= (self.fail_from or 0):
            raise self.error
        self.specs.append(spec)
        return service.JobState(spec.job_id, self.submit_outcome, 'because')

    async def wait(self, job_id, timeout):
        self.calls.append(('wait', job_id, timeout))
        if self.wait_error:
            raise self.wait_error
        return self._state(job_id)

    async def cancel(self, job_id):
        self.calls.append(('cancel', job_id))
        return self._state(job_id)

    async def status(self, job_id):
        if self.error:
            raise self.error
        return self._state(job_id)

    async def explain(self, job_id):
        return service.JobHistory(job_id, work.Outcome.QUEUED, ['waits'])

    def readiness(self):
        return service.Readiness(False, 'no configuration yet')

    def _state(self, job_id):
        if job_id not in self.states:
            raise exceptions.UnknownJob('no such job; check the id')
        return self.states[job_id]
