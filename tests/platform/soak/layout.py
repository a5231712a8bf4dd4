"""Sizes and time limits of a trial."""

import os
import random

from hibiscusslip.host import options

# With it half of the jobs allow copies, and hosts start some.
COPIES = os.environ.get(options.COPIES_VARIABLE) == 'on'

HOSTS = 4
ENDPOINT_CPU = (12000, 8000, 8000, 4000)  # thousandths of a core
ENDPOINT_SPEEDS = (1.0, 0.7, 1.4, 1.0)
ENDPOINTS = len(ENDPOINT_CPU)
# Labels of the endpoints. With two of them an endpoint changes to the other
# one with each restart, and its new entry is listed ENTRY_LAG_S later.
ENDPOINT_KINDS = (('k0',), ('k0', 'k1'), ('k1', 'k0'), ('k1',))
ENTRY_LAG_S = 1.5
MAX_ENTRY_LAG_S = 3.0  # after which hosts use a former entry again
KINDS = ('k0', 'k1')
KIND_SHARE = 0.4  # of the jobs, which require one
TASK_MEM_MB = 10
MAX_MEMORY_MIB = 96  # of a host
MAX_ATTEMPTS = 2
MAX_CRASHING_STARTS = 5  # the sixth is the third after three crashes
DEADLY_SPEC = 'deadly'  # of jobs whose first task crashes its endpoints
CRASH_DOWN_S = 1.5
MAX_LEASE_MS = 6000
MAX_LISTED_ENDS = 3  # in one report of an endpoint, so that many are partial
FAULT_PHASE_S = 18.0
# A job whose times are all past is submitted in each trial.
SCHEDULED_AT_S = 6.0
SCHEDULED_TIMES = 1_000
SCHEDULED_CPU = 20
SCHEDULED_SPEC = '0.05'  # its tasks take so many seconds
MAX_LOOP_HOLD_MS = 400  # of processor time; heartbeats are as far apart
COMPLETION_TIMEOUT_S = 45.0  # for all accepted jobs to end, after the faults
# A task that crashes endpoints is given up after its fourth start as a rule.
# Each comes START_VALID_S after the one before, which wasn't answered; 2.5 s
# are for the endpoint to come back.
CRASH_TRIALS_S = 40.0
MAX_TRIAL_S = 300.0
MAX_VISIBILITY_DELAY_S = 3.0
CONFIG_APPLY_S = 2.0  # from publishing until all hosts know a new key
REVOKE_S = 5.0  # until no host admits a withdrawn one
START_VALID_S = 12.5  # a start is carried out so long after its decision
KEYS = {'o1': 'soak-key-1', 'o2': 'soak-key-2', 'o3': 'soak-key-3'}
WITHDRAWN_KEY = 'soak-key-old'  # of o1, in the first configuration only
NEW_KEY = 'soak-key-new'  # of o1, in the second one only

# CPU and memory that each organisation may have running, by version of the
# configuration; 0 is no limit. About 8000 and 70 are in demand.
LIMITS = {
    1: {'o1': (5000, 0), 'o2': (9000, 0), 'o3': (0, 80)},
    2: {'o1': (7000, 0), 'o2': (6000, 0), 'o3': (0, 60)},
}
QUOTA_OVERAGE = 0.1
WEIGHTS = {'o1': 1, 'o2': 2, 'o3': 4}
LEARNING_SHARE = 0.5


def is_learning(seed: int) -> bool:
    """Return whether the hosts of a trial learn run times and speeds."""
    # Drawn apart, so that the seeds play the same faults as ever.
    return random.Random(f'learning {seed}').random() < LEARNING_SHARE
