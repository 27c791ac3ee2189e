// Package ratelimit implements a rate limit and burst per team that hold across
// all nodes of the fleet.
//
// The limit of a team (Limit) is divided into shares in parts per million that
// sum to at most FullShare. A Holder on each entry node serves requests from
// local token buckets with a rate of rate*share and a capacity of burst*share.
// One node is the coordinator of the team (the home node in messages, logs and
// metrics). Its Ledger keeps the unallocated fraction in a bucket from which
// entry nodes request individual tokens. Another node, the standby coordinator
// (the deputy in messages and logs), holds a standby share from which it serves
// token requests while the coordinator is unavailable.
//
// Shares do not expire, and only their holder reduces them. An increase of a
// share adds capacity but no tokens, and a reduction discards the tokens above
// the new capacity. As long as the shares sum to at most FullShare at all
// times, the number of requests admitted in any interval T is at most rate*T +
// burst.
//
// Every report of a holder carries a sequence number from a single counter. A
// holder applies a response only if it refers to the last report sent for that
// team, and only once. A report therefore states the exact share, and the
// coordinator counts the larger of the reported and the returned share until
// the next report arrives. Lost, duplicated and reordered messages only delay a
// change.
//
// A coordinator that takes over a partition starts without an unallocated
// fraction. It collects the shares from reports and uses the remainder after
// every member has reported. Reports sent under a membership version older than
// the takeover are ignored, because an intermediate coordinator may have
// increased the share.
//
// Holder and Ledger take the time as an argument. Time between two calls counts
// only up to MaxClockStep: a longer gap indicates a suspended process or a
// clock jump and adds no tokens. Holder and Ledger are not safe for concurrent
// use.
package ratelimit
