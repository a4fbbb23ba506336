"""What is wrong with a file, by line."""

import attrs


@attrs.frozen(order=True)
class Problem:
    """One thing wrong with a file or a stored document.

    Parameters
    ----------
    file : str
        Path, or the key of a stored document.
    line : int
        From 1; 0 when the file as a whole is meant.
    reason : str
    is_warning : bool
        Whether it is only worth a look: nothing is refused for it.

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
