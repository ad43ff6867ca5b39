Feature: Frames between processes

  Scenario: Every message is decoded as it was encoded
    Then any batch of messages is unchanged by encoding and decoding

  Scenario: A stream split anywhere yields the same messages
    Then any split of a stream of frames yields the same messages

  Scenario: Garbage raises no exception other than a frame error
    Then any garbage bytes are refused with a frame error or ignored

  Scenario: A newer release may add fields and messages
    Then a frame with unknown fields and messages yields the known ones

  Scenario: An older release may lack fields and messages
    Then a frame without newer fields yields their defaults
    And an older release reads the fields that it knows

  Scenario: Fields that another release writes at their defaults are read
    Then a frame with fields at their defaults reads as one without them

  Scenario: The default of an absent field never changes
    Then an absent field reads as zero, empty or none, except for these
      | message       | field       | value          |
      | CancelledTask | task        | -1             |
      | EntryAddress  | weight      | 1              |
      | EntryBeat     | interval_ms | 250            |
      | FenceReply    | newest_job_ms | -1           |
      | TaskResult    | retained    | true           |
      | TaskResult    | verdict     | "may_have_run" |

  Scenario: The structs in the package are those of its IDL files
    Then the generated module of each IDL file is up to date
