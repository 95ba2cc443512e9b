# Many short tasks of a web service and some large tasks that must not run twice, while a rack is killed and restarted
# cold, nodes are suspended, responses are lost, a node drains, a planner is killed and the registry is suspended.
nodes    = 16
planners = 3
clients  = 20
seconds  = 20
rest     = 45

work "web" {
  class  = "termin-web"
  jobs   = 150
  pods   = [1, 5]
  shapes = [[0.5, 1], [1, 2.5], [1.5, 1.5]]
  life   = 4
}

work "abgleich" {
  class  = "slot-abgleich"
  jobs   = 12
  pods   = [1, 2]
  shapes = [[8, 16], [14, 22]]
  life   = 6
}

trouble "a rack dies" {
  kind    = "crash"
  at      = 5
  seconds = 4
  share   = 0.2
  rack    = true
}

trouble "standstills" {
  kind    = "pauses"
  at      = 8
  seconds = 6
  share   = 0.3
}

trouble "answers lost" {
  kind     = "answer-lost"
  at       = 3
  seconds  = 8
  share    = 0.3
  strength = 0.4
}

trouble "a node drains" {
  kind    = "drain"
  at      = 10
  seconds = 6
  share   = 0.1
}

trouble "a planner is killed" {
  kind    = "kill-planner"
  at      = 12
  seconds = 2
}

trouble "the register stalls" {
  kind    = "register-down"
  at      = 13
  seconds = 4
}
