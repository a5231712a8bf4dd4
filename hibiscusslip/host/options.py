"""Read the product's own options of a host from the environment."""

import collections.abc

from hibiscusslip.dispatch import policy

RUN_TIMES_VARIABLE = 'HIBISCUSSLIP_RUN_TIMES'
SPEEDS_VARIABLE = 'HIBISCUSSLIP_ENDPOINT_SPEEDS'
COPIES_VARIABLE = 'HIBISCUSSLIP_COPIES'
PREEMPTION_VARIABLE = 'HIBISCUSSLIP_URGENT_PREEMPTION'

_Scopes = dict[str, policy.Scope]
_SCOPES: _Scopes = {scope.value: scope for scope in policy.Scope}
_RUN_TIMES: _Scopes = {
    'declared': policy.Scope.OFF,
    'organisations': policy.Scope.ORGANISATIONS,
    'learned': policy.Scope.ON,
}
_COPIES: _Scopes = {'off': policy.Scope.OFF, 'on': policy.Scope.ON}


class OptionInvalid(ValueError):
    """Raise for an unknown value; the message lists the known ones."""


def read_options(environ: collections.abc.Mapping[str, str]) -> policy.Options:
    """Return which optional decisions are made; raises OptionInvalid."""
    default = policy.Options()

    def read(name: str, scopes: _Scopes, usual: policy.Scope) -> policy.Scope:
        value = environ.get(name)
        if not value:
            return usual
        if value not in scopes:
            known = ', '.join(scopes)
            raise OptionInvalid(
                f"{name} is '{value}'; set it to one of {known}"
            )
        return scopes[value]

    return policy.Options(
        run_times=read(RUN_TIMES_VARIABLE, _RUN_TIMES, default.run_times),
        endpoint_speeds=read(
            SPEEDS_VARIABLE, _SCOPES, default.endpoint_speeds
        ),
        copies=read(COPIES_VARIABLE, _COPIES, default.copies),
        urgent_preemption=read(
            PREEMPTION_VARIABLE, _SCOPES, default.urgent_preemption
        ),
    )
