"""Find times, counts, limits and weights that are out of range."""

import collections.abc
import math

from hibiscusslip.config_check import _model

MS_PER_S = 1000.0
RESOURCES = ('cpu', 'memory', 'accelerators')

Findings = collections.abc.Iterator[_model.Finding]


def check(draft: _model.Draft) -> Findings:
    """Return the findings about numbers."""
    place, configuration = draft.place, draft.configuration
    yield from _check_number(place.of('version'), configuration.version, 1)
    yield from _check_number(
        place.of('max_body_bytes'), configuration.max_body_bytes, 1
    )
    for queue in draft.queues:
        yield from _check_queue(queue)
    for organisation in draft.organisations:
        yield from _check_limit(organisation)
    yield from _check_weights(draft)


def _check_number(
    place: str, value: float, least: int, scale: float = 1
) -> Findings:
    """Check a number that is `scale` times as large in the document."""
    if isinstance(value, float) and not math.isfinite(value):
        problem = "the value isn't a finite number"
    elif abs(value) > _model.MAX_COUNT:
        problem = f'the value is beyond {_model.MAX_COUNT}'
    elif value < least:
        problem = f'{_model.show(value, scale)} is below {least}'
    else:
        return
    yield _model.error(place, problem, f'use a number of at least {least}')


def _check_queue(entry: _model.QueueEntry) -> Findings:
    queue, place = entry.queue, entry.place
    times = {'target_latency': queue.target_latency}
    if entry.timeout is not None:
        times['timeout'] = entry.timeout
    if queue.advice is not None:
        times['decision'] = queue.advice.decision
        times['per_endpoint'] = queue.advice.per_endpoint
        times['valid'] = queue.advice.valid
    for attribute, value in times.items():
        yield from _check_number(place.of(attribute), value, 0, MS_PER_S)
    yield from _check_number(place.of('priority'), queue.priority, 0)
    yield from _check_number(place.of('max_attempts'), queue.max_attempts, 1)
    yield from _check_number(place.of('stretch'), queue.stretch, 1)
    yield from _check_contradictions(entry)


def _check_contradictions(entry: _model.QueueEntry) -> Findings:
    queue, place = entry.queue, entry.place
    target = _model.show(queue.target_latency, MS_PER_S)
    advice = queue.advice
    if advice is not None and queue.target_latency < advice.decision:
        decision = _model.show(advice.decision, MS_PER_S)
        yield _model.error(
            place.of('target_latency'),
            f'no job can be on time, as {target} ms is less than the'
            f' {decision} ms that the advice takes to decide',
            'raise the target latency',
        )
    if entry.timeout is not None and entry.timeout < queue.target_latency:
        timeout = _model.show(entry.timeout, MS_PER_S)
        yield _model.error(
            place.of('timeout'),
            f'calls of {timeout} ms end before the target latency of {target}'
            ' ms',
            'raise the time-out or lower the target latency',
        )


def _check_limit(entry: _model.OrganisationEntry) -> Findings:
    for resource in RESOURCES:
        amount = getattr(entry.organisation.limit, resource)
        yield from _check_number(entry.place.of(resource), amount, 0)


def _check_weights(draft: _model.Draft) -> Findings:
    for entry in draft.organisations:
        weight, place = entry.organisation.weight, entry.place.of('weight')
        yield from _check_number(place, weight, 0)
        if weight == 0:
            yield _model.error(
                place,
                f'{_model.quote(entry.organisation.name)} has the weight 0,'
                ' so it is entitled to nothing',
                'give it a weight above 0, or remove it',
            )
    weights = [entry.organisation.weight for entry in draft.organisations]
    if weights and sum(weights) == 0:
        yield _model.error(
            draft.place.of('organisations'),
            'the sum of all weights is 0',
            'give each organisation a weight above 0',
        )
