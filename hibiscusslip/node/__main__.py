"""Run the daemon of an entry host."""

import sys

from hibiscusslip import lean

# The daemon uses no TLS and computes digests with Python's own hash modules,
# so loading the libraries behind these modules would only cost memory.
UNUSED_MODULES = ('ssl', '_ssl', '_hashlib')


def main() -> int:
    """Run the daemon without the modules that it doesn't need."""
    lean.leave_out(UNUSED_MODULES)
    # Imported after the call above, which must run before any library loads.
    from hibiscusslip.node import daemon

    return daemon.main()


if __name__ == '__main__':
    sys.exit(main())
