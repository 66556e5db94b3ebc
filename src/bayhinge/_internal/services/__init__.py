"""Services of the daemon, built on the ``mode`` framework."""
