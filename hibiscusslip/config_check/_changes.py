"""Compare a configuration with the one in force, by what it means."""

import collections.abc

from hibiscusslip.config_check import _limit_changes
from hibiscusslip.config_check import _model
from hibiscusslip.config_check import _queue_changes


def compare(
    in_force: _model.Draft, draft: _model.Draft
) -> list[_model.Finding]:
    """Return what a configuration changes."""
    return [
        *_check_version(in_force, draft),
        *_queue_changes.compare(in_force, draft),
        *_limit_changes.compare(in_force, draft),
    ]


def _check_version(
    in_force: _model.Draft, draft: _model.Draft
) -> collections.abc.Iterator[_model.Finding]:
    old, new = in_force.configuration.version, draft.configuration.version
    if new <= old:
        yield _model.error(
            draft.place.of('version'),
            f'{_model.show(new)} is not above {_model.show(old)}, the version'
            ' in force, so hosts ignore the document',
            'use a higher version',
        )
