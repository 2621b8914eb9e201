"""Stand-ins for the platform and the upstreams, with fault injection on command."""
