"""Check addresses that others have written, before they are called."""

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Return True for an IP address, a colon and a port."""
    ip, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit()):
        return False
    return len(port) <= MAX_PORT_DIGITS and is_port(int(port)) and is_ip(ip)


def is_port(number: int) -> bool:
    """Return True for a port that can be called."""
    return 0 < number <= MAX_PORT


def is_ip(text: str) -> bool:
    """Return True for an IP address without a scope.

    Names of hosts aren't accepted: resolving one could block all else.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return '%' not in text
