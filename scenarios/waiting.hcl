# Many pending tasks: too few nodes for the load, some of them drained, a rack that is killed, a planner that is killed
# and one that is suspended. It tests the reasons that pending tasks report.
nodes    = 8
planners = 2
clients  = 10
seconds  = 24
rest     = 60

work "night" {
  class   = "slot-abgleich"
  jobs    = 24
  pods    = [1, 4]
  shapes  = [[8, 16], [14, 22]]
  life    = 5
  give_up = 15
}

work "web" {
  class   = "termin-web"
  jobs    = 30
  pods    = [4, 10]
  shapes  = [[1, 2.5], [1.5, 1.5]]
  life    = 4
  give_up = 10
}

trouble "drain" {
  kind    = "drain"
  at      = 5
  seconds = 7
  share   = 0.25
}

trouble "rack" {
  kind    = "crash"
  at      = 10
  seconds = 6
  share   = 0.25
  rack    = true
}

trouble "planner" {
  kind    = "kill-planner"
  at      = 15
  seconds = 3
  share   = 0.5
}

trouble "still" {
  kind    = "pause-planner"
  at      = 20
  seconds = 4
  share   = 0.5
}
