"""Sizes and time limits of a trial."""

import os

from hibiscusslip.host import options

# With it half of the jobs allow copies, and hosts start some.
COPIES = os.environ.get(options.COPIES_VARIABLE) == 'on'

HOSTS = 4
ENDPOINTS = 4
CAPACITY_CPU = 8000  # of one endpoint, thousandths of a core
MAX_ATTEMPTS = 2
MAX_CRASHING_STARTS = 5  # the sixth is the third after three crashes
DEADLY_SPEC = 'deadly'  # of jobs whose first task crashes its endpoints
CRASH_DOWN_S = 1.5
MAX_LEASE_MS = 6000
FAULT_PHASE_S = 18.0
COMPLETION_TIMEOUT_S = 45.0  # for all accepted jobs to end, after the faults
MAX_TRIAL_S = 300.0
MAX_VISIBILITY_DELAY_S = 3.0
CONFIG_APPLY_S = 2.0  # from publishing until all hosts know a new key
REVOKE_S = 5.0  # until no host admits a withdrawn one
KEYS = {'o1': 'soak-key-1', 'o2': 'soak-key-2', 'o3': 'soak-key-3'}
WITHDRAWN_KEY = 'soak-key-old'  # of o1, in the first configuration only
NEW_KEY = 'soak-key-new'  # of o1, in the second one only
