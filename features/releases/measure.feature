Feature: Measurement of releases
  Figures in docs/CAPACITY.md come from this module; they must not depend on chance.

  Scenario: sizes are the same for the same seed and grow with the configuration
    Then releases scale measured twice with seed 7 has equal sizes
