"""Stand-ins, scenarios, demo and load; never installed on an entry VM."""
