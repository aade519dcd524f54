Feature: What must always hold
  Every count is taken at the stand-ins, never from the router.

  Scenario: A request runs only on a version that its account allows
    Given a magnolia fleet of 3 hosts
    When account "account-9" sends 12 requests of class "tagline" to all hosts
    And account "account-9" asks host 1 for the version "caption-large-1"
    Then the last request is refused as "forbidden" and was not run
    And no run was disallowed
    And every promise held

  Scenario: A withdrawn version receives no new work
    Given a magnolia fleet of 3 hosts
    When account "account-1" sends 6 requests of class "tagline" to all hosts
    And an operator withdraws the versions "tier=large" at host 2
    And account "account-1" sends 12 requests of class "tagline" to all hosts
    Then the withdrawal was in force on 3 hosts
    And no run on a withdrawn version was new
    And every promise held

  Scenario: A host that is cut off from log and peers gives out no new work
    Given a magnolia fleet of 1 hosts
    When the log refuses every call
    And 5500 milliseconds pass
    And account "account-1" sends 1 requests of class "tagline" to all hosts
    Then the last request is refused as "configuration_stale" and was not run
    When the log answers again
    And 600 milliseconds pass
    And account "account-1" sends 1 requests of class "tagline" to all hosts
    Then the last request is answered
    And every promise held

  Scenario: A session keeps its version for its whole life
    Given a bergvik fleet of 3 hosts
    When account "account-2" begins a session of class "contract" at host 0
    And the session goes on for 6 requests over all hosts
    Then all requests of the session ran on one version
    When an operator withdraws the version of the session at host 1
    And the session goes on for 1 requests over all hosts
    Then the last request is refused as "session_version_withdrawn" and was not run
    And every promise held

  Scenario: A forged session token runs nothing
    Given a bergvik fleet of 2 hosts
    When account "account-2" begins a session of class "contract" at host 0
    And another account continues the session at host 1
    Then the last request is refused as "session_refused" and was not run
    And every promise held

  Scenario: Each request is billed once although answers of the log are lost
    Given a bergvik fleet of 3 hosts
    When the log loses the answers to its next 6 appends
    And account "account-0" sends 9 requests of class "repertoire" to all hosts
    And all hosts stop gracefully
    Then every answered request has one bill
    And every promise held

  Scenario Outline: A caller gets the whole answer to its own request
    Given a magnolia fleet of 2 hosts
    When engines answer with <fault> in 40 of 100 answers
    And account "account-3" sends 12 requests of class "tagline" to all hosts
    And account "account-3" streams 8 requests of class "tagline" from all hosts
    Then no answer was another's or cut off
    And every promise held

    Examples:
      | fault     |
      | DUPLICATE |
      | REORDER   |
      | FOREIGN   |
      | LATE      |
      | TRUNCATE  |
      | CUT       |
      | FAIL      |

  Scenario: A request that is refused as not run was not run
    Given a magnolia fleet of 2 hosts
    When account "account-4" sends a request with the deadline "0ms" to host 0
    Then the last request is refused as "deadline_impossible" and was not run
    When an unknown account sends a request to host 1
    Then the last request is refused as "unauthenticated" and was not run
    And every promise held

  Scenario: A charge is executed at most once, whatever its caller repeats
    Given a bergvik fleet of 3 hosts
    When the log loses the answers to its next 2 appends
    And account "account-5" sends the charge "deposit-1" to every host in turn
    Then the charge "deposit-1" was executed 1 times
    And every promise held

  Scenario: A charge whose answer was lost is not repeated
    Given a bergvik fleet of 3 hosts
    When services execute charges and lose the answers
    And account "account-5" sends the charge "deposit-2" to every host in turn
    Then the charge "deposit-2" was executed 1 times
    And the last request is refused as "duplicate_in_progress" and may have been run
    And every promise held

  Scenario: A charge that the log can't record is not run
    Given a bergvik fleet of 2 hosts
    When the log refuses every call
    And account "account-5" sends the charge "deposit-3" to every host in turn
    Then the charge "deposit-3" was executed 0 times
    And the last request is refused as "log_unavailable" and was not run
    And every promise held

  Scenario: A backend server that is leaving receives no new work after a few seconds
    Given a magnolia fleet of 2 hosts
    When the engines of version "caption-small-3" but one are leaving
    And 5000 milliseconds pass
    And account "account-6" sends 20 requests of class "tagline" to all hosts
    Then no leaving engine received one of them
    And every promise held

  Scenario: A planned stop cuts off no request in flight
    Given a magnolia fleet of 2 hosts
    When account "account-0" has 40 streams of class "caption-set" in flight at host 0
    And host 0 stops gracefully
    Then all streams in flight ended whole
    And a request to the stopping host was refused as not run
    And every promise held

  Scenario: An accepted configuration is in force everywhere within seconds and never reverts
    Given a magnolia fleet of 3 hosts
    When an operator publishes 20 changes of one class at all hosts
    Then every accepted change was in force on every host within 5000 milliseconds
    And no host went back to an earlier revision
    When a host is lost and another one starts
    Then the new host holds the newest configuration

  Scenario: Two operators race and both are told
    Given a magnolia fleet of 2 hosts
    When two operators change one class against the same revision
    Then one change is accepted and the other one is a conflict that shows the present object

  Scenario: A request that crashes servers is contained in the whole fleet
    Given a magnolia fleet of 4 hosts
    When account "account-3" resends a crashing request 20 times through all hosts, with an innocent one after each
    Then at most 2 engines crashed
    And no innocent request was refused
    And the crashing request is refused at every host as "request_braked"
    And every promise held

  Scenario: A bad candidate is returned by the fleet itself
    Given a magnolia fleet of 3 hosts with the candidate "caption-small-4" beside "caption-small-3"
    When the candidate fails 8 of 10 runs
    And an operator starts its roll-out at half of the new work
    And account "account-0" sends at most 400 requests of class "tagline" until the roll-out is returned
    Then the candidate was tried and its roll-out is recorded as returned
    And no new work reaches the candidate
    And every promise held
