Feature: Measurement of releases
  The figures in docs/CAPACITY.md come from these measurements, so they must be reproducible.

  Scenario: sizes are the same for the same seed and grow with the configuration
    Then releases scale measured twice with seed 7 has equal sizes
