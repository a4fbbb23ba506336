"""The load tool: both deployments as processes, policies compared, one table."""
