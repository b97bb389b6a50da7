"""Workloads that model the busiest mornings of the two users."""

from figshunt.replay._workload import LengthDistribution, Phase, TrafficClass, Workload
from figshunt.types import RouteName, TeamName

ADOMAKO_DURATION_MS = 150_000
TIMBERLINE_DURATION_MS = 160_000


def adomako_monday() -> Workload:
    """Return the workload of a car workshop franchise's Monday reminder run.

    From second 20 to 50 the reminder letters alone need more tokens per second
    than five engines generate, while chats and bookings continue.
    """
    return Workload(
        name="adomako-monday",
        duration_ms=ADOMAKO_DURATION_MS,
        weights_by_team={
            TeamName("accra-central"): 30.0,
            TeamName("kumasi-north"): 22.0,
            TeamName("tema-harbour"): 14.0,
            TeamName("takoradi"): 8.0,
            TeamName("tamale"): 6.0,
            TeamName("cape-coast"): 5.0,
            TeamName("ho"): 4.0,
            TeamName("koforidua"): 4.0,
            TeamName("sunyani"): 4.0,
            TeamName("obuasi"): 3.0,
        },
        classes=(
            TrafficClass(
                route=RouteName("reminder"),
                phases=(
                    Phase(0, ADOMAKO_DURATION_MS, 1.0),
                    Phase(20_000, 50_000, 24.0),
                ),
                prompt=LengthDistribution(2400, 0.35, 1100, 6000),
                output=LengthDistribution(140, 0.4, 40, 400),
                prefix_count=1,
                prefix_tokens=1024,
            ),
            TrafficClass(
                route=RouteName("follow-up"),
                phases=(Phase(0, ADOMAKO_DURATION_MS, 2.0),),
                prompt=LengthDistribution(500, 0.4, 280, 1500),
                output=LengthDistribution(45, 0.4, 10, 120),
                prefix_count=2,
                prefix_tokens=256,
            ),
            TrafficClass(
                route=RouteName("booking-chat"),
                phases=(
                    Phase(0, ADOMAKO_DURATION_MS, 2.5),
                    Phase(60_000, 100_000, 1.5),
                ),
                prompt=LengthDistribution(600, 0.5, 300, 2000),
                output=LengthDistribution(40, 0.5, 8, 150),
                prefix_count=1,
                prefix_tokens=256,
            ),
            TrafficClass(
                route=RouteName("booking"),
                phases=(
                    Phase(0, ADOMAKO_DURATION_MS, 1.5),
                    Phase(60_000, 100_000, 2.5),
                ),
                prompt=LengthDistribution(40, 0.3, 20, 100),
                is_repeatable=False,
            ),
        ),
    )


def timberline_storm() -> Workload:
    """Return the workload of a storm morning.

    Crews that can't work in the storm take their exams at the same time. From
    second 40 to 90 scoring and checklist narration together need more tokens
    per second than five engines generate.
    """
    return Workload(
        name="timberline-storm",
        duration_ms=TIMBERLINE_DURATION_MS,
        weights_by_team={
            TeamName("superior-timber"): 28.0,
            TeamName("keweenaw-logging"): 20.0,
            TeamName("huron-pulp"): 16.0,
            TeamName("state-parks"): 9.0,
            TeamName("mesabi-forestry"): 7.0,
            TeamName("apostle-arborists"): 5.0,
            TeamName("county-roads"): 5.0,
            TeamName("line-clearance"): 4.0,
            TeamName("fox-valley-trees"): 3.0,
            TeamName("ottawa-crews"): 3.0,
        },
        classes=(
            TrafficClass(
                route=RouteName("scoring"),
                phases=(
                    Phase(0, TIMBERLINE_DURATION_MS, 2.0),
                    Phase(40_000, 90_000, 12.0),
                ),
                prompt=LengthDistribution(1400, 0.35, 1060, 4000),
                output=LengthDistribution(60, 0.35, 20, 150),
                prefix_count=6,
                prefix_tokens=1024,
                prefix_by_team=False,
            ),
            TrafficClass(
                route=RouteName("coaching"),
                phases=(Phase(0, TIMBERLINE_DURATION_MS, 2.0),),
                prompt=LengthDistribution(700, 0.5, 300, 2500),
                output=LengthDistribution(90, 0.5, 15, 300),
                prefix_count=1,
                prefix_tokens=256,
            ),
            TrafficClass(
                route=RouteName("narration"),
                phases=(
                    Phase(0, TIMBERLINE_DURATION_MS, 1.0),
                    Phase(40_000, 80_000, 11.0),
                ),
                prompt=LengthDistribution(900, 0.3, 530, 2000),
                output=LengthDistribution(180, 0.4, 60, 500),
                prefix_count=8,
                prefix_tokens=512,
                prefix_by_team=False,
            ),
            TrafficClass(
                route=RouteName("roster"),
                phases=(
                    Phase(0, TIMBERLINE_DURATION_MS, 3.0),
                    Phase(40_000, 90_000, 4.0),
                ),
                prompt=LengthDistribution(20, 0.2, 10, 40),
            ),
            TrafficClass(
                route=RouteName("certificate"),
                phases=(
                    Phase(0, TIMBERLINE_DURATION_MS, 1.0),
                    Phase(90_000, 130_000, 2.0),
                ),
                prompt=LengthDistribution(60, 0.3, 30, 150),
                is_repeatable=False,
            ),
        ),
    )
