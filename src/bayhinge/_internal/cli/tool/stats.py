"""``bayhinge stats``: counters and latencies of all hosts."""

from typing import Any

from bayhinge._internal.cli.tool.connection import Api, Connection, print_table, run_with_api

COLUMNS = [
    "host",
    "programs",
    "running_calls",
    "journal_records",
    "journal_writes",
    "history_bytes",
    "grants",
    "rejections",
    "store_ok",
    "first_token_ms",
]


def stats(*, connection: Connection | None = None) -> None:
    """Prints the counters of each host, and its first-token latency in ms as p50/p95/p99."""
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("stats")

    rows = run_with_api(connection, query)
    if not connection.json:
        rows = [{**row, "first_token_ms": _percentiles(row["latency_ms"])} for row in rows]
    print_table(connection, rows, COLUMNS)


def _percentiles(latencies: dict[str, dict[str, float]]) -> str:
    found = latencies.get("first_token")
    if found is None:
        return "-"
    return "/".join(f"{found[name]:.0f}" for name in ("p50", "p95", "p99"))
