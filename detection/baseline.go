package detection

// ConsecutiveErrors is the baseline for experiments. It classifies a backend
// server as faulty after a number of consecutive failures, without comparing
// siblings.
type ConsecutiveErrors struct {
	limit       int
	consecutive map[string]int
}

// NewConsecutiveErrors returns a baseline that tolerates limit-1 consecutive
// failures.
func NewConsecutiveErrors(limit int) *ConsecutiveErrors {
	return &ConsecutiveErrors{limit: limit, consecutive: make(map[string]int)}
}

// Result records one result and reports whether the server is faulty.
func (c *ConsecutiveErrors) Result(server string, o Outcome) bool {
	switch o {
	case OK:
		c.consecutive[server] = 0
	case Canceled:
	default:
		c.consecutive[server]++
	}
	return c.consecutive[server] >= c.limit
}
