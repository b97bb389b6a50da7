"""Identifier types: distinct for the type checker, plain values at run time."""

from typing import NewType

HostName = NewType("HostName", str)
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
StartIdentity = NewType("StartIdentity", str)
RevisionNumber = NewType("RevisionNumber", int)
IncarnationNumber = NewType("IncarnationNumber", int)
GenerationNumber = NewType("GenerationNumber", int)
Tier = NewType("Tier", int)

HIGHEST_TIER = Tier(1)
LOWEST_TIER = Tier(4)
