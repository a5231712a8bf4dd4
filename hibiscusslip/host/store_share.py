"""Derive how often one of many hosts may call the store again.

The store bounds the calls of all hosts together, 6,000 reads and 1,200 writes
a second in one deployment, and refuses those beyond with 429. The retries and
repeats of 300 hosts alone exceeded that after an outage, so that the calls of
the owner were refused too, and the outage went on.
"""

USUAL_HOSTS = 100  # up to which no host slows down
CLAIM_PAUSE_S = 0.2  # after a failed claim, before it is slowed down
# Between two reads of the list of hosts: 0.5 s, or 600 reads per second in
# all, with 300 hosts.
HOSTS_PAUSE_PER_HOST_S = 0.5 / 300


def slowdown(hosts: int, is_owner: bool) -> float:
    """Return by which factor a host makes fewer retries and repeats.

    The owner isn't slowed down: without its calls nothing is served.
    """
    if is_owner:
        return 1.0
    return max(hosts / USUAL_HOSTS, 1.0)


def retry_pause(usual: float, factor: float, tie_break: float) -> float:
    """Return the pause before a retry, in seconds.

    `factor` is the slowdown, and `tie_break`, from 0 to 1, differs between
    hosts, so that they don't all retry at once.
    """
    if factor <= 1.0:
        return usual
    return usual * factor * (0.5 + 0.5 * tie_break)


def claim_pause(factor: float, tie_break: float) -> float:
    """Return the pause after a claim that failed, in seconds.

    Up to USUAL_HOSTS hosts claim again as soon as they may. With 300, that
    would be 6,000 claims per second while the store refuses them.
    """
    if factor <= 1.0:
        return 0.0
    return retry_pause(CLAIM_PAUSE_S, factor, tie_break)


def hosts_read_pause(hosts: int) -> float:
    """Return the pause between two reads of the list of hosts, in seconds.

    While all hosts start, each record ends the read of each host: with 300
    hosts 90,000 reads within a second.
    """
    if hosts <= USUAL_HOSTS:
        return 0.0
    return hosts * HOSTS_PAUSE_PER_HOST_S
