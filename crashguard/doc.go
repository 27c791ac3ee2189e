// Package crashguard stops requests that crash every backend server that runs
// them.
//
// The Owner of a backend server remembers the fingerprints in flight. When the
// connection is lost and a new incarnation follows, it reports them to the
// service home. The Home counts crashes per fingerprint. A fingerprint seen in
// one crash is a suspect and runs alone. A suspect whose server crashes while it
// runs alone is convicted and refused for Expiry. A suspect that completes alone
// is cleared. A second crash beside other requests does not convict, because a
// frequent innocent request is in flight at many crashes.
//
// Both types take the time as an argument. The caller holds their lock.
package crashguard
