"""HTTP connections of callers: limits, order of answers, planned stops.

`limits` says what one caller may take, `listening` keeps the connections,
`connection` reads the requests of one, `pipelined_request` answers each in its place.
"""

from hyssopfold.serving import limits
from hyssopfold.serving import listening
from hyssopfold.serving import pipelined_request

CutAnswerError = limits.CutAnswerError
Limits = limits.Limits
Listener = listening.Listener
PipelinePosition = pipelined_request.PipelinePosition
PLACE = pipelined_request.PLACE

__all__ = ["PLACE", "CutAnswerError", "Limits", "Listener", "PipelinePosition"]
