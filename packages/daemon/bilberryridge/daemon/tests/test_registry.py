import ast
import pathlib

from bilberryridge.daemon import registry

ROOT = pathlib.Path(__file__).parents[5]
PAGE = ROOT / "docs" / "operators" / "metrics.md"
METHODS = {"count", "observe_s", "set_gauge"}


def recording_calls():
    """Yield file, metric name and number of labels (or None) of each recording call."""
    patterns = ("packages/*/bilberryridge/**/*.py", "platform/*.py")
    paths = [path for pattern in patterns for path in ROOT.glob(pattern)]
    for path in sorted(path for path in paths if "tests" not in path.parts):
        tree = ast.parse(path.read_text())
        constants = identifier_constants(tree)
        for item in ast.walk(tree):
            if is_recording_call(item):
                name = constants.get(ast.unparse(item.args[0]))
                if name is not None:
                    yield path.name, name, n_labels(path, item.args[1:])


def identifier_constants(tree):
    """Return string constants that are identifiers, by their source expression."""
    constants = {}
    for item in ast.walk(tree):
        if isinstance(item, ast.Constant) and str(item.value).isidentifier():
            constants[ast.unparse(item)] = item.value
    for item in tree.body:
        if isinstance(item, ast.Assign) and ast.unparse(item.value) in constants:
            constants[ast.unparse(item.targets[0])] = constants[ast.unparse(item.value)]
    return constants


def is_recording_call(item):
    is_call = isinstance(item, ast.Call) and isinstance(item.func, ast.Attribute)
    return is_call and item.func.attr in METHODS and item.args


def n_labels(path, labels):
    if labels and isinstance(labels[0], ast.Tuple):
        return len(labels[0].elts)
    # The decisions pass labels as separate arguments.
    return len(labels) if "decisions" in path.parts or not labels else None


def test_recorded_and_registered_metrics_are_the_same():
    calls = list(recording_calls())
    names = {name for _, name, _ in calls}
    assert names - registry.BY_NAME.keys() == set()
    assert registry.BY_NAME.keys() - names == set()
    wrong = [
        (file, name, n)
        for file, name, n in calls
        if n not in (None, len(registry.BY_NAME[name].labels))
    ]
    assert wrong == []


def test_operators_page_contains_the_table():
    assert registry.table() in PAGE.read_text()


def test_full_names_are_unique():
    names = [metric.full_name for metric in registry.METRICS]
    assert len(set(names)) == len(names)
