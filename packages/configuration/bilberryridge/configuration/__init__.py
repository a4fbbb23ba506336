"""Documents, their checks, the questionnaire and the settings of a daemon."""
