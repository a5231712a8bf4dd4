"""Define hibiscusslip-standin, which simulates platform and endpoints."""

import pathlib
import signal
import sys
import typing

import curio
import cyclopts
import msgspec

from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.standin import exceptions
from hibiscusslip.standin import fleet_file
from hibiscusslip.standin import processes
from hibiscusslip.standin import streams

EXIT_FAILED = 1
DEFAULT_APPENDS_PER_S = 300.0

app = cyclopts.App(
    name='hibiscusslip-standin',
    help='Simulate the platform and endpoints for trials and tests.',
    help_epilogue=(
        'Exit codes: 0 stopped by a signal, 1 wrong input or port in use.'
    ),
    result_action='return_value',
)


@app.command
def platform(
    *,
    address: str = '127.0.0.1',
    log_port: int = 0,
    hosts_port: int = 0,
    fleet: pathlib.Path | None = None,
    lag: float = 0.0,
    appends_per_s: float = DEFAULT_APPENDS_PER_S,
    retention_s: float = 3600.0,
    retention_records: int = 200_000,
    json: bool = False,
) -> int:
    """Serve an in-memory log and a lagging host list.

    Parameters
    ----------
    address
        IP address to listen on.
    log_port
        Port of the log; 0 lets the system choose.
    hosts_port
        Port of the host list; 0 lets the system choose.
    fleet
        TOML file with the initial members of the host list.
    lag
        Seconds by which the host list lags.
    appends_per_s
        Appends that the log accepts per second; 0 for no limit.
    retention_s
        Seconds for which the log retains a record.
    retention_records
        Records that the log retains per stream.
    json
        Print the bound ports as one line of JSON.
    """
    options = processes.PlatformOptions(
        address,
        log_port,
        hosts_port,
        appends_per_s,
        lag,
        streams.Retention(retention_s, retention_records),
    )

    def _serve() -> typing.Any:
        members = fleet_file.load(fleet) if fleet else fleet_file.FleetFile()
        return processes.run_platform(options, members, _make_announce(json))

    return _run(_serve)


@app.command
def workers(
    fleet: pathlib.Path,
    *,
    hosts: str | None = None,
    json: bool = False,
) -> int:
    """Serve workers that accept duplicates, one port each, in one process.

    Parameters
    ----------
    fleet
        TOML file with a table `[[endpoints]]` per worker: name, zone, rack,
        address, port, cpu_milli, memory_mb, accelerators, slots, connections.
    hosts
        ADDRESS:PORT of the host list to register with.
    json
        Print the bound ports as one line of JSON.
    """

    def _serve() -> typing.Any:
        members = fleet_file.load(fleet)
        register_at = _parse_address(hosts) if hosts else None
        return processes.run_workers(
            members, register_at, _make_announce(json)
        )

    return _run(_serve)


def main() -> None:
    """Run the program and exit with its code."""
    sys.exit(app())


def _make_announce(as_json: bool) -> processes.Announce:
    def _announce(bound: list[processes.BoundAddress]) -> None:
        if as_json:
            print(msgspec.json.encode(bound).decode(), flush=True)
            return
        for item in bound:
            print(f'{item.name} {item.address}:{item.port}', flush=True)

    return _announce


def _parse_address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(':')
    if not address or not port.isdigit():
        raise exceptions.StandinError(
            f'{text}: not an address, use ADDRESS:PORT'
        )
    return address, int(port)


def _run(serve: typing.Callable[[], typing.Any]) -> int:
    signal.signal(signal.SIGTERM, _stop)
    try:
        curio.run(serve())
    except (KeyboardInterrupt, SystemExit):
        return 0
    except (exceptions.StandinError, http_exceptions.HttpError) as exc:
        print(f'hibiscusslip-standin: {exc}', file=sys.stderr)
        return EXIT_FAILED
    except curio.TaskGroupError as exc:
        print(f'hibiscusslip-standin: {exc}', file=sys.stderr)
        return EXIT_FAILED
    return 0


def _stop(signum: int, frame: typing.Any) -> None:
    raise SystemExit(0)


if __name__ == '__main__':
    main()
