"""Define the target size and the assumptions about it."""

import dataclasses

SECONDS_PER_DAY = 86_400.0
KIB = 1024
MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Represent the fleet in two years and the budget of an entry host."""

    workers: int = 2_500
    jobs_per_day: int = 10_000
    starts_per_second: float = 450.0
    running_tasks: int = 11_000
    service_share: float = 0.2
    teams: int = 260
    urgent_wait_seconds: float = 8.7
    regions: int = 8
    zones: int = 23
    changes_per_day: int = 7_300
    in_force_seconds: float = 5.0
    failures_per_day: int = 39
    replacements_per_day: int = 410
    core_share: float = 0.027
    memory_bytes: float = 32.0 * MIB
    bytes_per_second: float = 24.0 * KIB


@dataclasses.dataclass(frozen=True, slots=True)
class Assumptions:
    """Represent assumptions where the target gives no value.

    `zones_per_region` is that of the largest region. `queued_per_running`
    counts queued tasks per running one, `recorded_share` is the fraction of
    jobs with records on the log, `busiest_hour_share` the fraction of a
    day's jobs that end within one hour, `packet_bytes` the overhead of the
    network per message. Payloads and answers belong to callers and don't
    count as control traffic.
    """

    hosts_per_zone: int = 4
    zones_per_region: int = 4
    shards_per_zone: int = 16
    kinds: int = 12
    workloads: int = 200
    tasks_per_job: int = 100
    recorded_share: float = 0.2
    queued_per_running: float = 1.0
    busiest_hour_share: float = 0.2
    packet_bytes: int = 66
    payload_bytes: int = 0
    answer_bytes: int = 0
    log_appends_per_second: float = 300.0
    log_retention_seconds: float = SECONDS_PER_DAY


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Derive the share of one entry host from target and assumptions."""

    target: Target = Target()
    assumed: Assumptions = Assumptions()

    @property
    def hosts(self) -> int:
        """Return the number of entry hosts of the whole fleet."""
        return self.target.zones * self.assumed.hosts_per_zone

    @property
    def hosts_in_region(self) -> int:
        """Return the number of entry hosts of the largest region."""
        return self.assumed.zones_per_region * self.assumed.hosts_per_zone

    @property
    def shards_per_host(self) -> float:
        """Return how many shards a host owns when all hosts are up."""
        return self.assumed.shards_per_zone / self.assumed.hosts_per_zone

    @property
    def workers_per_host(self) -> float:
        """Return the number of workers in the shards of a host."""
        return self.target.workers / self.hosts

    @property
    def workers_per_shard(self) -> float:
        """Return the number of workers in a shard."""
        return self.workers_per_host / self.shards_per_host

    @property
    def running_per_host(self) -> float:
        """Return the number of tasks running on the workers of a host."""
        return self.target.running_tasks / self.hosts

    @property
    def starts_per_host(self) -> float:
        """Return the task starts per second of a host at the peak."""
        return self.target.starts_per_second / self.hosts

    @property
    def jobs_per_host(self) -> float:
        """Return the jobs per second of a host at the peak of starts."""
        return self.starts_per_host / self.assumed.tasks_per_job

    @property
    def kept_tasks(self) -> float:
        """Return the number of ended tasks that a host retains."""
        jobs = self.target.jobs_per_day * self.assumed.busiest_hour_share
        return jobs * self.assumed.tasks_per_job / self.hosts

    @property
    def records_per_zone(self) -> float:
        """Return the job records per second of a zone at the peak.

        A recorded job has three: accepted, start intent, ended.
        """
        jobs = self.jobs_per_host * self.assumed.hosts_per_zone
        return jobs * self.assumed.recorded_share * 3
