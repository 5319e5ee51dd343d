package deploy

// BaseManifest is the text of a manifest without its groups, with the slots and
// connections of the Consortium. It declares three ranks and the request kinds
// post (a write), check (a read without a maximum staleness) and pull (a read with
// a maximum staleness of 10 s).
const BaseManifest = `service = "handicap-db"
[limits]
slots = 3
connections = 20
reserve = 4
open = "12ms"
[[rank]]
name = "urgent"
target = "200ms"
worth = 10
floor = 0.2
[[rank]]
name = "ordinary"
target = "500ms"
worth = 3
floor = 0.2
[[rank]]
name = "background"
target = "5s"
worth = 1
floor = 0.1
[[kind]]
name = "post"
rank = "urgent"
access = "write"
deadline = "8s"
[[kind]]
name = "check"
rank = "ordinary"
access = "read"
deadline = "8s"
[[kind]]
name = "pull"
rank = "background"
access = "read"
stale = "10s"
deadline = "10s"
`
