"""Time limits of the ownership protocol, in seconds."""

from __future__ import annotations

__all__ = [
    "CLOCK_RATE_MARGIN",
    "GRANT_RENEWAL_INTERVAL_S",
    "HEARTBEAT_INTERVAL_S",
    "MOVE_WAIT_S",
    "PERMISSION_TERM_S",
    "PLATFORM_RETRY_MAX_S",
    "PLATFORM_RETRY_MIN_S",
    "SERVER_SILENT_AFTER_S",
    "SUMMARY_INTERVAL_S",
    "SUSPECT_AFTER_S",
    "TICK_INTERVAL_S",
    "WATCH_TIMEOUT_S",
]

#: Interval between heartbeats to the members of the own data centre.
HEARTBEAT_INTERVAL_S = 0.1
#: A member that sent nothing for this long gets no duties.
SUSPECT_AFTER_S = 0.4
#: Longest time that a permission outlives the confirmation it is based on.
PERMISSION_TERM_S = 0.8
#: Largest difference in clock rate between two machines.
CLOCK_RATE_MARGIN = 0.02
_MOVE_WAIT_SLACK_S = 0.05
#: Wait after which no permission for an older generation can be valid.
MOVE_WAIT_S = PERMISSION_TERM_S * (1 + CLOCK_RATE_MARGIN) + _MOVE_WAIT_SLACK_S
#: Interval between renewals of a backend server's grant.
GRANT_RENEWAL_INTERVAL_S = 0.15
#: A backend server without a successful answer for this long counts as silent.
SERVER_SILENT_AFTER_S = 0.4
#: Interval between summaries exchanged by data centres.
SUMMARY_INTERVAL_S = 0.5
#: Longest interval between two ticks of the control decisions.
TICK_INTERVAL_S = 0.05
#: Bounds of the random delay before a failed call to the platform is repeated. The
#: upper one spreads the calls of all instances when the platform returns.
PLATFORM_RETRY_MIN_S = 0.2
PLATFORM_RETRY_MAX_S = 2.0
#: Longest wait of a watch. It also bounds the age of a contact with the platform.
WATCH_TIMEOUT_S = 5.0
