"""Define the messages about jobs to the owner of their home shard."""

from hibiscusslip.peer import _message


class JobSubmit(_message.Message, frozen=True, tag='job_submit'):
    """Submit a job to the owner of its home shard."""

    zone: str
    shard: int
    job: bytes
    wait: float = 0.0


class JobStatus(_message.Message, frozen=True, tag='job_status'):
    """Ask for a job's state; wait up to `wait` seconds for a final one."""

    zone: str
    shard: int
    job_id: str
    wait: float


class JobCancel(_message.Message, frozen=True, tag='job_cancel'):
    """Ask the owner of the home shard to cancel a job."""

    zone: str
    shard: int
    job_id: str


class JobExplain(_message.Message, frozen=True, tag='job_explain'):
    """Ask for a job's event history with the reasons of decisions."""

    zone: str
    shard: int
    job_id: str


class JobState(_message.Message, frozen=True, tag='job_state'):
    """Report a job's state; `answer` is complete in a final state."""

    job_id: str
    outcome: str
    detail: str
    answer: bytes
    retry_after: float | None = None
    nearest: str = ''


class JobHistory(_message.Message, frozen=True, tag='job_story'):
    """Report a job's event history, one line per event, oldest first."""

    job_id: str
    outcome: str
    lines: list[str]
