// Package ejection decides which backend servers of a service are out of use
// without going below the floor of the service.
//
// The service home keeps Permits. Every report of an owner goes into Observe,
// Decide compares the judgements with the floor, and Order gives the order that
// travels back with the answer to the report. Only an order to eject or to try
// is a permit: the owner's Holder obeys it for Expiry from the time at which
// the report was sent, so a permit ends without a message when the home is gone.
//
// A permit counts against the floor until the owner reports that it obeys no
// more, or until Expiry plus the clock rate error has passed. A server without
// a report in the last ReportTimeout counts as lost capacity. When capacity
// falls or the floor rises, the least bad servers return.
//
// All types are deterministic, take the time as an argument, start no goroutine
// and are not safe for concurrent use.
package ejection
