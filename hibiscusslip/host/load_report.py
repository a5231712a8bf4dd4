"""Translate the owner's forecast to the loads in its heartbeats, and back."""

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import forecast as forecasts
from hibiscusslip.dispatch import model
from hibiscusslip.host import notices

TENTHS = 10


def make_loads(
    pending: dict[str, int], forecast: forecasts.Forecast | None
) -> dict[str, notices.QueueLoad]:
    """Return the loads of queues with pending jobs or an unusual wait.

    The waits of all others are in the result of `make_waits`.
    """
    loads = {name: notices.QueueLoad(n) for name, n in pending.items()}
    if forecast is None:
        return loads
    predictions = forecast.predictions
    for name in [*pending, *sorted(predictions.exceptional - pending.keys())]:
        item = predictions.get(name)
        if item is None:
            continue
        within, beyond = _in_tenths(item)
        usual = _in_tenths(predictions.usual_of(name))
        if name in pending or (within, beyond) != usual:
            count = pending.get(name, 0)
            loads[name] = notices.QueueLoad(count, within, beyond)
    return loads


def make_waits(
    forecast: forecasts.Forecast | None,
) -> dict[str, list[notices.ServiceWait]]:
    """Return the usual waits by service, where they change with priority."""
    waits: dict[str, list[notices.ServiceWait]] = {}
    if forecast is None:
        return waits
    known: dict[str, tuple[int, int]] = {}
    for service, priority, item in forecast.predictions.usual():
        wait = _in_tenths(item)
        if wait != known.get(service, (0, 0)):
            entry = notices.ServiceWait(priority, *wait)
            waits.setdefault(service, []).append(entry)
            known[service] = wait
    return waits


def _in_tenths(item: admission.Prediction) -> tuple[int, int]:
    return int(item.within * TENTHS), int(item.beyond * TENTHS)


def read_prediction(
    notice: notices.OwnerNotice, queue: model.Queue
) -> admission.Prediction:
    """Return what a notice tells of a queue."""
    load = notice.loads.get(queue.name)
    if load is not None:
        return _to_prediction(load.within_wait, load.beyond_wait)
    for entry in reversed(notice.waits.get(queue.service, [])):
        if entry.priority <= queue.priority:
            return _to_prediction(entry.within_wait, entry.beyond_wait)
    return admission.Prediction()


def _to_prediction(within: int, beyond: int) -> admission.Prediction:
    return admission.Prediction(within / TENTHS, beyond / TENTHS)
