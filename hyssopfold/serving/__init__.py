"""HTTP connections of callers: limits, order of answers, planned stops.

`limits` says what one caller may take, `listening` keeps the connections,
`connection` reads the requests of one, `turns` answers each in its place.
"""

from hyssopfold.serving import limits
from hyssopfold.serving import listening
from hyssopfold.serving import turns

CutAnswerError = limits.CutAnswerError
Limits = limits.Limits
Listener = listening.Listener
Place = turns.Place
PLACE = turns.PLACE

__all__ = ["PLACE", "CutAnswerError", "Limits", "Listener", "Place"]
