"""Compare the queues, the services and the limit of a call's size."""

import collections.abc

from hibiscusslip.config_check import _model
from hibiscusslip.dispatch import model

ACCEPT = 'nothing to do if it is intended'
# Attributes of a queue that are numbers, with the factor that converts them
# to the document's unit.
NUMBERS = {
    'target_latency': 1000.0,
    'priority': 1,
    'max_attempts': 1,
    'stretch': 1,
}
AT_ONCE = 'in force at once for new calls and jobs that wait'

Findings = collections.abc.Iterator[_model.Finding]


def compare(in_force: _model.Draft, draft: _model.Draft) -> Findings:
    """Return what changes for the callers of queues."""
    yield from _compare_addresses(in_force, draft)
    yield from _find_new_addresses(in_force, draft)
    old, new = in_force.configuration, draft.configuration
    for entry in draft.queues:
        former = old.queues.get(entry.queue.name)
        if former is not None:
            yield from _compare_queue(former, entry)
    if new.max_body_bytes != old.max_body_bytes:
        shown = _model.show_change(old.max_body_bytes, new.max_body_bytes)
        yield _model.change(
            draft.place.of('max_body_bytes'),
            f'{shown}, in force at once for new calls',
            ACCEPT,
        )
    for name in sorted(old.services.keys() - new.services.keys()):
        yield _model.warning(
            draft.place.of('services'),
            f'the service {_model.quote(name)} is lost',
            'keep it until its queues have no jobs',
        )


def _compare_addresses(
    in_force: _model.Draft, draft: _model.Draft
) -> Findings:
    """Find queues whose callers no longer reach them."""
    place = draft.place.of('queues')
    for former in in_force.configuration.queues.values():
        address = (former.host, former.prefix)
        if in_force.configuration.find_queue(*address) is not former:
            continue
        queue = draft.configuration.find_queue(*address)
        name = _model.quote(former.name)
        if queue is None:
            yield _model.warning(
                place,
                f'callers lose the queue {name}: no queue matches'
                f' {_address(former)}, and calls get 404 at once',
                'keep it until its callers have moved',
            )
        elif queue.name != former.name:
            yield _model.warning(
                place,
                f'callers lose the queue {name}: calls to {_address(former)}'
                f' go to {_model.quote(queue.name)} at once',
                'keep the name if their jobs are to be found',
            )


def _find_new_addresses(
    in_force: _model.Draft, draft: _model.Draft
) -> Findings:
    known = {
        (queue.host, queue.prefix)
        for queue in in_force.configuration.queues.values()
    }
    for entry in draft.queues:
        queue = entry.queue
        if (queue.host, queue.prefix) in known:
            continue
        before = in_force.configuration.find_queue(queue.host, queue.prefix)
        taken = ''
        if before is not None and before.name != queue.name:
            taken = f', before answered by {_model.quote(before.name)}'
        yield _model.change(
            entry.place.path,
            f'{_address(queue)} leads to the queue'
            f' {_model.quote(queue.name)}{taken}, at once',
            ACCEPT,
        )


def _address(queue: model.Queue) -> str:
    return _model.quote(f'{queue.host}{queue.prefix}')


def _compare_queue(former: model.Queue, entry: _model.QueueEntry) -> Findings:
    queue, place = entry.queue, entry.place
    if queue.service != former.service:
        yield _model.change(
            place.of('service'),
            f'from {_model.quote(former.service)} to'
            f' {_model.quote(queue.service)}, {AT_ONCE}',
            ACCEPT,
        )
    if queue.public != former.public:
        effect = (
            'callers need no key any more'
            if queue.public
            else 'callers without a key get 401'
        )
        yield _model.warning(place.of('public'), f'{effect}, at once', ACCEPT)
    if queue.advice != former.advice:
        yield _model.change(
            place.of('advice'), f'the advice changes, {AT_ONCE}', ACCEPT
        )
    for attribute, scale in NUMBERS.items():
        old, new = getattr(former, attribute), getattr(queue, attribute)
        if old != new:
            yield _model.change(
                place.of(attribute),
                f'{_model.show_change(old, new, scale)}, {AT_ONCE}',
                ACCEPT,
            )
