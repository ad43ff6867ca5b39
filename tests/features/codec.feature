Feature: Frames between processes

  Scenario: Every message comes back as it was sent
    Then any batch of messages survives encoding and decoding

  Scenario: A stream split anywhere yields the same messages
    Then any split of a stream of frames yields the same messages

  Scenario: Garbage is refused and raises nothing but a frame error
    Then any garbage bytes are refused with a frame error or ignored

  Scenario: A newer release may add fields and messages
    Then a frame with unknown fields and messages yields all that is known

  Scenario: An older release may lack fields and messages
    Then a frame without newer fields yields their defaults
    And an older release reads the fields that it knows

  Scenario: A release that writes every field is understood
    Then a frame with fields at their defaults reads as one without them

  Scenario: The value that an absent field stands for never changes
    Then an absent field reads as zero, empty or none, but for these
      | message       | field       | value          |
      | CancelledTask | task        | -1             |
      | EntryAddress  | weight      | 1              |
      | EntryBeat     | interval_ms | 250            |
      | FenceReply    | newest_job_ms | -1           |
      | TaskResult    | retained    | true           |
      | TaskResult    | verdict     | "may_have_run" |
