Feature: Invalid input is answered with an error that names the remedy

  Scenario Outline: A faulty document is rejected with the path and remedy of the fault
    When a <document> with <fault> is checked
    Then a fault is reported at "<path>" on line <line> with the remedy "<remedy>"

    Examples:
      | document | fault                              | path                        | line | remedy                          |
      | settings | a port of the wrong type           | httpPort                    | 5    | change the value                |
      | settings | an unknown setting                 | (document)                  | 1    | remove or rename                |
      | settings | malformed JSON                     | (document)                  | 2    | correct the syntax              |
      | tables   | a route to an unknown pool         | routes[0].pool              | 0    | add the pool first              |
      | tables   | two routes of one kind             | routes[1].kind              | 0    | remove or rename one            |
      | tables   | a guarantee larger than the limit  | pools[0].workspaces[0].limit | 0   | raise the limit                 |
      | tables   | a guarantee larger than the pool   | pools[0].workspaces         | 0    | lower the guarantees            |
      | tables   | a preemptible route not idempotent | routes[0].preemptible       | 0    | make the route idempotent       |
      | tables   | a shape without a pool             | routes[0].pool              | 0    | name the pool                   |
      | tables   | a worker in two pools              | pools[1].workers[0]         | 0    | remove the worker from one      |

  Scenario: Invalid calls of callers and operators are answered with the matching error
    Given a system of 2 gates and 1 instances
    Then these calls are answered with these errors
      | call                               | status | error               | message contains        |
      | no token                           | 401    | UnauthorizedError   | ask an operator         |
      | a wrong token                      | 401    | UnauthorizedError   | ask an operator         |
      | another workspace's name           | 404    | NotFoundError       | use the other token     |
      | an unknown kind                    | 404    | BadRequestError     | add a route             |
      | a body over the limit              | 413    | TooLargeError       | smaller body            |
      | a key with spaces                  | 400    | BadRequestError     | shorten or encode       |
      | a deadline that is not a number    | 400    | BadRequestError     | correct the value       |
      | an unknown id                      | 404    | NotFoundError       | check the id            |
      | an edit without If-Match           | 428    | BadRequestError     | send its ETag           |
      | an edit that is not JSON           | 400    | BadRequestError     | correct its syntax      |
      | an edit with an unknown pool       | 422    | InvalidDocumentError | add the pool first     |
      | an edit by a caller                | 401    | UnauthorizedError   | operatorTokens          |
      | an unknown table                   | 404    | NotFoundError       | routes and pools        |
    And 20 concurrent calls with a body over the limit are all answered 413
    And a request of one workspace is not visible to another
    And a gang larger than its workspace's limit is permanently rejected
