"""Define the messages that carry out what operators ask for."""

from hibiscusslip.peer import _message


class StatusQuery(_message.Message, frozen=True, tag='status_query'):
    """Ask a host for its part of the operators' status view."""


class HostStatus(_message.Message, frozen=True, tag='host_status'):
    """Return a host's part of the operators' view as JSON."""

    document: bytes


class EventsQuery(_message.Message, frozen=True, tag='events_query'):
    """Ask for the latest events of a host, as JSON in a HostStatus."""

    limit: int


class StopHost(_message.Message, frozen=True, tag='stop_host'):
    """Ask a host to shut down gracefully."""


class DrainEndpoint(_message.Message, frozen=True, tag='drain_endpoint'):
    """Ask an owner to drain an endpoint: it gets no new tasks."""

    endpoint: str


class EndpointDraining(_message.Message, frozen=True, tag='endpoint_draining'):
    """Report how many tasks a draining endpoint still runs."""

    known: bool
    running: int


class SelectJobs(_message.Message, frozen=True, tag='select_jobs'):
    """Ask for the jobs that match, as JSON in a HostStatus.

    With `cancel` the matching jobs are cancelled as well.
    """

    team: str
    kind: str
    workload: str
    outcome: str
    cancel: bool
