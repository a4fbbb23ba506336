"""Load tool: compares policies on example deployments run as processes."""
