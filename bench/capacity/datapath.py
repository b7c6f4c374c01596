"""CPU time of an entry for callers' requests and look-ups over HTTP."""

import trio

from bench.capacity import slopes
from bench.datapath import fleet
from bench.load import runner
from bench.load import scenario as scenarios

_COMMAND = "python -m bench.capacity --part datapath"
_RATES = (25.0, 50.0, 100.0)
_SECONDS = 5.0
_LOOKUP = "/hyssop/v1/lookup?host=shop.example&path=/read/&client=10.0.0.{n}"
_KINDS = (
    scenarios.RequestKind("reads", "GET", "/read/{n}", 0, 1.0, False),
    scenarios.RequestKind("look-ups", "GET", _LOOKUP, 0, 1.0, False),
)


def _core_percent(
    processes: fleet.Fleet, kind: scenarios.RequestKind, rate: float
) -> float:
    scenario = scenarios.Scenario(
        name=kind.name,
        seed=1,
        host=fleet.HOST,
        entries=(processes.entry,),
        look_up=False,
        arrivals=scenarios.OPEN,
        rate=rate,
        callers=64,
        seconds=_SECONDS,
        warm_up_s=0.0,
        timeout_s=10.0,
        mix=(kind,),
    )
    load_run = runner.Run(scenario)
    cpu_before_s = processes.cpu_s("entry")
    seconds = trio.run(load_run.run)
    return (processes.cpu_s("entry") - cpu_before_s) / seconds * 100


def measure() -> list[slopes.Slope]:
    """Return the slopes of CPU by request rate, on persistent connections."""
    results = []
    with fleet.Fleet() as processes:
        for kind in _KINDS:
            points = [
                slopes.Point(rate, _core_percent(processes, kind, rate))
                for rate in _RATES
            ]
            results.append(
                slopes.fit(
                    "datapath",
                    f"{kind.name}, % of a core",
                    "request a second",
                    points,
                    _COMMAND,
                )
            )
    return results
