"""Problems in files and stored documents, with their lines."""

import attrs


@attrs.frozen(order=True)
class Problem:
    """One problem in a file or a stored document.

    Parameters
    ----------
    file : str
        Path, or the key of a stored document.
    line : int
        From 1; 0 if the problem concerns the whole file.
    reason : str
    is_warning : bool
        Whether it is only reported and does not cause a rejection.

    Examples
    --------
    >>> str(Problem("settings.yaml", 3, "vm: must be text"))
    'settings.yaml:3: vm: must be text'
    """

    file: str
    line: int
    reason: str
    is_warning: bool = False

    def __str__(self) -> str:
        mark = "warning: " if self.is_warning else ""
        return f"{self.file}:{self.line}: {mark}{self.reason}"


Problems = tuple[Problem, ...]
