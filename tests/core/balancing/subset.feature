Feature: each entry's part of a server's connections
  A server holds 330 connections. If each of 440 entries kept some, the last
  entries could open none, and their payments would fail at every server.

  Scenario Outline: <entries> entries stay within <connections> connections
    Then <entries> entries keep at most <connections> connections in all

    Examples:
      | entries | connections |
      | 1       | 330         |
      | 12      | 330         |
      | 63      | 390         |
      | 440     | 330         |
