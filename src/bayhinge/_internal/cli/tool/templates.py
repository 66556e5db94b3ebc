"""``bayhinge templates``: the templates of client accounts."""

from bayhinge._internal.cli.tool.config_commands import build_app
from bayhinge._internal.models.accounts import ConfigKind

app = build_app(ConfigKind.TEMPLATE, "templates")
