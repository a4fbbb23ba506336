"""bilberryridged, the daemon of an entry VM."""
