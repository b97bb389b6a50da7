"""Identifier types: distinct for the type checker, plain values at run time."""

from typing import NewType

HostName = NewType("HostName", str)
# The daemons of one cell share claims and slots. Each occupies a numbered seat.
SeatNumber = NewType("SeatNumber", int)
DataCentreName = NewType("DataCentreName", str)
TeamName = NewType("TeamName", str)
RunnerId = NewType("RunnerId", str)
PoolName = NewType("PoolName", str)
RouteName = NewType("RouteName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)
# Identifies one start of a runner; a restarted runner has another one.
StartIdentity = NewType("StartIdentity", str)
RevisionNumber = NewType("RevisionNumber", int)
# The wall time at which a daemon started, in milliseconds.
IncarnationNumber = NewType("IncarnationNumber", int)
GenerationNumber = NewType("GenerationNumber", int)
Tier = NewType("Tier", int)

HIGHEST_TIER = Tier(1)
LOWEST_TIER = Tier(4)
