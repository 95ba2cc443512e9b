# Scenario of the demo: load when new appointments are released, while a rack is killed and restarted cold.
clients = 10
seconds = 12
rest    = 30

work "termin" {
  class  = "termin-web"
  jobs   = 60
  pods   = [1, 4]
  shapes = [[0.5, 1], [1, 2.5], [1.5, 1.5]]
  life   = 4
}

work "abgleich" {
  class  = "slot-abgleich"
  jobs   = 4
  pods   = [1, 1]
  shapes = [[8, 16]]
  life   = 5
}

trouble "a rack dies and comes back cold" {
  kind    = "crash"
  at      = 6
  seconds = 4
  share   = 0.25
  rack    = true
}
