"""Define the durations of the ownership protocol."""

import dataclasses

from hibiscusslip.ownership import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Store the durations in seconds, the same on all hosts of a zone.

    `lease` and `promise` are how long a renewal and a promise last. `drift`
    bounds the relative error of a clock's rate, and `margin` is added to
    each wait. `settle` is how long a send may take to reach an endpoint,
    `stagger` how much later the next host in the ranking claims, and
    `list_lag` how long the platform's host list may miss a live host. Raise
    InvalidTiming if the values are inconsistent.
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
                " of the hosts' clocks, such as 0.001"
            )
        if self.promise > self.lease:
            raise exceptions.InvalidTiming(
                f'promise {self.promise} exceeds lease {self.lease}; a host'
                ' that restarts forgets its promises and could claim too'
                ' early; lower promise'
            )
        if self.renew_interval * 2 >= self.lease:
            raise exceptions.InvalidTiming(
                f'renew_interval {self.renew_interval} leaves no time for a'
                f' retry within lease {self.lease}; give less than half'
            )
        if self.promise_interval * 2 >= self.promise:
            raise exceptions.InvalidTiming(
                f'promise_interval {self.promise_interval} leaves no time for'
                f' a retry within promise {self.promise}; give less than half'
            )

    def safe_wait(self, duration: float) -> float:
        """Return the local wait after which `duration` is over on any host."""
        rates = (1 + self.drift) / (1 - self.drift)
        return duration * rates + self.margin

    @property
    def lease_wait(self) -> float:
        """Return the seconds after which any holder's lease has expired."""
        return self.safe_wait(self.lease)

    @property
    def promise_threshold(self) -> float:
        """Return the lease left in seconds below which promises are due."""
        return self.lease - 1.5 * self.renew_interval
