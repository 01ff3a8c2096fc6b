"""Small stand-ins for the platform, the targets and the network, for tests and measurements."""
