Feature: A serving node beside an odd entry in the store
  Guards against the second report of the incident LOST: every node that read one odd entry stopped following the store for good,
  as did one that started while it was there.

  Scenario Outline: <key> gets <value> while a node <runs>: the node goes on following the store
    Given a serving node that <runs> when <key> gets <value>
    Then a later upstream and a later configuration take effect, and callers are served
    And the odd entry is logged with its key and revision, and counted
    When the odd entry is removed
    Then a later upstream and a later configuration take effect, and callers are served

    Examples: entries that ended the thread
      | key             | value                            | runs                |
      | servers/odd     | 2,000 nested lists               | runs                |
      | servers/odd     | 2,000 nested lists               | starts afterwards   |
      | servers/odd     | 2,000 nested lists               | follows a watcher   |
      | servers/odd     | 200,000 nested lists             | runs                |
      | servers/odd     | 200,000 nested lists             | starts afterwards   |
      | servers/odd     | 200,000 nested lists             | follows a watcher   |
      | servers/odd     | 3,000 nested objects             | runs                |
      | servers/odd     | coldRemainingMs 1e300            | runs                |
      | servers/odd     | coldRemainingMs 1e300            | starts afterwards   |
      | servers/odd     | coldRemainingMs 1e300            | follows a watcher   |
      | servers/odd     | coldRemainingMs -1e18            | runs                |
      | servers/plain-2 | coldRemainingMs 1e300            | runs                |
      | servers/plain-2 | 2,000 nested lists               | follows a watcher   |
      | nodes/odd       | 2,000 nested lists               | runs                |
      | nodes/odd       | 2,000 nested lists               | starts afterwards   |
      | nodes/odd       | 3,000 nested objects             | follows a watcher   |
      | op/config       | 2,000 nested lists               | runs                |
      | op/config       | 3,000 nested objects             | follows a watcher   |
      | op/config       | 200,000 nested lists             | runs                |

    Examples: other entries that no node can use
      | key             | value                            | runs                |
      | servers/odd     | bare nested lists                | runs                |
      | servers/odd     | bytes                            | starts afterwards   |
      | servers/odd     | null                             | follows a watcher   |
      | nodes/odd       | peer nowhere                     | runs                |
      | nodes/odd       | peer 10.0.0.1:99999              | starts afterwards   |
      | op/config       | bytes                            | runs                |

  Scenario: a node that starts beside an odd configuration and no peer is not ready until a good one is written
    Given stand-ins for the platform whose op/config is odd
    When a node is started
    Then the node is not ready, and its threads live
    When a configuration is written
    Then callers are served

  Scenario: a node that starts beside an odd configuration takes the last good one from a peer
    Given a serving node that runs when op/config gets 2,000 nested lists
    When another node is started
    Then a later upstream and a later configuration take effect, and callers are served
