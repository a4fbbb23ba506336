"""Settings of property tests, registered whenever hypothesis is imported.

The entry point ``hypothesis`` of this package names `register`, so that no test file
has to load a profile.
"""

import os

PROFILE_VARIABLE = "BILBERRYRIDGE_PROPERTY_PROFILE"
REPEATABLE, FRESH = "repeatable", "fresh"


def register() -> None:
    """Register the profiles and load the one that the environment names.

    The profile ``repeatable`` gives the same examples on every run; ``fresh`` draws
    them from the seed on the command line.
    """
    # The import of hypothesis imports this module.
    import hypothesis

    hypothesis.settings.register_profile(
        REPEATABLE, derandomize=True, database=None, deadline=None
    )
    hypothesis.settings.register_profile(
        FRESH, derandomize=False, database=None, deadline=None
    )
    hypothesis.settings.load_profile(os.environ.get(PROFILE_VARIABLE, REPEATABLE))
