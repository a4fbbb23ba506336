"""Test servers, scenarios, demo and load generators; not installed on entry VMs."""
