"""Steps for node settings."""

import tempfile
from functools import reduce
from pathlib import Path

import yaml
from behave import given, then, when

from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.settings.node import platform_settings, read_node_settings

COMPLETE = """
node: node-1
zone: quito
http: {listen: "0.0.0.0:8080", advertised: "10.0.0.1:8080", tls_certificate: c.pem, tls_key: k.pem}
peer:
  listen: "0.0.0.0:9090"
  advertised: "10.0.0.1:9090"
  seeds: ["10.0.0.2:9090", "[fd00::2]:9090"]
  curve_secret_key: node.key_secret
  curve_public_keys: keys
platform:
  adapter: etcd
  endpoints: ["https://10.0.0.3:2379"]
  username: node
  password_file: password
  ca_file: ca.pem
operators:
  key_hashes: ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
limits: {body: 2MiB, headers: 16kB, connections: 500, idle_time: 10s}
membership: {heartbeat: 250ms}
routing_policy: round-robin
log: {format: json, level: info}
"""
POLICIES = {"routing_policy": ("chervilrack", "round-robin")}


@given("settings complete")
def complete(context):
    context.settings_text = COMPLETE


@given('settings key "{key}" is {value}')
def set_key(context, key, value):
    tree = yaml.safe_load(context.settings_text)
    *sections, name = key.split(".")
    section = reduce(lambda node, part: node[part], sections, tree)
    if value == "missing":
        del section[name]
    else:
        section[name] = yaml.safe_load(value)
    context.settings_text = yaml.safe_dump(tree)


@when("settings are read")
def read(context):
    context.mistakes = []
    try:
        context.settings = read_node_settings(context.settings_text, "node.yaml", POLICIES)
    except InvalidDocumentError as error:
        context.mistakes = list(error.mistakes)


@when("settings are read from")
def read_text(context):
    context.settings_text = str(context.text)
    read(context)


@then("settings have no mistakes")
def no_mistakes(context):
    assert context.mistakes == [], context.mistakes


@then('settings value "{key}" is "{value}"')
def value_is(context, key, value):
    found = reduce(getattr, key.split("."), context.settings)
    assert str(found) == value, found


@then("settings mistakes are")
def mistakes_are(context):
    expected = [(f"node.yaml:{row['line']}: {row['key']}: ", row["text"]) for row in context.table]
    assert len(context.mistakes) == len(expected), "\n".join(context.mistakes)
    for found, (start, text) in zip(context.mistakes, expected, strict=True):
        assert found.startswith(start), (found, start)
        assert text in found, (found, text)


@then('settings only mistake is at {key} and says "{text}"')
def only_mistake(context, key, text):
    assert len(context.mistakes) == 1, context.mistakes
    assert f": {key}: " in context.mistakes[0], context.mistakes
    assert text in context.mistakes[0], context.mistakes


@when('settings are read with a password file that holds "{word}"')
def read_with_password(context, word):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "password"
        file.write_text(f"{word}\n")
        set_key(context, "platform.password_file", str(file))
        read(context)
        context.adapter_settings = platform_settings(context.settings.platform)


@then('settings give the adapter the password "{word}" and do not show it')
def password_is(context, word):
    assert context.adapter_settings.password == word
    assert word not in repr(context.adapter_settings)
