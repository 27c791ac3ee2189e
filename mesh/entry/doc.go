// Package entry handles the requests of callers: it matches the route, authenticates
// the team, enforces the team's rate limit and forwards the request to an owner.
//
// A request is first offered to an owner, which reserves a slot or refuses the
// offer. The entry commits only after the reservation. Until the commit the request
// has certainly not run; after it, a request that is not idempotent is never
// retried.
package entry
