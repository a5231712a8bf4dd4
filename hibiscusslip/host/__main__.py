"""Start a host: `python3 -m hibiscusslip.host`."""

import importlib
import signal
import sys


def main() -> int:
    """Run a host; return the exit status."""
    # The rest takes half a second to import, and a change of the settings may
    # be signalled meanwhile. They are read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    starting = importlib.import_module('hibiscusslip.host.starting')
    status: int = starting.main()
    return status


if __name__ == '__main__':
    sys.exit(main())
