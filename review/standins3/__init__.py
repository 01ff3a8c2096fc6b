"""Stand-ins of the review's scripts: store, leaf, clients and a small deployment.

They use the standard library alone, so that the scripts run beside any build of the daemon.
"""
