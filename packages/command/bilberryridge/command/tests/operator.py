"""An operator who runs the command on a directory of documents."""

import pathlib
import shutil

import attrs
from typer import testing

from bilberryridge.command import main

EXAMPLE = pathlib.Path(__file__).parents[5] / "examples" / "lakeshore" / "documents"
TOKEN = "operators-token"


@attrs.define
class Operator:
    name: str
    directory: pathlib.Path
    open_client: object
    deployment: str = "test"

    def run(self, *args, **kwargs):
        options = ["--store", "http://127.0.0.1:1", "--deployment", self.deployment]
        options += ["--who", self.name, "--token", TOKEN]
        args = [str(arg) for arg in args]
        runner = testing.CliRunner()
        return runner.invoke(main.app, options + args, obj=self.open_client, **kwargs)

    def apply(self, *args):
        return self.run("apply", self.directory, *args)

    def edit(self, key, old, new):
        path = self.directory / f"{key}.yaml"
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, new))

    def text(self, key):
        return (self.directory / f"{key}.yaml").read_text()


def make(name, tmp_path, open_client, directory=EXAMPLE):
    shutil.copytree(directory, tmp_path / name)
    return Operator(name, tmp_path / name, open_client)
