// Package admin serves the administration API of a node and holds its Go client.
//
// The API is JSON over HTTP under /v1 and admits only operators with a bearer
// token. Errors are RFC 9457 problem bodies. A change carries the comment of the
// person who asked for it and a commit id that the client chooses. The commit id
// makes a change safe to repeat: a change whose answer was lost is recognised in
// the log and not applied twice.
//
// A change is committed to the configuration log through Store and then handed
// to the node through Cluster, which reports how far it has spread. The answer
// is 200 for an accepted change, and 202 for one that is committed but not yet
// acknowledged by a quorum of attesters.
//
//	GET  /v1/configuration          canonical lines and version
//	PUT  /v1/configuration          replace the configuration by a rules file
//	POST /v1/configuration/check    check a rules file
//	POST /v1/configuration/diff     compare a rules file with the current version
//	POST /v1/configuration/deltas   apply a delta
//	PUT  /v1/zones/{name}           take an availability zone out of service or back
//	PUT  /v1/backend-servers/{name} take a backend server out of service or back
//	POST /v1/teams/{team}/keys      issue a key
//	POST /v1/keys/withdrawals       withdraw one key, or all keys of a team
//	GET  /v1/status                 the node's view of the cluster
//	GET  /v1/audit                  the audit trail, paged and filtered
package admin
