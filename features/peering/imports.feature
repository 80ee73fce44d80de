Feature: Modules that a serving node imports
  Nodes run on VMs with 200 MB and half a core, and are restarted often. Each import costs memory
  on every node and time at every start.

  Scenario Outline: a serving node without keys does not import <module>
    Then the entry point of a serving node does not import "<module>"

    Examples: modules that only optional parts need
      | module                |
      | asyncio               |
      | zmq.auth.thread       |
      | matplotlib            |
      | psutil                |
      | hypothesis            |
