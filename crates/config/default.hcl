# Settings of edge and planner. Times are seconds, memory is in units of 1 GiB.
# Each key below stands at the value that holds where it is left out, but for tenant, class and kind.

tenant "default" {
  share       = 1.0  # its fraction of the service
  quota_per_s = 100  # new tasks a second within the share
}

# Classes go by priorityClassName; the first is for Pods that name none.
class "termin-web" {
  aim         = 0.7    # a start within this earns its full worth
  deadline    = 6      # how long owners wait for a placement
  effect      = "safe" # a second start does no harm (keyed, unsafe)
  worth       = 1
  start_worth = 10
  priority    = 0
  spread      = "node" # of one service at most spread_most in one node (rack, zone), for one planner
  spread_most = 2
}

class "slot-abgleich" {
  aim         = 4.5
  deadline    = 8.5
  effect      = "unsafe"
  worth       = 3
  start_worth = 8
  priority    = 2
  spread      = "rack"
  spread_most = 3
}

# Kinds of nodes go by the label node.kubernetes.io/instance-type.
kind "std-24" {
  cores  = 24
  memory = 48
}

kind "gross-48" {
  cores  = 48
  memory = 96
}

nodes {
  admit_cores  = 2.5  # nodes accept until Pods ask for this multiple of their cores
  admit_memory = 1.2  # or this multiple of their memory
  lists_free   = true # the list carries unclaimed cores and memory
  reports      = true # answers of nodes carry their load
  reports_use  = true # as what is not in use (else what is not asked for)
  probes       = false
  max_attempts = 4
}

safety {
  answer_slack  = 0.1
  ask_within    = 10
  cold_from     = 0.15
  cold          = 18
  cold_bears    = 8
  drain_grace   = 1
  fall_multiple = 2.5
  overload_for  = 1
}

prices {
  machines          = 0
  refused           = 0.03
  moves             = 0.08
  eviction_as_moves = 2
  probe             = 0.003
  message           = 0.01
}

edge {
  open_most        = 5000    # tasks without an answer; beyond, creates get 429
  planner_most     = 500     # of them at one planner; beyond, tasks queue at the edge
  connections_most = 4096
  body_most        = 3145728
  head_timeout     = 10
  body_timeout     = 30
  history          = 16384   # changes of one resource that watches can go back
  objects_most     = 200000
  bookmark_every   = 15
  planner_patience = 2       # a planner silent for this long is lost
  one_home         = false   # tasks of one service go to one planner while that is up
}

planner {
  planners         = 1       # how many share the nodes
  reasons          = true    # edges are told why their tasks wait
  node_connections = 16
  step_most        = 512
  edge_patience    = 2
}

owner {
  again_first = 1.5 # first pause before a refused or failed task is asked for again
  again_most  = 60
  again_lost  = 0.2 # pause after a node was lost or a task was moved
  settle      = 3   # a task that may run and must not twice is looked for after this long
}

# fleet {                                  # edges and planners find each other; off without this block
#   cluster      = "tidespur"              # members of other clusters are not listened to
#   listen       = "127.0.0.1:7001"        # datagrams
#   join         = ["127.0.0.1:7001", "127.0.0.1:7002"] # others; one that answers is enough
#   members_most = 1024
# }

# What outlives edge and planner; without it all is in memory only.
# durable {
#   dir = "/var/lib/tidespur"
# }

# The fleet's memory; off without it.
# ledger {
#   term   = 6
#   drift  = 0.01
#   voters = {
#     edge-0 = "127.0.0.1:7101"
#   }
# }
