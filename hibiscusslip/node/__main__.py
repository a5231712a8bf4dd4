"""Run the daemon of an entry host."""

import sys

from hibiscusslip import lean

# The daemon speaks no TLS. Its digests are those of Python itself, so the
# libraries behind these modules would only take memory.
UNUSED_MODULES = ('ssl', '_ssl', '_hashlib')


def main() -> int:
    """Run the daemon without what it doesn't need."""
    lean.leave_out(UNUSED_MODULES)
    # Imported here, as the libraries must not come before the line above.
    from hibiscusslip.node import daemon

    return daemon.main()


if __name__ == '__main__':
    sys.exit(main())
