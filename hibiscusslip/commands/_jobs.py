"""Define the command line options that describe a job."""

import dataclasses
import typing

import cyclopts
import msgspec

from hibiscusslip.model import work


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class JobOptions:
    """Describe a job; resources are per task."""

    team: typing.Annotated[
        str, cyclopts.Parameter(help='Team, as in the sheet.')
    ]
    kind: typing.Annotated[
        str, cyclopts.Parameter(help='Kind of work, as in the sheet.')
    ]
    form: typing.Annotated[
        work.Form,
        cyclopts.Parameter(help='Gangs start all tasks at once or none.'),
    ] = work.Form.BATCH
    urgency: typing.Annotated[
        typing.Literal['urgent', 'high', 'normal', 'low'] | None,
        cyclopts.Parameter(help='By default the urgency of the kind.'),
    ] = None
    tasks: typing.Annotated[
        int, cyclopts.Parameter(help='Number of tasks.')
    ] = 1
    cores: typing.Annotated[float, cyclopts.Parameter(help='Processors.')] = (
        1.0
    )
    memory_gb: typing.Annotated[float, cyclopts.Parameter(help='GiB.')] = 1.0
    accelerators: typing.Annotated[
        int, cyclopts.Parameter(help='Accelerators.')
    ] = 0
    run_time: typing.Annotated[
        float, cyclopts.Parameter(help='Declared run time in seconds.')
    ] = 1.0
    once: typing.Annotated[
        bool,
        cyclopts.Parameter(
            help='Not repeatable: run at most once.', negative=''
        ),
    ] = False
    spread: typing.Annotated[
        bool,
        cyclopts.Parameter(help='Use different racks.', negative=''),
    ] = False
    workload: typing.Annotated[
        str,
        cyclopts.Parameter(help='Name under which run times are learned.'),
    ] = ''
    deadline: typing.Annotated[
        float | None,
        cyclopts.Parameter(
            help='Unix time after which it is no longer started.'
        ),
    ] = None
    payload: typing.Annotated[
        str, cyclopts.Parameter(help='Text for the tasks.')
    ] = ''

    def to_json(self) -> bytes:
        """Return the body of a request that submits the job."""
        values = dataclasses.asdict(self)
        values['repeatable'] = not values.pop('once')
        if self.urgency is None:
            del values['urgency']
        if self.deadline is None:
            del values['deadline']
        return msgspec.json.encode(values)
