// Package admin serves the admin API of a node and holds its Go client.
//
// The API is JSON over HTTP under /v1. Every request must be authenticated with
// the bearer token of an operator. Errors are RFC 9457 problem bodies. A change
// carries a comment that names its requester and reason, and a commit id that the
// client generates. The commit id makes a change idempotent: when a change is
// retried after a lost response, its earlier commit is found in the log and the
// change is not applied twice.
//
// A change is committed to the configuration log through Store and then published
// to the cluster through Cluster, which reports how many nodes have acknowledged
// and applied it. The response status is 200 for an accepted change, and 202 for
// one that is committed but not yet acknowledged by a quorum of attesters.
//
//	GET  /v1/configuration          canonical lines and version
//	PUT  /v1/configuration          replace the configuration by a rules file
//	POST /v1/configuration/check    check a rules file
//	POST /v1/configuration/diff     compare a rules file with the current version
//	POST /v1/configuration/deltas   apply a delta
//	PUT  /v1/zones/{name}           take an availability zone out of service or back into service
//	PUT  /v1/backend-servers/{name} take a backend server out of service or back into service
//	POST /v1/teams/{team}/keys      issue a key
//	POST /v1/keys/withdrawals       withdraw one key, or all keys of a team
//	GET  /v1/status                 the node's view of the cluster
//	GET  /v1/audit                  the audit trail, paged and filtered
package admin
