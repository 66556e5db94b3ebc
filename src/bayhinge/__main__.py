"""Runs the command-line tool: ``python -m bayhinge``."""

from bayhinge._internal.cli.tool.main import main

if __name__ == "__main__":
    main()
