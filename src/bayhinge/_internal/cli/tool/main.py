"""``bayhinge``: the command-line tool. The module of a command is imported when it is used."""

import cyclopts

from bayhinge import __version__

_COMMANDS = "bayhinge._internal.cli.tool"

app = cyclopts.App(
    name="bayhinge",
    help="Operates and inspects bayhinge hosts.",
    version=__version__,
)
app.command(
    f"{_COMMANDS}.demo:demo",
    name="demo",
    help="Run a complete system with stand-ins, and stop hosts.",
)
app.command(f"{_COMMANDS}.learn:learn", name="learn", help="Demonstrate one mechanism.")
app.command(
    f"{_COMMANDS}.addresses:addresses",
    name="addresses",
    help="Print the addresses that callers should use.",
)
app.command(f"{_COMMANDS}.programs:app", name="programs", help="List, show and cancel programs.")
app.command(
    f"{_COMMANDS}.accounts:app", name="accounts", help="Create, edit and roll back client accounts."
)
app.command(f"{_COMMANDS}.templates:app", name="templates", help="Edit and roll back templates.")
app.command(
    f"{_COMMANDS}.config:app", name="config", help="Show the configuration revision of each host."
)
app.command(
    f"{_COMMANDS}.timeline:timeline",
    name="timeline",
    help="Print the events of all hosts in causal order.",
)
app.command(f"{_COMMANDS}.explain:explain", name="explain", help="Print one program's history.")
app.command(f"{_COMMANDS}.logs:app", name="logs", help="Trace a request through the logs of hosts.")
app.command(f"{_COMMANDS}.losses:losses", name="losses", help="Show where requests lost time.")
app.command(f"{_COMMANDS}.stats:stats", name="stats", help="Print counters and latencies.")
app.command(f"{_COMMANDS}.hosts:hosts", name="hosts", help="List the live hosts.")
app.command(
    f"{_COMMANDS}.endpoints:endpoints", name="endpoints", help="List engines and service endpoints."
)
app.command(
    f"{_COMMANDS}.settings:app",
    name="settings",
    help="Check a daemon's settings, or print their reference.",
)
app.command(f"{_COMMANDS}.bench:app", name="bench", help="Run the benchmarks.")
app.register_install_completion_command()


def main() -> None:
    """Entry point of ``bayhinge``."""
    app()
