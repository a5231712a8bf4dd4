"""Translate the owner's forecast to the loads in its heartbeats, and back."""

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import forecast as forecasts
from hibiscusslip.host import notices

TENTHS = 10


def make_loads(
    pending: dict[str, int], forecast: forecasts.Forecast | None
) -> dict[str, notices.QueueLoad]:
    """Return the loads of queues that have pending jobs or a wait."""
    loads = {name: notices.QueueLoad(n) for name, n in pending.items()}
    predictions = forecast.predictions if forecast is not None else {}
    for name, item in predictions.items():
        within, beyond = int(item.within * TENTHS), int(item.beyond * TENTHS)
        if within or beyond:
            count = pending.get(name, 0)
            loads[name] = notices.QueueLoad(count, within, beyond)
    return loads


def read_prediction(
    notice: notices.OwnerNotice, queue: str
) -> admission.Prediction:
    """Return what a notice tells of a queue."""
    load = notice.loads.get(queue)
    if load is None:
        return admission.Prediction()
    return admission.Prediction(
        load.within_wait / TENTHS, load.beyond_wait / TENTHS
    )
