"""Translate the owner's forecast to the loads in its heartbeats, and back."""

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import forecast as forecasts
from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.host import notices

TENTHS = 10
HUNDREDTHS = 100
# Queues that are reported for their ratio only, the latest used ones. A name
# with its ratio is some 20 bytes, 2.5 times a second to each host.
MAX_IDLE_QUEUES = 64


def make_loads(
    pending: dict[str, int],
    forecast: forecasts.Forecast | None,
    ratios: dict[str, float],
) -> dict[str, notices.QueueLoad]:
    """Return the loads of queues with jobs, an unusual wait or a ratio.

    `ratios` are those of actual to declared run time. The waits of all other
    queues are in the result of `make_waits`.
    """
    loads = _find_loads(pending, forecast)
    idle_left = MAX_IDLE_QUEUES
    for name, ratio in ratios.items():
        if name not in loads:
            if not idle_left:
                continue
            idle_left -= 1
            # A load replaces the usual waits, so it has to tell them, too.
            loads[name] = notices.QueueLoad(0, *_find_waits(name, forecast))
        loads[name].ratio = round(ratio * HUNDREDTHS)
    return loads


def _find_loads(
    pending: dict[str, int], forecast: forecasts.Forecast | None
) -> dict[str, notices.QueueLoad]:
    """Return the loads of queues with pending jobs or an unusual wait."""
    if forecast is None:
        return {name: notices.QueueLoad(n) for name, n in pending.items()}
    predictions = forecast.predictions
    loads = {
        name: notices.QueueLoad(count, *_find_waits(name, forecast))
        for name, count in pending.items()
    }
    for name in sorted(predictions.exceptional - pending.keys()):
        waits = _find_waits(name, forecast)
        if waits != _in_tenths(predictions.usual_of(name)):
            loads[name] = notices.QueueLoad(0, *waits)
    return loads


def _find_waits(
    name: str, forecast: forecasts.Forecast | None
) -> tuple[int, int]:
    if forecast is None:
        return 0, 0
    prediction = forecast.predictions.get(name)
    return _in_tenths(prediction) if prediction is not None else (0, 0)


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


def repeat_loads(
    known: dict[str, notices.QueueLoad],
) -> dict[str, notices.QueueLoad]:
    """Return the loads for an owner that hasn't read the jobs to report.

    The former owner's predictions would be out of date.
    """
    return {
        name: notices.QueueLoad(load.pending, ratio=load.ratio)
        for name, load in known.items()
    }


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


def read_ratio(notice: notices.OwnerNotice, queue: str) -> float:
    """Return a queue's ratio of actual to declared run time, 1 if unknown."""
    load = notice.loads.get(queue)
    if load is None or not load.ratio:
        return 1.0
    return estimates.clamp_ratio(load.ratio / HUNDREDTHS)


def apply_ratios(
    run_estimates: estimates.Estimates, ctx: context.Context
) -> None:
    """Have a new owner begin with the ratios in the newest notice."""
    notice = ctx.ownership.owner
    if notice is None:
        return
    ratios = {
        name: read_ratio(notice, name)
        for name, load in notice.loads.items()
        if load.ratio
    }
    if ratios:
        run_estimates.expect_initially(ratios)
        ctx.log.note('run_times_inherited', queues=len(ratios))
