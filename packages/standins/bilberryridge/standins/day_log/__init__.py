"""Causes of incomplete and late answers, from the log lines of ingress daemons.

``python -m bilberryridge.standins.day_log FILE`` counts the causes by route. Any text
before the JSON object of a line is skipped.
"""
