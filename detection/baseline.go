package detection

// ConsecutiveErrors is the baseline: it judges a backend server bad after a
// number of failed requests in a row, without comparing siblings.
type ConsecutiveErrors struct {
	limit int
	runs  map[string]int
}

// NewConsecutiveErrors returns a baseline that allows limit-1 errors in a row.
func NewConsecutiveErrors(limit int) *ConsecutiveErrors {
	return &ConsecutiveErrors{limit: limit, runs: make(map[string]int)}
}

// Result notes one result and reports whether the server is bad.
func (c *ConsecutiveErrors) Result(server string, o Outcome) bool {
	switch o {
	case OK:
		c.runs[server] = 0
	case Canceled:
	default:
		c.runs[server]++
	}
	return c.runs[server] >= c.limit
}
