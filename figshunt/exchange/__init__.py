"""Decides which hosts exchange statuses and notices, and through which relays."""

from figshunt.exchange._bundle import Bundle, BundlePurpose, Outgoing
from figshunt.exchange._members import Member, Members
from figshunt.exchange._status_exchange import StatusExchange

__all__ = [
    "Bundle",
    "BundlePurpose",
    "Member",
    "Members",
    "Outgoing",
    "StatusExchange",
]
