"""``bayhinge``: the command-line tool. Each command's module is loaded when it is used."""

import cyclopts

from bayhinge import __version__

_COMMANDS = "bayhinge._internal.cli.tool"

app = cyclopts.App(
    name="bayhinge",
    help="Drives and explains bayhinge hosts.",
    version=__version__,
)
app.command(f"{_COMMANDS}.demo:demo", name="demo")
app.command(f"{_COMMANDS}.addresses:addresses", name="addresses")
app.command(f"{_COMMANDS}.programs:app", name="programs")
app.command(f"{_COMMANDS}.accounts:app", name="accounts")
app.command(f"{_COMMANDS}.templates:app", name="templates")
app.command(f"{_COMMANDS}.config:app", name="config")
app.command(f"{_COMMANDS}.timeline:timeline", name="timeline")
app.command(f"{_COMMANDS}.explain:explain", name="explain")
app.command(f"{_COMMANDS}.stats:stats", name="stats")
app.command(f"{_COMMANDS}.hosts:hosts", name="hosts")
app.command(f"{_COMMANDS}.endpoints:endpoints", name="endpoints")
app.command(f"{_COMMANDS}.settings:app", name="settings")
app.command(f"{_COMMANDS}.bench:app", name="bench")
app.register_install_completion_command()


def main() -> None:
    """Entry point of ``bayhinge``."""
    app()
