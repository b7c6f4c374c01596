Feature: each entry's share of a server's connections
  A server accepts 330 connections. If each of 440 entries kept some of them,
  the last entries could open none, and their requests would fail at every
  server.

  Scenario Outline: <entries> entries stay within <connections> connections
    Then <entries> entries keep at most <connections> connections in all

    Examples:
      | entries | connections |
      | 1       | 330         |
      | 12      | 330         |
      | 63      | 390         |
      | 440     | 330         |
