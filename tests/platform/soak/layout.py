"""Name the sizes of a trial."""

HOSTS = 4
ENDPOINTS = 4
CAPACITY_CPU = 8000  # of one endpoint, thousandths of a core
MOST_ATTEMPTS = 2
MOST_LEASE_MS = 6000
FAULTS_S = 18.0
CALM_S = 45.0  # by then all accepted work has to have ended
LONGEST_TRIAL_S = 300.0
VISIBLE_S = 3.0
