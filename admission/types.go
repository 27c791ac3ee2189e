package admission

import "time"

// State is the service state of a backend server at its owner.
type State uint8

const (
	// Serving accepts every request.
	Serving State = iota
	// Leaving accepts nothing; running requests finish.
	Leaving
	// OutOfService accepts nothing by order of an operator.
	OutOfService
	// Ejected accepts nothing while an ejection permit is held.
	Ejected
	// Trial runs idempotent requests at one slot before re-admission.
	Trial
)

// String returns the name of the state, which is also the refusal code.
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

// Refusal codes that do not stem from a State.
const (
	CodeNotAnnounced       = "not-announced"
	CodeQueueFull          = "queue-full"
	CodeDeadline           = "deadline"
	CodeReservationExpired = "reservation-expired"
	CodeCanceled           = "canceled"
	// CodeBusy refuses a request that does not wait while no slot is free.
	CodeBusy = "busy"
	// CodeTrial refuses a request that is not idempotent during a trial.
	CodeTrial = "trial"
)

// Ticket identifies an offered request at one controller. Tickets are never reused.
type Ticket uint64

// Request describes an offered request.
type Request struct {
	// Team owns the request.
	Team string
	// Weight is the share of the team in the queue; 0 counts as 1.
	Weight uint32
	// Deadline is the time after which the answer is useless; zero means none.
	Deadline time.Time
	// StartBy is the time by which a waiting request must start; zero means Deadline.
	StartBy time.Time
	// Idempotent requests may run during a trial.
	Idempotent bool
	// Exclusive requests run alone on the backend server.
	Exclusive bool
	// TwoPhase requests only reserve a slot until Commit.
	TwoPhase bool
	// NoWait requests are refused if no slot is free.
	NoWait bool
	// Urgent requests go before all others in the queue. They are calls of backend
	// servers, whose own requests hold slots until the calls are answered.
	Urgent bool
}

// Result is the outcome of a request that held a slot.
type Result uint8

const (
	// Success is a complete and correct answer.
	Success Result = iota
	// Failure is any other answer, a timeout or a lost connection.
	Failure
	// Shed is a refusal by the backend server before execution.
	Shed
	// Canceled means that the caller gave up; it says nothing about the server.
	Canceled
)

// Outcome tells what happens to a ticket.
type Outcome uint8

const (
	// Admitted means that the request holds a slot and may start, or, if it is
	// two-phase, that its slot is reserved.
	Admitted Outcome = iota
	// Queued means that a later event decides.
	Queued
	// Refused means that the request did not run and will not run.
	Refused
)

// Decision is the outcome of one ticket.
type Decision struct {
	Ticket  Ticket
	Outcome Outcome
	// Code is the short reason of a refusal.
	Code string
	// RetryAfter is the time after which a refused request may be offered again.
	RetryAfter time.Duration
}

// Load is the state that every reply carries to the entries.
type Load struct {
	InFlight, Queued, Limit uint32
	// Weight 0 means that no new work is taken.
	Weight uint32
}

// Announcement is what a backend server states about itself.
type Announcement struct {
	// Slots is the number of requests that it can run at once; 0 means that the
	// announcement lapsed.
	Slots int
	// Connections is the number of connections that it accepts; 0 means no limit.
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
