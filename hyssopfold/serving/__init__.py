"""HTTP/1.1 connections of callers: limits, pipelining, planned stops.

`limits` defines what callers may use, `listening` keeps the open connections,
`connection` reads the requests of one of them, and `pipelined_request` passes
each to the app and writes the answers in order. `linger` decides how long a
connection waits for its caller's close, `ending` has what happens at its end,
and `tcp_info` what the kernel knows of it.
"""

from hyssopfold.serving import limits
from hyssopfold.serving import listening
from hyssopfold.serving import pipelined_request

CutAnswerError = limits.CutAnswerError
Limits = limits.Limits
Listener = listening.Listener
FINISH_S = listening.FINISH_S
PipelinePosition = pipelined_request.PipelinePosition
PLACE = pipelined_request.PLACE
CALLER = pipelined_request.CALLER
Caller = pipelined_request.Caller

__all__ = [
    "CALLER",
    "PLACE",
    "FINISH_S",
    "Caller",
    "CutAnswerError",
    "Limits",
    "Listener",
    "PipelinePosition",
]
