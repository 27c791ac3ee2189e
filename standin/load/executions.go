package load

import "fmt"

// CheckExecutions compares orders with the number of executions per
// Idempotency-Key, summed over all backend servers, and returns one line for
// each violation: an order was executed more than once, an answered order was not
// executed, or an order was executed although every attempt was refused as not run or
// could not be sent.
func CheckExecutions(orders []Order, executions map[string]int) []string {
	var violations []string
	for _, o := range orders {
		runs := executions[o.Key]
		switch {
		case runs > 1:
			violations = append(violations, fmt.Sprintf("order %s ran %d times", o.ID, runs))
		case o.Outcome == Answered && runs == 0:
			violations = append(violations, fmt.Sprintf("order %s was answered and did not run", o.ID))
		case o.Outcome != Answered && !o.MayHaveExecuted && runs > 0:
			violations = append(violations, fmt.Sprintf("order %s was refused as not run and ran", o.ID))
		}
	}
	return violations
}
