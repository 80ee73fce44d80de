Feature: Limits of callers that no configuration should have
  Decoders refuse these limits. Guards against one that gets past them and breaks at use, so that no caller is served or no connection
  is closed any more.

  Scenario Outline: with <limit> of <time>, callers are served, and a later limit takes effect
    Given a pass-through server that gets <limit> of <time>
    When 3 callers send 2 requests each on a connection
    Then each of them is answered, and nothing is logged as an error
    When the server gets an idle limit of 0.1 s, and 2.2 s later 3 callers send 2 requests each on a connection
    Then the connections of these callers are closed

    Examples:
      | limit         | time            |
      | an idle limit | the longest     |
      | an idle limit | 900000000 days  |
      | an idle limit | -1 days         |
      | an idle limit | the shortest    |
      | a header time | the longest     |
      | a header time | the shortest    |
