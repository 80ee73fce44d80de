"""Steps for node settings."""

import tempfile
from functools import reduce
from pathlib import Path

import yaml
from behave import given, then, when

from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.settings.node import platform_settings, read_node_settings

COMPLETE_SETTINGS = """
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


@given("complete node settings")
def complete_settings(context):
    context.settings_text = COMPLETE_SETTINGS


@given('the settings key "{key}" is {value}')
def set_key(context, key, value):
    document = yaml.safe_load(context.settings_text)
    *sections, name = key.split(".")
    section = reduce(lambda mapping, section_name: mapping[section_name], sections, document)
    if value == "missing":
        del section[name]
    else:
        section[name] = yaml.safe_load(value)
    context.settings_text = yaml.safe_dump(document)


@when("the settings are read")
def read_settings(context):
    context.mistakes = []
    try:
        context.settings = read_node_settings(context.settings_text, "node.yaml", POLICIES)
    except InvalidDocumentError as error:
        context.mistakes = list(error.mistakes)


@when("the settings are read from")
def read_settings_text(context):
    context.settings_text = str(context.text)
    read_settings(context)


@then("the settings have no mistakes")
def check_no_mistakes(context):
    assert context.mistakes == [], context.mistakes


@then('the settings value "{key}" is "{value}"')
def check_value(context, key, value):
    actual = reduce(getattr, key.split("."), context.settings)
    assert str(actual) == value, actual


@then("the reported mistakes are")
def check_mistakes(context):
    expected = [(f"node.yaml:{row['line']}: {row['key']}: ", row["text"]) for row in context.table]
    assert len(context.mistakes) == len(expected), "\n".join(context.mistakes)
    for message, (prefix, text) in zip(context.mistakes, expected, strict=True):
        assert message.startswith(prefix), (message, prefix)
        assert text in message, (message, text)


@then('the only reported mistake is at {key} and says "{text}"')
def check_only_mistake(context, key, text):
    assert len(context.mistakes) == 1, context.mistakes
    assert f": {key}: " in context.mistakes[0], context.mistakes
    assert text in context.mistakes[0], context.mistakes


@when('the settings are read with a password file that contains "{password}"')
def read_with_password_file(context, password):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "password"
        file.write_text(f"{password}\n")
        set_key(context, "platform.password_file", str(file))
        read_settings(context)
        context.adapter_settings = platform_settings(context.settings.platform)


@then('the adapter settings have the password "{password}" and their repr hides it')
def check_password(context, password):
    assert context.adapter_settings.password == password
    assert password not in repr(context.adapter_settings)
