"""Decide who owns the cell and until when its owner may act; no I/O.

A claim is an append on condition that the topic ends where the claimant has
read to, so of two concurrent claims one fails. The owner's heartbeats go to
the same topic; hosts that can read the topic claim once no heartbeat has come
for `HEARTBEAT_TIMEOUT_S`. How long an owner that can't reach the store extends
leases is decided in `lease_renewal`, until when its successor has to wait for
them in `inherited_leases`. It starts nothing, as each start needs a record
first.
"""

import collections.abc
import dataclasses
import math

from hibiscusslip.host import inherited_leases
from hibiscusslip.host import lease_renewal
from hibiscusslip.host import lease_timing
from hibiscusslip.host import notices
from hibiscusslip.host import poll_timing

HEARTBEAT_INTERVAL_S = 0.4
HEARTBEAT_TIMEOUT_S = 1.0
MAX_READ_AGE_S = 0.9
OWNER_RETURN_S = 0.5  # for a live owner's first heartbeat after an outage
MAX_WEAKNESS_DELAY_S = 0.7
MAX_TIE_BREAK_DELAY_S = 0.15  # between claims of equally strong hosts
SUFFICIENT_LINK_MBPS = 40.0
YIELD_RATIO = 0.5
CONNECTIONS_PER_ENDPOINT = 2  # a poll that is held open, and a command
# The other descriptors of a host are for callers, peers and the store.
ENDPOINT_DESCRIPTORS_SHARE = 0.85
# Of a host without enough descriptors: below YIELD_RATIO of one with enough,
# whose processor is five times as slow.
INSUFFICIENT_FACTOR = 0.05
ENDPOINTS_STEP = 100  # to which the number of endpoints is rounded up
MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class Ownership:
    """What one host knows of the ownership.

    `strength` is this host's, `strongest` the highest that is known of any
    host; `tie_break`, from 0 to 1, orders hosts of equal strength.
    `end_offset` is the offset up to which the topic was read. `held_epoch` is
    the epoch in which this host is the owner, 0 while it isn't.
    `readable_since` is when the topic could be read again after a gap,
    `confirmed_at` when the owner's last successful write was sent.
    `former_notice` is the one before the newest of the same owner.
    `leases_end` is, for the silent endpoints in the newest notice, when their
    leases have ended, and `notice_number` that notice's number. `descriptors`
    is how many files and sockets this host may have open, and `endpoints` the
    number in the newest notice. Times are on the monotonic clock.

    `renewal` is the right of this host to extend leases while it is the owner;
    `inherited` is until when leases of former owners may last, None if that
    isn't known, and `predecessor` is the newest notice of the last of them.
    The owner was heard of last at `heard_at`. Its newest notice tells whether
    it has extended leases (`owner_grants`), until when those of the owners
    before it last (`told_until`), and up to which offset it had read the list
    of hosts (`owner_hosts_read`). This host has read that list up to
    `hosts_read`; its own record is at `own_record`. It has vouched for an
    owner until `vouched_until`, and vouches for none while a claim of its own,
    to be written at `claimed_at_offset`, may still be written. Endpoints grant
    leases of `max_lease` seconds at most.
    """

    name: str
    incarnation: str
    strength: float = 1.0
    tie_break: float = 0.0
    strongest: float = 0.0
    end_offset: int = 0
    epoch: int = 0
    owner: notices.OwnerNotice | None = None
    last_notice_at: float | None = None
    last_read_at: float | None = None
    readable_since: float = 0.0
    held_epoch: int = 0
    leases_end: dict[str, float] = dataclasses.field(default_factory=dict)
    notice_number: int = 0
    former_notice: notices.OwnerNotice | None = None
    descriptors: int = 0
    endpoints: int = 0
    max_lease: float = 6.0
    renewal: lease_renewal.LeaseRenewal = dataclasses.field(
        default_factory=lease_renewal.LeaseRenewal
    )
    inherited: inherited_leases.Bound | None = None
    predecessor: notices.OwnerNotice | None = None
    heard_at: float | None = None
    owner_grants: bool = True
    told_until: float = 0.0
    owner_hosts_read: int = 0
    hosts_read: int = 0
    own_record: int | None = None
    vouched_until: float = 0.0
    claimed_at_offset: int = -1

    def record_read(self, end: int, now: float) -> None:
        """Record that the topic was read to its end."""
        self.end_offset = max(self.end_offset, end)
        if (
            self.last_read_at is None
            or now > self.last_read_at + MAX_READ_AGE_S
        ):
            self.readable_since = now
        self.last_read_at = now
        if self.last_notice_at is None:
            self.last_notice_at = now

    def apply_notice(self, notice: notices.OwnerNotice, now: float) -> None:
        """Apply a notice; calls are in the order of the topic."""
        if notice.epoch < self.epoch:
            return  # from an owner that was superseded
        if notice.kind == notices.HEARTBEAT and self._is_released(
            notice.epoch
        ):
            return  # written concurrently with the release
        if notice.epoch > self.epoch or notice.number >= self.notice_number:
            self._apply_leases(notice, now)
        if notice.epoch != self.epoch:
            self.former_notice = None
        elif self.owner is not None and self.owner.number != notice.number:
            self.former_notice = self.owner  # the same one may come twice
        self.epoch = notice.epoch
        self.owner = notice
        self.endpoints = notice.endpoints
        self.last_notice_at = now
        if notice.kind != notices.RELEASE:
            self.heard_at = now
        if self.held_epoch and notice.epoch > self.held_epoch:
            self.held_epoch = 0
        if self.held_epoch == notice.epoch:
            self.renewal.confirm(notice.number)

    def _apply_leases(self, notice: notices.OwnerNotice, now: float) -> None:
        """Take what the newest notice tells of leases."""
        self.notice_number = notice.number
        self.leases_end = {
            name: now + left / MS_PER_S for name, left in notice.lapses.items()
        }
        self.owner_grants = notice.grants
        left = notice.inherited / MS_PER_S * lease_timing.CLOCK_SPREAD
        self.told_until = now + left if notice.inherited else 0.0
        self.owner_hosts_read = notice.hosts_read

    def _is_released(self, epoch: int) -> bool:
        owner = self.owner
        if owner is None or owner.epoch != epoch:
            return False
        return owner.kind == notices.RELEASE

    def may_claim(self, now: float) -> bool:
        """Return True if this host should try to become the owner."""
        if (
            self.held_epoch
            or self.last_read_at is None
            or self.last_notice_at is None
        ):
            return False
        if self._is_blind(now):
            return False
        since = max(self.last_notice_at, self.readable_since)
        if not self._is_vacant():
            timeout_at = self.last_notice_at + HEARTBEAT_TIMEOUT_S
            since = max(timeout_at, self.readable_since + OWNER_RETURN_S)
        return now >= since + self.stagger

    def _is_vacant(self) -> bool:
        """Return True if the cell provably has no owner."""
        owner = self.owner
        if owner is None:
            return self.end_offset == 0
        return owner.kind == notices.RELEASE or self._is_previous_incarnation(
            owner
        )

    def _is_previous_incarnation(self, owner: notices.OwnerNotice) -> bool:
        return (
            owner.host == self.name and owner.incarnation != self.incarnation
        )

    @property
    def stagger(self) -> float:
        """Return how long this host lets stronger ones claim first, in s."""
        own = self.effective_strength
        return stagger(own, self.strongest, self.tie_break)

    @property
    def effective_strength(self) -> float:
        """Return how well this host could own a cell of this size."""
        return effective_strength(
            self.strength, self.descriptors, self.endpoints
        )

    def should_yield(self, strongest_candidate: float) -> bool:
        """Return True if a much stronger host should own the cell.

        `strongest_candidate` is the highest strength of the hosts that could.
        """
        return (
            bool(self.held_epoch)
            and self.effective_strength < YIELD_RATIO * strongest_candidate
        )

    def known_loads(self) -> dict[str, notices.QueueLoad] | None:
        """Return the queue loads in the newest notice, None if unknown."""
        if self.owner is not None:
            return self.owner.loads if self.owner.loads_known else None
        never_owned = self.last_read_at is not None and not self.end_offset
        return {} if never_owned else None

    def remaining_leases(self, now: float) -> dict[str, int]:
        """Return the rest of the leases of silent endpoints, in ms."""
        return {
            name: int(max(end - now, 0.0) * MS_PER_S) + 1
            for name, end in self.leases_end.items()
        }

    def record_hosts_read(self, end: int) -> None:
        """Record that the list of hosts was read up to an offset."""
        self.hosts_read = max(self.hosts_read, end)

    def begin_claim(self, now: float) -> inherited_leases.Bound:
        """Vouch for no owner until it is known what became of a claim.

        Returns until when leases of former owners may last.
        """
        self.claimed_at_offset = self.end_offset
        self.predecessor = self.owner
        return self._inherited_bound(now)

    def record_claim(
        self,
        epoch: int,
        sent: float,
        hosts: frozenset[str] = frozenset(),
        inherited: inherited_leases.Bound | None = None,
    ) -> None:
        """Record that this host's claim, sent at `sent`, was written.

        `hosts` are the other hosts that it knew then.
        """
        self.inherited = inherited
        self.notice_number = 0
        self.held_epoch = epoch
        self.epoch = epoch
        self.renewal.begin(sent, hosts)

    def _inherited_bound(self, now: float) -> inherited_leases.Bound:
        """Return until when leases of former owners may last."""
        bound = inherited_leases.derive(
            inherited_leases.Findings(
                self.heard_at,
                self.told_until,
                self.owner_grants,
                self._is_known_to_owner(),
                self.vouched_until,
                not self.end_offset,
            ),
            now,
            self.max_lease,
        )
        if self.owner is None or not self._is_previous_incarnation(self.owner):
            return bound
        return inherited_leases.after_end(bound, now, self.max_lease)

    def note_former_end(self, answered_at: float) -> bool:
        """Note that the former owner extends no leases; return if it helps.

        Its answer arrived at `answered_at`.
        """
        if self.inherited is None:
            return False
        before = self.inherited
        self.inherited = inherited_leases.after_end(
            before, answered_at, self.max_lease
        )
        return self.inherited is not before

    def _is_known_to_owner(self) -> bool:
        """Return True if the owner can't do without vouches of this host.

        This host must have read the removals of hosts that the owner had read.
        """
        return (
            self.own_record is not None
            and self.own_record < self.owner_hosts_read <= self.hosts_read
        )

    def vouch(self, epoch: int, now: float) -> bool:
        """Vouch for an owner, unless this host may claim before long.

        Only a host that has read no later claim since it started may vouch.
        """
        if self.held_epoch or self.owner is None or self.last_read_at is None:
            return False
        if epoch != self.epoch or self._is_released(epoch):
            return False
        if self.end_offset <= self.claimed_at_offset:
            return False
        if not self._is_blind(now) and not self._has_just_heard(now):
            return False
        until = now + lease_timing.elapsed_elsewhere(lease_timing.VOUCH_S)
        self.vouched_until = max(self.vouched_until, until)
        return True

    def _is_blind(self, now: float) -> bool:
        """Return True if the topic can't be read at present."""
        assert self.last_read_at is not None
        return now > self.last_read_at + MAX_READ_AGE_S

    def _has_just_heard(self, now: float) -> bool:
        return (
            self.heard_at is not None
            and now < self.heard_at + HEARTBEAT_TIMEOUT_S
        )

    def set_endpoints(self, count: int) -> None:
        """Set the number of endpoints that this owner knows."""
        self.endpoints = reported_endpoints(count)

    def lose(self) -> None:
        """Stop being the owner."""
        self.held_epoch = 0

    def may_renew(self, now: float) -> bool:
        """Return True if this owner may still extend leases."""
        return bool(self.held_epoch) and self.renewal.allows(now)


def strength(cores: float, link_mbps: float) -> float:
    """Return how well a host could own the cell, as a number of cores.

    A slow link counts like a weak processor: at 380 starts a second an
    owner sends and receives some 6 Mbit/s.
    """
    return cores * min(link_mbps / SUFFICIENT_LINK_MBPS, 1.0)


def effective_strength(
    host_strength: float, descriptors: int, endpoints: int
) -> float:
    """Return a host's strength as the owner of so many endpoints.

    A host without enough descriptors can't poll all endpoints at once, however
    strong it is. 0 descriptors or endpoints mean that the number isn't known.
    """
    needed = endpoints * CONNECTIONS_PER_ENDPOINT / ENDPOINT_DESCRIPTORS_SHARE
    if not descriptors or descriptors >= needed:
        return host_strength
    return host_strength * INSUFFICIENT_FACTOR * descriptors / needed


def strongest(
    hosts: collections.abc.Iterable[notices.HostRecord], endpoints: int
) -> float:
    """Return the highest effective strength of hosts, 0 if there are none."""
    return max(
        (
            effective_strength(host.strength, host.descriptors, endpoints)
            for host in hosts
        ),
        default=0.0,
    )


def reported_endpoints(count: int) -> int:
    """Return the number of endpoints that notices tell.

    It is 0 up to USUAL_ENDPOINTS, for which the descriptors of all hosts
    suffice, and rounded up beyond, so that it seldom changes.
    """
    if count <= poll_timing.USUAL_ENDPOINTS:
        return 0
    return math.ceil(count / ENDPOINTS_STEP) * ENDPOINTS_STEP


def stagger(host_strength: float, strongest: float, tie_break: float) -> float:
    """Return how long a host waits before it claims, in seconds.

    `host_strength` is its strength, `strongest` that of the strongest host;
    `tie_break`, from 0 to 1, orders hosts of equal strength.
    """
    weakness = (
        1.0 - min(host_strength / strongest, 1.0) if strongest > 0 else 0.0
    )
    return MAX_WEAKNESS_DELAY_S * weakness + MAX_TIE_BREAK_DELAY_S * tie_break
