"""Stand-ins for the users' metadata store and upstreams, for tests without the users' bench."""
