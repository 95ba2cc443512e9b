# A day on which much work waits: too few nodes for what is asked, some of them taken out of service, a rack that dies,
# a planner that is killed, one that stands still. Its point are the reasons that waiting tasks are given.
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
