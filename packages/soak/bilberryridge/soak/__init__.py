"""Random fault injection against real daemons, and a checker of their guarantees."""
