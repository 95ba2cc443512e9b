# Settings of edge and planner. Times are in seconds, memory in units of 1 GiB.
# Except for tenant, class and kind, each key below has its default value.

tenant "default" {
  share       = 1.0  # fraction of the service
  quota_per_s = 100  # new tasks per second within the share
}

# Classes, by priorityClassName; the first one applies to Pods without one.
class "termin-web" {
  aim         = 0.7    # a start within this time has its full worth
  deadline    = 6      # how long owners wait for a placement
  effect      = "safe" # a second run does no harm; others: keyed, unsafe
  worth       = 1
  start_worth = 10
  priority    = 0
  spread      = "node" # at most spread_most tasks of a service per node (or rack, zone), for each planner
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

# Node types, by the label node.kubernetes.io/instance-type.
kind "std-24" {
  cores  = 24
  memory = 48
}

kind "gross-48" {
  cores  = 48
  memory = 96
}

nodes {
  admit_cores  = 2.5  # accepted Pods request at most this multiple of a node's cores
  admit_memory = 1.2  # and at most this multiple of its memory
  lists_free   = true # the node list contains unclaimed cores and memory
  reports      = true # responses of nodes contain a load report
  reports_use  = true # with what is not in use (false: with what is not requested)
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
  open_most        = 5000    # tasks without an outcome; further creates are rejected with 429
  planner_most     = 500     # of them at one planner; further tasks are queued at the edge
  connections_most = 4096
  body_most        = 3145728
  head_timeout     = 10
  body_timeout     = 30
  history          = 16384   # changes of a resource that watches can start from
  objects_most     = 200000
  bookmark_every   = 15
  planner_patience = 2       # a planner that is silent for this long is lost
  one_home         = false   # tasks of a service go to one planner while it is connected
}

planner {
  planners         = 1       # number of planners that share the nodes
  reasons          = true    # planners tell edges why their tasks are pending
  node_connections = 16
  step_most        = 512
  edge_patience    = 2
}

owner {
  again_first = 1.5 # first backoff after a rejected or failed attempt
  again_most  = 60
  again_lost  = 0.2 # backoff after a lost node or a migration
  settle      = 3   # delay before planners are queried about an unsafe task that may have run
}

# fleet {                                  # discovery of edges and planners; off without this block
#   cluster      = "tidespur"              # messages of other clusters are ignored
#   listen       = "127.0.0.1:7001"        # UDP address for gossip
#   join         = ["127.0.0.1:7001", "127.0.0.1:7002"] # members to join; one that answers is enough
#   members_most = 1024
# }

# Storage for state that survives a restart; without this block, state is in memory only.
# durable {
#   dir = "/var/lib/tidespur"
# }

# Replicated log with leases; off without this block.
# ledger {
#   term   = 6
#   drift  = 0.01
#   voters = {
#     edge-0 = "127.0.0.1:7101"
#   }
# }
