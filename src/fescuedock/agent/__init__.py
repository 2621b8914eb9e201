"""The agent: membership, configuration and the ownership of upstreams."""
