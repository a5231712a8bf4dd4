"""Choose which optional decisions a deployment's engine makes."""

import dataclasses
import enum

from hibiscusslip.dispatch import model


class Scope(enum.StrEnum):
    """List where an optional decision is made.

    ORGANISATIONS means: if the configuration has organisations.
    """

    OFF = 'off'
    ORGANISATIONS = 'organisations'
    ON = 'on'

    def covers(self, config: model.Configuration | None) -> bool:
        """Return True if the decision is made under a configuration."""
        if self is Scope.ORGANISATIONS:
            return config is not None and config.organisations is not None
        return self is Scope.ON


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Switch optional decisions on.

    With `learned_run_times` expected run times come from finished runs, with
    `endpoint_speeds` placement considers how fast an endpoint is, with
    `copies` a second run of a straggler is started if its step allows that,
    and with `urgent_preemption` patient runs are stopped for urgent work.
    """

    learned_run_times: bool = False
    endpoint_speeds: bool = False
    copies: bool = False
    urgent_preemption: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Say where an engine makes which optional decisions.

    Where organisations compete, a wrong run time makes others wait and has
    jobs rejected that would be of use, so run times and speeds are learned.
    """

    run_times: Scope = Scope.ORGANISATIONS
    endpoint_speeds: Scope = Scope.ORGANISATIONS
    copies: Scope = Scope.OFF
    urgent_preemption: Scope = Scope.ORGANISATIONS

    def policy_under(self, config: model.Configuration | None) -> Policy:
        """Return the policy under a configuration."""
        return Policy(
            learned_run_times=self.run_times.covers(config),
            endpoint_speeds=self.endpoint_speeds.covers(config),
            copies=self.copies.covers(config),
            urgent_preemption=self.urgent_preemption.covers(config),
        )
