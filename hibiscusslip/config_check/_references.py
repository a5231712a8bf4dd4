"""Find names that clash or lead nowhere, and entries that never match."""

import collections.abc

from hibiscusslip.config_check import _model

Findings = collections.abc.Iterator[_model.Finding]
Named = collections.abc.Iterable[tuple[str, _model.Place]]


def check(draft: _model.Draft) -> Findings:
    """Return the findings about how entries refer to each other."""
    yield from _check_names('queue', _queue_names(draft))
    yield from _check_names('service', _service_names(draft))
    yield from _check_names('organisation', _organisation_names(draft))
    yield from _check_services_of_queues(draft)
    yield from _check_addresses(draft)
    yield from _check_unused_services(draft)
    yield from _check_shared_keys(draft)
    yield from _check_missing_keys(draft)


def _queue_names(draft: _model.Draft) -> Named:
    return ((entry.queue.name, entry.place) for entry in draft.queues)


def _service_names(draft: _model.Draft) -> Named:
    return ((entry.service.name, entry.place) for entry in draft.services)


def _organisation_names(draft: _model.Draft) -> Named:
    return (
        (entry.organisation.name, entry.place) for entry in draft.organisations
    )


def _check_names(kind: str, entries: Named) -> Findings:
    first: dict[str, _model.Place] = {}
    for name, place in entries:
        if name in first:
            yield _model.error(
                place.of('name'),
                f'the {kind} {_model.quote(name)} is also at'
                f' {first[name].path}, and hosts keep the last one only',
                'rename or remove one of them',
            )
        first.setdefault(name, place)


def _check_services_of_queues(draft: _model.Draft) -> Findings:
    for entry in draft.queues:
        service = entry.queue.service
        if service not in draft.configuration.services:
            yield _model.error(
                entry.place.of('service'),
                f'there is no service {_model.quote(service)}',
                'add the service, or name one that exists',
            )


def _check_addresses(draft: _model.Draft) -> Findings:
    """Find queues that no call can reach."""
    first: dict[tuple[str, str], _model.Place] = {}
    for entry in draft.queues:
        queue, place = entry.queue, entry.place
        address = (queue.host, queue.prefix)
        if address in first:
            yield _model.error(
                place.path,
                f'no call reaches the queue {_model.quote(queue.name)}, as'
                f' {first[address].path} has the same host and prefix',
                'change the prefix or remove one of them',
            )
        first.setdefault(address, place)
        if ':' in queue.host:
            yield _model.error(
                place.of('host'),
                'no call reaches the queue, as hosts are compared without'
                ' their port',
                'remove the port',
            )
        if queue.prefix and not queue.prefix.startswith('/'):
            yield _model.error(
                place.of('prefix'),
                'no call reaches the queue, as every path starts with /',
                'start the prefix with /',
            )


def _check_unused_services(draft: _model.Draft) -> Findings:
    used = {entry.queue.service for entry in draft.queues}
    for entry in draft.services:
        if entry.service.name not in used:
            yield _model.warning(
                entry.place.path,
                f'no queue uses the service'
                f' {_model.quote(entry.service.name)}',
                'remove it, or name it in a queue',
            )


def _check_shared_keys(draft: _model.Draft) -> Findings:
    holders: dict[bytes, tuple[str, str]] = {}
    for entry in draft.organisations:
        name = entry.organisation.name
        for key in entry.keys:
            holder, place = holders.setdefault(key.digest, (name, key.place))
            if holder != name:
                yield _model.error(
                    key.place,
                    f'the same key is at {place}, where it belongs to'
                    f' {_model.quote(holder)}',
                    'give each organisation keys of its own',
                )


def _check_missing_keys(draft: _model.Draft) -> Findings:
    if any(entry.queue.public for entry in draft.queues):
        return
    for entry in draft.organisations:
        if not entry.keys:
            yield _model.error(
                entry.place.of('key_digests'),
                f'{_model.quote(entry.organisation.name)} has no key and no'
                ' queue is public, so it can submit nothing',
                'add a key or remove the organisation',
            )
