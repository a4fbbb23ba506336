"""bilberryridge, the operators' command."""
