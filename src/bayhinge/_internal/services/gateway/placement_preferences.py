"""Derives a request's placement preference."""

from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.services.gateway.open_turn import OpenTurn

MAX_WEIGHTED_TOKENS = 10_000_000
"""Caps token counts, which callers choose; the longest history stays below it."""


def preference_of(request: RoutedRequest, turn: OpenTurn | None) -> PlacementPreference:
    """Returns the placement preference of a request and its turn, if any."""
    shared = request.parts[0] if len(request.parts) > 1 else None
    incarnation = EndpointIncarnation() if turn is None else turn.last_engine
    kept_tokens = 0
    if turn is not None and turn.history:
        tokens = sum(part.tokens for part in request.parts)
        kept_tokens = tokens * len(turn.history) // (len(turn.history) + len(request.body))
    return PlacementPreference(
        incarnation,
        request.affinity or "" if shared is None else shared.name,
        min(MAX_WEIGHTED_TOKENS, kept_tokens),
        0 if shared is None else min(MAX_WEIGHTED_TOKENS, shared.tokens),
    )
