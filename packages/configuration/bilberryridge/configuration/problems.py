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

    Examples
    --------
    >>> str(Problem("settings.yaml", 3, "vm: must be text"))
    'settings.yaml:3: vm: must be text'
    """

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


Problems = tuple[Problem, ...]
