"""Define the messages about tasks that run on other shards."""

from hibiscusslip.peer import _message


class HoldRequest(_message.Message, frozen=True, tag='hold'):
    """Ask a shard's owner to reserve capacity for another shard's tasks.

    The reservation expires after `duration` unless it is committed.
    """

    hold_id: str
    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    job: bytes
    tasks: list[int]
    attempt: int
    duration: float


class HoldReply(_message.Message, frozen=True, tag='held'):
    """Name the tasks that capacity is reserved for, possibly none."""

    hold_id: str
    tasks: list[int]


class CommitRequest(_message.Message, frozen=True, tag='commit'):
    """Start the tasks of a reservation."""

    hold_id: str
    zone: str
    shard: int


class CommitReply(_message.Message, frozen=True, tag='committed'):
    """Report whether the tasks start; False when the hold had expired."""

    hold_id: str
    committed: bool


class ReleaseRequest(_message.Message, frozen=True, tag='release'):
    """Release the reserved capacity of a hold."""

    hold_id: str
    zone: str
    shard: int


class RemoteTaskQuery(_message.Message, frozen=True, tag='remote_query'):
    """Ask for the states of offloaded tasks of a home shard.

    This fences the home shard: the receiver refuses its older epochs from
    then on.
    """

    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    tasks: list[str]


class RemoteTaskState(_message.Message, frozen=True, tag='remote_state'):
    """Report the state of one offloaded task."""

    task: str
    attempt: int
    state: str
    detail: str
    answer: bytes


class RemoteTaskReport(_message.Message, frozen=True, tag='remote_report'):
    """Report the states of offloaded tasks to their home shard.

    `place` is the shard that they run on.
    """

    tasks: list[RemoteTaskState]
    home_zone: str
    home_shard: int
    place: str


class StopTasks(_message.Message, frozen=True, tag='stop_tasks'):
    """Ask a shard's owner to stop offloaded tasks of a home shard."""

    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    tasks: list[str]
