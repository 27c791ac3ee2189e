// Package entry answers the requests of callers: it finds the route and the
// team, counts the request against the team's rate, and sends it to an owner.
//
// A request is first offered to an owner, which reserves a slot or refuses at
// once. Only after that does the entry commit. Everything before the commit is a
// true "not run"; after it, a request that is not idempotent is never sent again.
package entry
