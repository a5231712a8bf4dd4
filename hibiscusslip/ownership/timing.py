"""Hold the durations that ownership rests on."""

import dataclasses

from hibiscusslip.ownership import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Hold durations in seconds, the same on all hosts of a zone.

    `drift` is the largest relative error of a clock's rate, `settle` how
    long a send may stay on its way to an endpoint, `list_lag` how long the
    platform's host list may miss a host that lives. Raises
    InvalidTiming when the values don't fit together.
    """

    lease: float = 5.0
    promise: float = 4.0
    drift: float = 0.001
    margin: float = 0.25
    settle: float = 2.0
    renew_interval: float = 1.5
    promise_interval: float = 0.5
    heartbeat: float = 0.5
    stagger: float = 1.0
    snapshot_interval: float = 600.0
    list_lag: float = 60.0

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            if getattr(self, field.name) < 0:
                raise exceptions.InvalidTiming(
                    f'{field.name} is negative; give 0 or more seconds'
                )
        self._check_order()

    def _check_order(self) -> None:
        if not 0 <= self.drift < 0.1:
            raise exceptions.InvalidTiming(
                f'drift {self.drift} is not in [0, 0.1); give the rate bound'
                ' of the hosts clocks, such as 0.001'
            )
        if self.promise > self.lease:
            raise exceptions.InvalidTiming(
                f'promise {self.promise} exceeds lease {self.lease}; a'
                ' restarted host could forget a promise too early, lower it'
            )
        if self.renew_interval * 2 >= self.lease:
            raise exceptions.InvalidTiming(
                f'renew_interval {self.renew_interval} leaves no room for a'
                f' retry within lease {self.lease}; give less than half'
            )
        if self.promise_interval * 2 >= self.promise:
            raise exceptions.InvalidTiming(
                f'promise_interval {self.promise_interval} leaves no room for'
                f' a retry within promise {self.promise}; give less than half'
            )

    def safe_wait(self, duration: float) -> float:
        """Return how long to wait here until `duration` is over there."""
        rates = (1 + self.drift) / (1 - self.drift)
        return duration * rates + self.margin

    @property
    def lease_wait(self) -> float:
        """Return the wait that outlasts any holder's lease, in seconds."""
        return self.safe_wait(self.lease)

    @property
    def overdue(self) -> float:
        """Return the lease left, in seconds, below which promises help."""
        return self.lease - 1.5 * self.renew_interval
