"""Compare the organisations: their keys, limits and weights."""

import collections.abc

from hibiscusslip.config_check import _model
from hibiscusslip.dispatch import model

ACCEPT = 'nothing to do if it is intended'
# Hex digits of a key's SHA-256 digest that are shown, in place of the key.
SHOWN_DIGITS = 8
RESOURCES = ('cpu', 'memory', 'accelerators')

Findings = collections.abc.Iterator[_model.Finding]


def compare(in_force: _model.Draft, draft: _model.Draft) -> Findings:
    """Return what changes for organisations."""
    place = draft.place.of('organisations')
    old = in_force.configuration.organisations
    new = draft.configuration.organisations
    yield from _compare_use(place, old, new)
    old, new = old or {}, new or {}
    for name in sorted(old.keys() - new.keys()):
        yield _model.warning(
            place,
            f'the organisation {_model.quote(name)} loses its access at once;'
            ' its jobs run on within its last limit'
            f'{_keys(", withdrawn keys", old[name].key_digests)}',
            'keep it until its callers have moved',
        )
    for entry in draft.organisations:
        former = old.get(entry.organisation.name)
        if former is None:
            yield _model.change(
                entry.place.path,
                'the organisation'
                f' {_model.quote(entry.organisation.name)} is new, with access'
                ' at once'
                f'{_keys(", added keys", entry.organisation.key_digests)}',
                ACCEPT,
            )
        else:
            yield from _compare_organisation(former, entry)


def _compare_use(
    place: str,
    old: dict[str, model.Organisation] | None,
    new: dict[str, model.Organisation] | None,
) -> Findings:
    if old is None and new is not None:
        yield _model.warning(
            place,
            'the deployment gets organisations: callers without a key get 401'
            ' at once, except on public queues',
            'make sure that all callers have keys',
        )
    if old is not None and new is None:
        yield _model.warning(
            place,
            'the deployment loses its organisations: callers need no key and'
            ' nothing limits what they have running, at once',
            'restore the list unless this is intended',
        )


def _keys(title: str, digests: collections.abc.Set[bytes]) -> str:
    """Return the number of keys and the start of their digests."""
    if not digests:
        return ''
    shown = sorted(digest.hex()[:SHOWN_DIGITS] for digest in digests)
    return f'{title} ({len(shown)}): {", ".join(shown)}'


def _compare_organisation(
    former: model.Organisation, entry: _model.OrganisationEntry
) -> Findings:
    yield from _compare_keys(former, entry)
    yield from _compare_limits(former, entry)
    old, new = former.weight, entry.organisation.weight
    if old != new:
        yield _model.change(
            entry.place.of('weight'),
            f'{_model.show_change(old, new)}, in force at once for the shares'
            ' and for new jobs',
            ACCEPT,
        )


def _compare_keys(
    former: model.Organisation, entry: _model.OrganisationEntry
) -> Findings:
    place = entry.place.of('key_digests')
    digests = entry.organisation.key_digests
    withdrawn = former.key_digests - digests
    if withdrawn:
        yield _model.warning(
            place,
            f'{_keys("withdrawn keys", withdrawn)}; calls with them get 401'
            ' at once',
            'make sure that no caller uses them',
        )
    added = digests - former.key_digests
    if added:
        yield _model.change(
            place, f'{_keys("added keys", added)}; usable at once', ACCEPT
        )


def _compare_limits(
    former: model.Organisation, entry: _model.OrganisationEntry
) -> Findings:
    for resource in RESOURCES:
        old = getattr(former.limit, resource)
        new = getattr(entry.organisation.limit, resource)
        if old == new:
            continue
        # An amount of 0 is no limit.
        lowered = new != 0 and (old == 0 or new < old)
        effect = (
            'lowered from {} to {}, at once: nothing is stopped, but nothing'
            ' starts until the usage is within it'
            if lowered
            else 'raised from {} to {}, at once for new starts'
        )
        yield _model.change(
            entry.place.of(resource),
            effect.format(_show_limit(old), _show_limit(new)),
            ACCEPT,
        )


def _show_limit(amount: int) -> str:
    return _model.show(amount) if amount else 'no limit'
