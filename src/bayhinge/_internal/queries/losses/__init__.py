"""Analyses from the logs of many hosts where requests and programs lost time."""

from bayhinge._internal.queries.losses.models import Cause, Kind, Losses, Phase, ProgramLoss
from bayhinge._internal.queries.losses.page import loss_chart, loss_page
from bayhinge._internal.queries.losses.report import report
from bayhinge._internal.queries.losses.second_pass import losses_of

__all__ = [
    "Cause",
    "Kind",
    "Losses",
    "Phase",
    "ProgramLoss",
    "loss_chart",
    "loss_page",
    "losses_of",
    "report",
]
