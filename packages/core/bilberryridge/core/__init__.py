"""Documents, requests and messages used by all packages."""
