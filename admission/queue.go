package admission

import "slices"

// teamQueue holds the waiting requests of one team.
type teamQueue struct {
	team    string
	weight  int
	deficit int
	visited bool
	waiting []*entry
}

// fairQueue schedules teams by weighted deficit round robin. It holds state for
// teams with waiting requests only.
type fairQueue struct {
	teams map[string]*teamQueue
	// urgent holds the requests that are served before those of the teams, in order
	// of arrival.
	urgent []*entry
	active []*teamQueue
	cursor int
	length int
}

func newFairQueue() *fairQueue {
	return &fairQueue{teams: make(map[string]*teamQueue)}
}

func (q *fairQueue) teamLength(team string) int {
	if t := q.teams[team]; t != nil {
		return len(t.waiting)
	}
	return 0
}

func (q *fairQueue) push(e *entry) {
	if e.req.Urgent {
		q.urgent = append(q.urgent, e)
		q.length++
		return
	}
	t := q.teams[e.req.Team]
	if t == nil {
		t = &teamQueue{team: e.req.Team}
		q.teams[t.team] = t
		q.active = append(q.active, t)
	}
	t.weight = weightOf(e.req)
	t.waiting = append(t.waiting, e)
	q.length++
}

// next removes and returns the next request to serve, or nil if the queue is
// empty. An exclusive request costs exclusiveCost, because it occupies all
// slots.
func (q *fairQueue) next(exclusiveCost int) *entry {
	if len(q.urgent) > 0 {
		e := q.urgent[0]
		q.removeUrgent(0)
		return e
	}
	for q.length > 0 {
		t := q.active[q.cursor%len(q.active)]
		if !t.visited {
			t.visited = true
			t.deficit += t.weight
		}
		cost := 1
		if t.waiting[0].req.Exclusive {
			cost = max(exclusiveCost, 1)
		}
		if t.deficit >= cost {
			t.deficit -= cost
			e := t.waiting[0]
			q.removeAt(t, 0)
			return e
		}
		t.visited = false
		q.cursor = (q.cursor + 1) % len(q.active)
	}
	return nil
}

func (q *fairQueue) removeUrgent(i int) {
	q.urgent = slices.Delete(q.urgent, i, i+1)
	q.length--
}

func (q *fairQueue) remove(e *entry) {
	if i := slices.Index(q.urgent, e); i >= 0 {
		q.removeUrgent(i)
		return
	}
	if t := q.teams[e.req.Team]; t != nil {
		if i := slices.Index(t.waiting, e); i >= 0 {
			q.removeAt(t, i)
		}
	}
}

func (q *fairQueue) removeAt(t *teamQueue, i int) {
	t.waiting = slices.Delete(t.waiting, i, i+1)
	q.length--
	if len(t.waiting) > 0 {
		return
	}
	delete(q.teams, t.team)
	at := slices.Index(q.active, t)
	q.active = slices.Delete(q.active, at, at+1)
	if at < q.cursor {
		q.cursor--
	}
	if q.cursor >= len(q.active) {
		q.cursor = 0
	}
}

// longest returns the queue with the most waiting requests relative to its
// weight, or nil if no team has waiting requests.
func (q *fairQueue) longest() *teamQueue {
	var longest *teamQueue
	for _, t := range q.active {
		if longest == nil || len(t.waiting)*longest.weight > len(longest.waiting)*t.weight {
			longest = t
		}
	}
	return longest
}

// ahead estimates how many waiting requests are served before a new request.
func (q *fairQueue) ahead(req Request) int {
	n := len(q.urgent)
	if req.Urgent {
		return n
	}
	own := q.teamLength(req.Team)
	n += own
	for _, t := range q.active {
		if t.team != req.Team {
			n += min(len(t.waiting), (own+1)*t.weight/weightOf(req)+1)
		}
	}
	return n
}

// all returns the urgent requests, followed by those of each team.
func (q *fairQueue) all() []*entry {
	out := append(make([]*entry, 0, q.length), q.urgent...)
	for _, t := range q.active {
		out = append(out, t.waiting...)
	}
	return out
}

func weightOf(req Request) int {
	return int(min(max(req.Weight, 1), maxWeight))
}

// maxWeight limits the number of consecutive requests of one team.
const maxWeight = 100
