package rules

// Merge returns one delta that is equivalent to applying the deltas in sequence.
// Applying it costs one copy of the configuration instead of one copy per delta.
// The deltas must be consecutive; intermediate configurations are not validated.
func Merge(deltas ...Delta) Delta {
	var removed, added lineSet
	for _, d := range deltas {
		for _, line := range d.Removed {
			if !added.remove(line) {
				removed.add(line)
			}
		}
		for _, line := range d.Added {
			if !removed.remove(line) {
				added.add(line)
			}
		}
	}
	return Delta{Removed: removed.lines(), Added: added.lines()}
}

// lineSet is a set of lines that preserves insertion order.
type lineSet struct {
	ordered []string
	index   map[string]int
}

func (s *lineSet) add(line string) {
	if s.index == nil {
		s.index = make(map[string]int)
	}
	s.index[line] = len(s.ordered)
	s.ordered = append(s.ordered, line)
}

func (s *lineSet) remove(line string) bool {
	_, found := s.index[line]
	delete(s.index, line)
	return found
}

func (s *lineSet) lines() []string {
	var lines []string
	for i, line := range s.ordered {
		if at, found := s.index[line]; found && at == i {
			lines = append(lines, line)
		}
	}
	return lines
}
