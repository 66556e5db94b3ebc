"""Translates between the users' platform and the product; it decides nothing.

Only this package knows the platform's names: fields of its settings file, kinds of objects,
headers and paths. Nothing imports it but the programs that it starts.
"""
