"""Steps that read the example files with the readers of the system."""

import runpy
from pathlib import Path

from behave import then, when

from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.releases.check import read_checked_note
from chervilrack._internal.releases.state import Configuration
from chervilrack._internal.settings.node import load_node_settings

ROOT = Path(__file__).resolve().parents[2]


@when("experiments examples of {name} are rendered")
def render_examples(context, name):
    module = runpy.run_path(str(ROOT / "tools" / "generate_examples.py"))
    context.files = module["render"](load_profile(name))
    context.folder = ROOT / "examples" / name


@then("experiments examples are the committed files")
def committed_files(context):
    committed = {path.name: path.read_text() for path in context.folder.iterdir()}
    assert committed == context.files, sorted(set(committed) ^ set(context.files))


@then("experiments example release note is valid and adds {upstreams:d} upstreams")
def valid_note(context, upstreams):
    note = read_checked_note(context.files["release.yaml"], "release.yaml", Configuration())
    assert len(note.added.upstreams) == upstreams, len(note.added.upstreams)
    assert len({upstream.url for upstream in note.added.upstreams}) == upstreams


@then("experiments example settings of {nodes:d} nodes are valid and name each other")
def valid_settings(context, nodes):
    names = sorted(name for name in context.files if name.startswith("node-"))
    settings = [load_node_settings(str(context.folder / name)) for name in names]
    assert len(settings) == nodes
    peers = {entry.peer.advertised for entry in settings}
    assert len(peers) == nodes
    for entry in settings:
        seeds = set(entry.peer.seeds)
        assert seeds, entry.node
        assert seeds <= peers - {entry.peer.advertised}, entry.node
