"""HTTP connections of callers: limits, order of answers, planned stops.

`limits` says what one caller may take, `listening` keeps the connections,
`connection` reads the requests of one, `turns` answers each in its place.
"""

from hyssopfold.serving.limits import CutAnswerError
from hyssopfold.serving.limits import Limits
from hyssopfold.serving.listening import Listener
from hyssopfold.serving.turns import PLACE
from hyssopfold.serving.turns import Place

__all__ = ["PLACE", "CutAnswerError", "Limits", "Listener", "Place"]
