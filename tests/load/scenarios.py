"""Scenarios and shapes shared by the tests of the load generator."""

from apigateway.tools.load.scenario import (
    ClassSection,
    PlanSection,
    RunSection,
    Scenario,
    StreamSection,
    TargetsSection,
)
from apigateway.tools.load.shapes import (
    BuildUp,
    Burst,
    Constant,
    Day,
    MonthStart,
    OnOff,
    Product,
    Ramp,
    Sine,
    Steps,
    Sum,
)


def make_scenario(
    shape=None, seconds=10.0, plans=None, spells=(), gateway_count=3, cls="read", arrivals="poisson", **run
):
    return Scenario(
        run=RunSection(seconds=seconds, **run),
        classes={"read": ClassSection()},
        targets=TargetsSection(gateways=[f"127.0.0.1:{7000 + n}" for n in range(gateway_count)]),
        plans=plans or {"p": PlanSection(employers=20)},
        spells=list(spells),
        streams=[StreamSection(cls=cls, plan="p", shape=shape or Constant(rate=100.0), arrivals=arrivals)],
    )


SHAPES = [
    Constant(rate=5.0),
    Ramp(start=1.0, end=9.0, over=4.0, at_s=2.0),
    Steps(rates=[1.0, 7.0, 0.0], each=3.0),
    Burst(rate=50.0, at_s=2.0, length=0.5, every=4.0),
    OnOff(rate=8.0, on=1.0, off=2.0),
    Sine(mean=5.0, swing=0.5, period=3.0),
    Day(rate=10.0, day=6.0, low=0.2),
    BuildUp(start=1.0, end=20.0, over=12.0, day=3.0),
    MonthStart(base=2.0, peak=30.0, at_s=3.0, rise=1.0, half=2.0),
]
SHAPES += [Sum(of=SHAPES[:4]), Product(of=[SHAPES[0], Sine(mean=1.0, swing=1.0, period=5.0)])]
