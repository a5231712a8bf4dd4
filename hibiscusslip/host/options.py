"""Read the product's own options of a host from the environment."""

import collections.abc

from hibiscusslip.dispatch import policy

RUN_TIMES_VARIABLE = 'HIBISCUSSLIP_RUN_TIMES'
SPEEDS_VARIABLE = 'HIBISCUSSLIP_ENDPOINT_SPEEDS'
COPIES_VARIABLE = 'HIBISCUSSLIP_COPIES'
PREEMPTION_VARIABLE = 'HIBISCUSSLIP_URGENT_PREEMPTION'


class OptionInvalid(ValueError):
    """Raise for an unknown value; the message lists the known ones."""


def read_policy(environ: collections.abc.Mapping[str, str]) -> policy.Policy:
    """Return the optional decisions that are on; raises OptionInvalid."""
    return policy.Policy(
        learned_run_times=_is_on(
            environ, RUN_TIMES_VARIABLE, 'declared', 'learned'
        ),
        endpoint_speeds=_is_on(environ, SPEEDS_VARIABLE, 'off', 'on'),
        copies=_is_on(environ, COPIES_VARIABLE, 'off', 'on'),
        urgent_preemption=_read_preemption(environ),
    )


def _read_preemption(
    environ: collections.abc.Mapping[str, str],
) -> policy.Preemption:
    value = environ.get(PREEMPTION_VARIABLE)
    if not value:
        return policy.Preemption.ORGANISATIONS
    try:
        return policy.Preemption(value)
    except ValueError as exc:
        known = ', '.join(policy.Preemption)
        raise OptionInvalid(
            f"{PREEMPTION_VARIABLE} is '{value}'; set it to one of {known}"
        ) from exc


def _is_on(
    environ: collections.abc.Mapping[str, str], name: str, off: str, on: str
) -> bool:
    value = environ.get(name) or off
    if value not in (off, on):
        raise OptionInvalid(f"{name} is '{value}'; set it to {off} or {on}")
    return value == on
