Feature: A process reaches the others soon after all have lost power

  Machines return within a second of each other. What was sent to one that had
  no power yet is lost, and the operating system sends it again only after a
  second.

  Scenario Outline: An address is reached soon after its machine has power
    When an address is dialled whose machine has power after <dark> s and answers after <answer> s
    Then it is connected within <within> s of that, on one connection

    Examples:
      | dark | answer | within |
      | 0.0  | 0.01   | 0.02   |
      | 0.15 | 0.01   | 0.1    |
      | 0.41 | 0.01   | 0.12   |
      | 0.5  | 0.01   | 0.15   |
      | 1.7  | 0.01   | 0.2    |
      | 0.1  | 0.6    | 0.75   |

  Scenario: A machine that has power and does not serve yet is dialled on
    When an address is dialled whose machine has power after 0.1 s and serves after 0.8 s
    Then it is connected within 0.1 s of that, on one connection

  Scenario: What never answers is dialled for a second at a time
    When an address is dialled whose machine never has power
    Then it was dialled 10 times in its first second, and then found unreachable

  Scenario: Several attempts are answered at the same moment
    When an address is dialled that answers all attempts at 0.5 s
    Then it has one connection, and the others are closed
