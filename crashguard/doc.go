// Package crashguard blocks poison requests, which crash every backend server
// that runs them.
//
// The Owner of a backend server records the fingerprints of the requests in
// flight. When the connection is lost and a new incarnation of the server
// follows, it reports them to the service coordinator (the home node in
// messages and metrics), which keeps a state per fingerprint. A fingerprint in
// flight at a crash becomes a suspect, and its requests run without concurrent
// requests. If the server crashes during such an isolated run, the fingerprint
// is blocked for Expiry. If the request completes in isolation, the fingerprint
// returns to the state Unknown. A second crash with concurrent requests does
// not block a fingerprint, because frequent harmless requests are in flight at
// many crashes.
//
// All types take the time as an argument and are not safe for concurrent use.
package crashguard
