"""Test that a configuration propagates quickly and never reverts."""

import concurrent.futures
import time

from tests.integration import cell as cells

PLAN = cells.plan(zones=('a', 'b', 'c'), hosts_per_zone=2)


def wait_in_force(
    cell, expected: int, timeout: float = cells.PROPAGATION_TIMEOUT_S
):
    """Wait until a version is in force on all running hosts."""
    names = [n for n, h in cell.hosts.items() if cells.alive(h)]
    cells.wait_for(
        lambda: all(cells.version(cell, name) == expected for name in names),
        timeout,
        f'version {expected} on all hosts',
    )


def test_one_of_several_concurrent_publishers_wins(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        hosts = list(cell.hosts)
        version = 1
        for _ in range(4):
            with concurrent.futures.ThreadPoolExecutor(len(hosts)) as pool:
                calls = [
                    pool.submit(
                        cells.publish,
                        cell,
                        name,
                        version,
                        cells.sheet(0.1 + index / 50),
                        author=name,
                    )
                    for index, name in enumerate(hosts)
                ]
                responses = [call.result()[1] for call in calls]
            accepted = [
                doc for doc in responses if doc['result'] == 'accepted'
            ]
            assert len(accepted) == 1, responses
            version = accepted[0]['version']
            wait_in_force(cell, version)


def test_zone_partitioned_from_the_platform_gets_it_from_peers(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        cell.partition_from_platform('a')
        time.sleep(1)
        _, response = cells.publish(cell, 'b-host0', 1, cells.sheet(0.3))
        assert response['result'] == 'accepted'
        wait_in_force(cell, response['version'])


def test_new_host_without_log_never_reports_an_older_version(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        for version in range(1, 4):
            _, response = cells.publish(cell, 'b-host0', version)
            assert response['result'] == 'accepted'
        wait_in_force(cell, 4)
        cell.hosts['a-host0'].running.kill()
        cell.set_log_faults(down=True)
        cell.start_host('a-host0')
        versions = []

        def in_force() -> bool:
            versions.append(cells.version(cell, 'a-host0'))
            return versions[-1] == 4

        cells.wait_for(in_force, 2 * cells.PROPAGATION_TIMEOUT_S, 'version 4')
        assert set(versions) <= {0, 4}
        cell.set_log_faults(down=False)
        for _ in range(20):
            assert cells.version(cell, 'a-host0') == 4
            time.sleep(cells.POLL_S)


def test_healed_zone_converges_to_the_newest_version(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        cell.partition('a', with_platform=True)
        for version in range(1, 4):
            _, response = cells.publish(cell, 'b-host0', version)
            assert response['result'] == 'accepted'
        # An operator in the partitioned zone can't win with an old version.
        _, outdated = cells.publish(cell, 'a-host0', 1, cells.sheet(0.4))
        assert outdated['result'] != 'accepted', outdated
        assert cells.version(cell, 'a-host0') == 1
        cell.heal()
        wait_in_force(cell, 4, 3 * cells.PROPAGATION_TIMEOUT_S)
