"""Translate the owner's forecast to the loads in its heartbeats, and back."""

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import forecast as forecasts
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
    """Return the loads of queues with pending jobs, a wait or a ratio.

    `ratios` are those of actual to declared run time.
    """
    loads = {name: notices.QueueLoad(n) for name, n in pending.items()}
    predictions = forecast.predictions if forecast is not None else {}
    for name, item in predictions.items():
        within, beyond = int(item.within * TENTHS), int(item.beyond * TENTHS)
        if within or beyond:
            count = pending.get(name, 0)
            loads[name] = notices.QueueLoad(count, within, beyond)
    idle_left = MAX_IDLE_QUEUES
    for name, ratio in ratios.items():
        if name not in loads:
            if not idle_left:
                continue
            idle_left -= 1
            loads[name] = notices.QueueLoad(0)
        loads[name].ratio = round(ratio * HUNDREDTHS)
    return loads


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
    notice: notices.OwnerNotice, queue: str
) -> admission.Prediction:
    """Return what a notice tells of a queue."""
    load = notice.loads.get(queue)
    if load is None:
        return admission.Prediction()
    return admission.Prediction(
        load.within_wait / TENTHS, load.beyond_wait / TENTHS
    )


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
