// Package admission decides which requests a backend server may run and when.
//
// The owner of a backend server keeps one Controller for it. The controller
// limits concurrency to the announced slots, ramps up from one slot after a
// cold start, queues requests per team with weighted deficit round robin, and
// refuses a request before dispatch when it cannot be served within its
// deadline. Every refusal is given before dispatch and is a true "not run".
//
// The controller is event driven and deterministic: each call passes the
// current time, and later decisions about queued tickets are returned as
// events. It starts no goroutine and is not safe for concurrent use. Gate wraps
// a controller for traffic goroutines.
//
// Invariant: a request starts only if afterwards running <= limit <= announced
// slots. A limit that falls does not stop requests that already run.
package admission
