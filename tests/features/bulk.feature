Feature: Long frames to many peers
  What leaves a machine shares its connection to the network.  Long frames go
  one after the other, so that short ones need not wait behind all of them.

  # Guards against gates that fall silent behind their downloads (issue 30).
  Scenario: long frames to many peers leave one after the other
    Given links to 5 peers that take a frame when the test says so
    When a long frame is sent on each of them
    Then 1 frame is leaving
    When the peers take every frame that leaves, one by one
    Then 5 frames were taken, never more than 1 at a time

  Scenario: a short frame waits for no long one
    Given links to 5 peers that take a frame when the test says so
    When a long frame is sent on each of them
    And a short frame is sent on the last of them
    Then 1 long frame and 1 short frame are leaving

  Scenario: a peer that takes nothing does not keep others from theirs
    Given links to 2 peers that take a frame when the test says so
    And long frames wait for 20 ms at the most
    When a long frame is sent on each of them
    And nothing is taken for 200 ms
    Then 2 frames are leaving

  # The rest of a frame that has begun goes out: half of one spoils its link.
  Scenario: a frame whose sender was ended gives its turn to the next
    Given links to 3 peers that take a frame when the test says so
    When a long frame is sent on each of them
    And the sender of the first one is ended
    Then 2 frames are leaving
