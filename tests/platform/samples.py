"""Valid documents of the platform, for tests that change them."""

JOB = {
    'Spec': 'x',
    'Steps': [
        {'Count': 2, 'Cpu': 5, 'MemMb': 7, 'EstimateMs': 9},
        {'Count': 1, 'DependsOn': [0], 'Requires': 'a', 'TargetMs': 3},
    ],
    'Times': 3,
    'StartMs': 5.0,
    'IntervalMs': 100.0,
}
ENTRY = {
    'Service': 's',
    'Addr': '10.0.0.1:80',
    'Zone': 'z',
    'Labels': ['a', 'r1'],
    'Capacity': {'Cpu': 5, 'MemMb': 6, 'Gpu': 0},
    'State': 'ready',
    'Seq': 4,
    'born': 7,
    'ClockMs': 8.0,
}
REPORT = {
    'ClockMs': 5,
    'Running': [['j.0.0.0', 2, '', 41, 3.5]],
    'Ended': [[58, 'j.0.0.1', 1, 'done', '']],
    'born': 9,
}
