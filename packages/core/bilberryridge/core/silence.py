"""How long the other end of a connection may be silent before it counts as lost."""

SOUND_SILENCE_S = 2.0
"""A sound backend server may be silent for so long and go on."""
LOST_SILENCE_S = SOUND_SILENCE_S + 0.5
"""Silence after which a connection, or a stream that has begun, is given up. The margin
covers a round trip between regions and retransmissions."""
