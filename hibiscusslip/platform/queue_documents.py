"""Turn the queues in the platform's configuration into this package's type."""

import collections.abc

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.platform import settings


class Advice(msgspec.Struct, rename='pascal'):
    """Represent the configuration of a queue's calls for advice."""

    decision_ms: float = 0.0
    period_ms: float = 0.0
    valid_ms: float = 2000.0


class Route(msgspec.Struct, rename='pascal'):
    """Represent the configuration of a queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: Advice | None = None
    public: bool = False


def to_queues(
    routes: collections.abc.Iterable[Route], known: dict[str, model.Queue]
) -> dict[str, model.Queue]:
    """Return the queues that routes configure, by name.

    Those that equal a `known` one are shared with it: comparing takes a fifth
    of the time of creating, and most versions change few of thousands.
    """
    queues = {}
    for route in routes:
        queue = known.get(route.name)
        if queue is None or not _configures(route, queue):
            queue = to_queue(route)
        queues[route.name] = queue
    return queues


def _configures(route: Route, queue: model.Queue) -> bool:
    """Return True if `to_queue` would return an equal queue."""
    return (
        route.name == queue.name
        and route.host == queue.host
        and route.path_prefix == queue.prefix
        and route.service == queue.service
        and route.target_latency_ms / settings.MS_PER_S == queue.target_latency
        and route.priority == queue.priority
        and route.max_attempts == queue.max_attempts
        and route.stretch == queue.stretch
        and route.public == queue.public
        and _configures_advice(route.advice, queue.advice)
    )


def _configures_advice(
    document: Advice | None, advice: model.Advice | None
) -> bool:
    if document is None or advice is None:
        return document is advice
    return (
        document.decision_ms / settings.MS_PER_S == advice.decision
        and document.period_ms / settings.MS_PER_S == advice.per_endpoint
        and document.valid_ms / settings.MS_PER_S == advice.valid
    )


def to_queue(route: Route) -> model.Queue:
    """Return the queue that an entry configures."""
    advice = None
    if route.advice is not None:
        advice = model.Advice(
            route.advice.decision_ms / settings.MS_PER_S,
            route.advice.period_ms / settings.MS_PER_S,
            route.advice.valid_ms / settings.MS_PER_S,
        )
    return model.Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        service=route.service,
        target_latency=route.target_latency_ms / settings.MS_PER_S,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        advice=advice,
        public=route.public,
    )
