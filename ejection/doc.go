// Package ejection decides which backend servers of a service are ejected, such
// that the number of remaining servers does not fall below the capacity floor
// of the service.
//
// The service coordinator (the home node in messages and metrics) keeps
// Permits. Observe records every report of an owner node, Decide applies the
// assessments of the outlier detection and the floor, and Order returns the
// order for the response to the report. Orders to eject a server or to start a
// trial are permits: the Holder on the owner node applies them for Expiry from
// the time at which the report was sent, so that a permit expires without a
// message if the coordinator fails.
//
// A permit counts against the floor until the owner reports that it does not
// apply it, or until Expiry plus an allowance for the clock rate has passed. A
// server without a report within ReportTimeout does not count as capacity. When
// the capacity decreases or the floor increases, the ejected servers with the
// lowest scores return to service.
//
// All types are deterministic, take the time as an argument, start no goroutine
// and are not safe for concurrent use.
package ejection
