"""Choose which optional decisions a deployment's engine makes."""

import dataclasses
import enum


class Preemption(enum.StrEnum):
    """List when patient runs are stopped for urgent work.

    ORGANISATIONS means: if the configuration has organisations.
    """

    OFF = 'off'
    ORGANISATIONS = 'organisations'
    ON = 'on'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Switch optional decisions on.

    With `learned_run_times` expected run times come from finished runs, with
    `endpoint_speeds` placement considers how fast an endpoint is, with
    `copies` a second run of a straggler is started if its step allows that,
    and with `urgent_preemption` patient runs are stopped for urgent work, by
    default only where organisations compete.
    """

    learned_run_times: bool = False
    endpoint_speeds: bool = False
    copies: bool = False
    urgent_preemption: Preemption = Preemption.ORGANISATIONS

    def preempts(self, has_organisations: bool) -> bool:
        """Return True if patient runs are stopped for urgent work."""
        if self.urgent_preemption is Preemption.ORGANISATIONS:
            return has_organisations
        return self.urgent_preemption is Preemption.ON
