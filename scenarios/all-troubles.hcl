# Every type of fault that the testbed supports, each alone first, then several at once.
nodes    = 16
planners = 3
edges    = 2
clients  = 20
seconds  = 40
rest     = 60

work "web" {
  class  = "termin-web"
  jobs   = 160
  pods   = [1, 5]
  shapes = [[0.5, 1], [1, 2.5], [1.5, 1.5]]
  life   = 4
}

work "abgleich" {
  class  = "slot-abgleich"
  jobs   = 20
  pods   = [1, 2]
  shapes = [[8, 16], [14, 22]]
  life   = 6
}

trouble "slow" {
  kind     = "slow"
  at       = 1
  seconds  = 6
  strength = 6
}

trouble "errors" {
  kind     = "fast-errors"
  at       = 3
  seconds  = 5
  strength = 0.7
}

trouble "hang" {
  kind    = "hang"
  at      = 6
  seconds = 6
}

trouble "a zone is cut" {
  kind    = "zone-cut"
  at      = 9
  seconds = 5
}

trouble "flap" {
  kind    = "flap"
  at      = 10
  seconds = 5
}

trouble "programs lost" {
  kind  = "flush"
  at    = 12
  share = 0.9
}

trouble "owners ask for all again" {
  kind  = "mass-restart"
  at    = 15
  share = 0.5
}

trouble "an edge is killed" {
  kind    = "kill-edge"
  at      = 18
  seconds = 1
}

trouble "a planner stands still" {
  kind    = "pause-planner"
  at      = 20
  seconds = 4
}

trouble "watches break" {
  kind  = "break-watches"
  at    = 22
  share = 1
}

trouble "all cores used" {
  kind    = "use-all"
  at      = 22
  seconds = 8
  share   = 0.5
}

trouble "a rack dies" {
  kind    = "crash"
  at      = 26
  seconds = 4
  rack    = true
}

trouble "answers lost" {
  kind     = "answer-lost"
  at       = 26
  seconds  = 8
  share    = 0.4
  strength = 0.5
}

trouble "standstills" {
  kind    = "pauses"
  at      = 28
  seconds = 8
  share   = 0.4
}

trouble "a planner is killed" {
  kind    = "kill-planner"
  at      = 30
  seconds = 2
}

trouble "drain" {
  kind    = "drain"
  at      = 31
  seconds = 6
}

trouble "register down" {
  kind    = "register-down"
  at      = 33
  seconds = 5
}
