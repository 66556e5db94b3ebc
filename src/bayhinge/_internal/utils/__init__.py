"""General helpers that don't depend on other packages of the project."""
