"""Adapter to the hosting platform: its names, formats and protocols; makes no decisions.

The hosting platform provides the settings file, the metadata store, the leaves and the load
balancer.
"""
