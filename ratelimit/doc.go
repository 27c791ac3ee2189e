// Package ratelimit holds a team to one rate and burst over the whole fleet.
//
// The promise of a team (Limit) is divided into shares in parts per million
// that sum to at most Whole. A Holder on each entry node spends its shares from
// local token buckets of rate*share and burst*share. The Ledger of the team's
// home node keeps the rest, the free fraction, in a bucket of its own from
// which entries take single tokens.
//
// Shares have no expiry and only their holder lowers them. A growing share adds
// capacity but no tokens, and a shrinking share drops the tokens above its new
// capacity. As long as the shares sum to at most Whole at every moment, the
// number of requests allowed in any interval T is at most rate*T + burst.
//
// Every report of a holder carries a sequence number from one counter. A holder
// applies an answer only if it belongs to the last report that it sent for that
// team, and only once. A report therefore states the exact share, and the home
// counts the larger of the share reported and the share answered until the next
// report arrives. Lost, duplicated and reordered messages only delay a change.
//
// A home that takes over a partition starts without a free fraction. It learns
// the shares from reports and uses the rest after every member has reported.
// Reports sent under a membership version older than the take-over are ignored,
// because they may describe a share that a home in between has enlarged.
//
// Neither type reads a clock. Time that passes between two calls counts only up
// to MaxClockStep: a longer gap is a paused process or a clock that jumped, and
// earns no tokens. Callers hold the lock of a Holder or Ledger.
package ratelimit
