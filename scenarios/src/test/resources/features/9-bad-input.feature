@bad-input
Feature: Bad input is answered with a clear error and causes no loss

  Scenario: Bad bodies, garbage and oversized frames, while a job runs
    Given a cluster with 1 agent
    When job port of 24 tasks of 300 ms is submitted at server 1
    And at least 8 tasks of job port have started
    Then these bodies are refused:
      | path         | body                                                                                                                                   | status | reason                            |
      | /v1/jobs     | {"caller":                                                                                                                             | 400    | not JSON                          |
      | /v1/jobs     | []                                                                                                                                     | 400    |                                   |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"porting","tasks":[{"payload":"x"}],"color":1}                             | 400    | color: unknown field              |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":"soon","service":"porting","tasks":[{"payload":"x"}]}                                  | 400    | submittedAtMs                     |
      | /v1/jobs     | {"submissionId":"s","submittedAtMs":1,"service":"porting","tasks":[{"payload":"x"}]}                                                    | 400    | caller: value "(missing)"         |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"a b","tasks":[{"payload":"x"}]}                                           | 400    | service: value "a b"              |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"porting","tasks":[]}                                                      | 400    | tasks: value "0 tasks"            |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"porting","tasks":[{}]}                                                    | 400    | tasks[0].payload                  |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"porting","deadlineAtMs":5,"tasks":[{"payload":"x"}]}                      | 400    | deadlineAtMs: value "5"           |
      | /v1/jobs     | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"porting","tasks":[{"payload":"x"}]}                                       | 410    | submittedAtMs: value 1 is older   |
      | /v1/requests | {"caller":"c","submissionId":"s","submittedAtMs":1,"service":"porting","payload":"x"}                                                   | 400    | repeatable: value "(missing)"     |
      | /v1/settings | {"changeId":"x","baseRevision":0,"path":"/porting","key":"taskTimeoutMs","value":"5","operator":"kim"}                                  | 422    | taskTimeoutMs: value "5"          |
      | /v1/settings | {"changeId":"x","baseRevision":0,"path":"porting","key":"taskTimeoutMs","value":"50","operator":"kim"}                                  | 422    | path: value "porting"             |
    And a job of 1901 tasks is refused with status 400
    And a body of 5000000 bytes is refused with status 413
    When garbage and an oversized frame are sent to every internal port
    Then the bad frames are counted
    And every answer to port is complete
    And revision 0 is in force at every server
