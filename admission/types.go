package admission

import "time"

// State is the service state of a backend server on its owner node.
type State uint8

const (
	// Serving accepts all requests.
	Serving State = iota
	// Leaving rejects new requests while running requests finish.
	Leaving
	// OutOfService rejects new requests because an operator disabled the backend
	// server.
	OutOfService
	// Ejected rejects new requests while an ejection permit is held.
	Ejected
	// Trial accepts idempotent requests with one slot before re-admission.
	Trial
)

// String returns the name of the state, which is also its refusal code.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case OutOfService:
		return "out-of-service"
	case Ejected:
		return "ejected"
	case Trial:
		return "trial"
	default:
		return "unknown"
	}
}

// Refusal codes that do not correspond to a State.
const (
	CodeNotAnnounced       = "not-announced"
	CodeQueueFull          = "queue-full"
	CodeDeadline           = "deadline"
	CodeReservationExpired = "reservation-expired"
	CodeCanceled           = "canceled"
	// CodeBusy rejects a NoWait request while no slot is free.
	CodeBusy = "busy"
	// CodeTrial rejects a request that is not idempotent during a trial.
	CodeTrial = "trial"
)

// Ticket identifies a request of one controller. Tickets are not reused.
type Ticket uint64

// Request describes an offered request.
type Request struct {
	// Team is the team that sends the request.
	Team string
	// Weight is the scheduling weight of the team; 0 is treated as 1.
	Weight uint32
	// Deadline is the time by which the response is required; zero means none.
	Deadline time.Time
	// StartBy is the time by which a waiting request must start; zero selects
	// Deadline.
	StartBy time.Time
	// Idempotent requests may run during a trial.
	Idempotent bool
	// Exclusive requests run without other requests on the backend server.
	Exclusive bool
	// TwoPhase requests only reserve a slot until Commit.
	TwoPhase bool
	// NoWait requests are rejected if no slot is free.
	NoWait bool
	// Urgent requests are served before all others. They are nested calls of
	// backend servers, whose own requests hold slots until these calls complete.
	Urgent bool
}

// Result is the outcome of a request that held a slot.
type Result uint8

const (
	// Success is a complete and correct response.
	Success Result = iota
	// Failure is any other response, a timeout or a lost connection.
	Failure
	// Shed is a rejection by the backend server before execution.
	Shed
	// Canceled means that the caller canceled the request. It does not affect the
	// concurrency limit.
	Canceled
)

// Outcome is the kind of a decision.
type Outcome uint8

const (
	// Admitted means that the request holds a slot and may start, or, if it is
	// two-phase, that its slot is reserved.
	Admitted Outcome = iota
	// Queued means that a later call returns the decision.
	Queued
	// Refused means that the request has not run and will not run.
	Refused
)

// Decision is the decision on one ticket.
type Decision struct {
	Ticket  Ticket
	Outcome Outcome
	// Code is the machine-readable reason of a rejection.
	Code string
	// RetryAfter is the time after which a rejected request may be offered again.
	RetryAfter time.Duration
}

// Load is the load information that responses carry to the entry nodes.
type Load struct {
	InFlight, Queued, Limit uint32
	// Weight is the load-balancing weight; 0 means that no request is accepted.
	Weight uint32
}

// Announcement holds the capacity that a backend server announces.
type Announcement struct {
	// Slots is the maximum number of concurrent requests; 0 means that the
	// announcement has expired.
	Slots int
	// Connections is the maximum number of connections; 0 means no limit.
	Connections int
	// Incarnation changes with each start of the backend server.
	Incarnation string
	// Cold means that the backend server has just started.
	Cold bool
}

// startBy returns the time by which a waiting request must start.
func (r Request) startBy() time.Time {
	if r.StartBy.IsZero() {
		return r.Deadline
	}
	return r.StartBy
}
