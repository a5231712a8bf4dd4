"""Define the JSON messages that change the host list of a stand-in."""

import msgspec

from hibiscusslip.model import places

ENDPOINTS_PATH = '/members/endpoints'
ENTRY_HOSTS_PATH = '/members/entry-hosts'
STATE_PATH = '/members/state'
REMOVE_PATH = '/members/remove'


class StateChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change the state of one member."""

    name: str
    state: places.EndpointState


class Removal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Remove one member from the list."""

    name: str
