"""Keep contact with endpoints: reported ends, renewals, due listings."""

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _adoption
from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.model import places

Contact = _state.Contact

LISTING_RETRY_S = 1.0


def handle_listing_failure(
    st: _state.ShardState, name: str, now: float
) -> None:
    """Handle a listing that got no reply; schedule another one."""
    view = st.endpoints.get(name)
    if view is not None:
        view.list_in_flight = False
        view.next_list_at = now + LISTING_RETRY_S


def handle_ended_runs(
    st: _state.ShardState,
    endpoint: str,
    boot: str,
    runs: list[endpoint_base.Run],
    now: float,
) -> None:
    """Handle ended runs that an endpoint reports.

    `boot` is the incarnation of the endpoint; a new one lost its runs.
    """
    view = st.endpoints.get(endpoint)
    if view is None or view.contact != Contact.LISTED:
        return
    view.last_contact_at = now
    if boot != view.boot:
        view.next_list_at = now
        _adoption.lose_contact(st, view, now)
        return
    for run in runs:
        _completion.handle_run_ended(st, endpoint, run, now)


def begin_renewal(
    st: _state.ShardState, endpoint: str, now: float
) -> list[str]:
    """Return the tasks whose leases to renew, which count from `now`."""
    view = st.endpoints.get(endpoint)
    if view is None or view.contact != Contact.LISTED:
        return []
    view.renewal_sent_at = now
    return list(view.tasks)


def check_endpoint(
    st: _state.ShardState, view: _state.EndpointView, now: float
) -> None:
    """Detect lost contact to an endpoint; list its runs when due."""
    unresponsive = now - view.last_contact_at > st.cfg.contact_lost_after
    if view.contact == Contact.LISTED and unresponsive:
        _adoption.lose_contact(st, view, now)
    if view.contact == Contact.LOST:
        _adoption.expire_runs(st, view, now)
    if view.missing_check_at and now >= view.missing_check_at:
        view.missing_check_at = 0.0
        if view.missing & view.tasks:
            view.next_list_at = now
    gone = view.info.state == places.EndpointState.GONE
    if gone and view.contact == Contact.LOST and not view.tasks:
        del st.endpoints[view.info.name]
        return
    list_due = view.contact != Contact.LISTED or view.next_list_at > 0
    if list_due and not view.list_in_flight and now >= view.next_list_at:
        view.list_in_flight = True
        view.next_list_at = 0.0
        st.pending.append(commands.ListRuns(view.info.name))
