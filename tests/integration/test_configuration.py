"""Check that a configuration is soon in force and never reverts."""

import concurrent.futures
import time

from tests.integration import cell as cells

PLAN = cells.plan(zones=('a', 'b', 'c'), hosts_per_zone=2)


def wait_in_force(cell, wanted: int, timeout: float = cells.IN_FORCE_S):
    """Wait until a version is in force on all hosts that run."""
    names = [n for n, h in cell.hosts.items() if cells.alive(h)]
    cells.wait_for(
        lambda: all(cells.version(cell, name) == wanted for name in names),
        timeout,
        f'version {wanted} on all hosts',
    )


def test_operators_race_and_one_wins_each_time(tmp_path):
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
                told = [call.result()[1] for call in calls]
            won = [doc for doc in told if doc['result'] == 'accepted']
            assert len(won) == 1, told
            version = won[0]['version']
            wait_in_force(cell, version)


def test_zone_cut_from_the_platform_hears_of_it_from_neighbours(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        cell.cut_platform('a')
        time.sleep(1)
        _, told = cells.publish(cell, 'b-host0', 1, cells.sheet(0.3))
        assert told['result'] == 'accepted'
        wait_in_force(cell, told['version'])


def test_fresh_host_without_log_never_shows_an_older_version(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        for version in range(1, 4):
            _, told = cells.publish(cell, 'b-host0', version)
            assert told['result'] == 'accepted'
        wait_in_force(cell, 4)
        cell.hosts['a-host0'].running.kill()
        cell.log_fault(down=True)
        cell.start_host('a-host0')
        shown = []

        def in_force() -> bool:
            shown.append(cells.version(cell, 'a-host0'))
            return shown[-1] == 4

        cells.wait_for(in_force, 2 * cells.IN_FORCE_S, 'version 4')
        assert set(shown) <= {0, 4}
        cell.log_fault(down=False)
        for _ in range(20):
            assert cells.version(cell, 'a-host0') == 4
            time.sleep(cells.POLL_S)


def test_healed_zone_shows_no_version_but_the_newest(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        cell.partition('a', with_platform=True)
        for version in range(1, 4):
            _, told = cells.publish(cell, 'b-host0', version)
            assert told['result'] == 'accepted'
        # An operator in the zone that is cut off can't win by an old one.
        _, late = cells.publish(cell, 'a-host0', 1, cells.sheet(0.4))
        assert late['result'] != 'accepted', late
        assert cells.version(cell, 'a-host0') == 1
        cell.heal()
        wait_in_force(cell, 4, 3 * cells.IN_FORCE_S)
