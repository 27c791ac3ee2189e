package load

import "fmt"

// CheckExecutions compares orders with the number of executions per
// Idempotency-Key, summed over all backend servers, and returns one line for
// each broken promise: an order ran more than once, an answered order did not
// run, or an order ran although every attempt was refused
// as not run or could not be sent.
func CheckExecutions(orders []Order, executions map[string]int) []string {
	var broken []string
	for _, o := range orders {
		n := executions[o.Key]
		switch {
		case n > 1:
			broken = append(broken, fmt.Sprintf("order %s ran %d times", o.ID, n))
		case o.Outcome == Answered && n == 0:
			broken = append(broken, fmt.Sprintf("order %s was answered and did not run", o.ID))
		case o.Outcome != Answered && !o.Uncertain && n > 0:
			broken = append(broken, fmt.Sprintf("order %s was refused as not run and ran", o.ID))
		}
	}
	return broken
}
