// Package admission implements admission control for a backend server.
//
// The owner node of a backend server runs one Controller for it. The controller
// limits concurrency to the announced slots, ramps the limit up from one slot
// after a cold start, queues requests per team with weighted deficit round robin,
// and rejects a request that cannot finish before its deadline. Requests are
// rejected before dispatch only, so a rejected request has not run.
//
// The controller is event-driven and deterministic: each call takes the current
// time, and later decisions on queued tickets are returned by the calls that
// cause them. It starts no goroutine and is not safe for concurrent use. Gate is
// a wrapper that is safe for concurrent use.
//
// Invariant: after each start, running <= limit <= announced slots. A decrease of
// the limit does not stop running requests.
package admission
