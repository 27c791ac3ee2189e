package fleet

import (
	"context"
	"maps"
	"time"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

const (
	// restoreGrace is how long members and evacuations that are missing from a restored store
	// stay in use. Nodes write their rows again within two seconds.
	restoreGrace = 3 * time.Second
	// maxRemoveAttempts bounds the attempts to remove a row that a restoration has brought
	// back.
	maxRemoveAttempts = 5
)

// isRestored reports whether the store was restored from an older copy between two
// revisions.
func (s *State) isRestored(before, after uint64) bool {
	return before != 0 && platform.Generation(after) > platform.Generation(before)
}

// holdMissingState drops members and evacuations that are still missing after
// restoreGrace. It runs on the event loop.
func (s *State) holdMissingState(revision uint64) {
	s.heldUntil = s.cfg.Clock().Add(restoreGrace)
	s.cfg.Logger.Log("event", "store restored from an older copy", "generation", platform.Generation(revision), "revision", revision)
	s.recordCrashesAgain()
	time.AfterFunc(restoreGrace, func() {
		s.enqueue(context.Background(), func() {
			if s.cfg.Clock() < s.heldUntil {
				return // Another restoration has followed; its timer drops the rest.
			}
			s.zones.held = nil
			s.applyRows(s.table.releaseHeld())
			s.publishView()
		})
	})
}

// removeAgain removes rows of nodes that had removed them before the store was restored. A
// node that is alive writes its row again.
func (s *State) removeAgain(rows []platform.Change) {
	if !s.ReadsStore() {
		return // The readers do.
	}
	for _, row := range rows {
		go func() {
			delay := minRetryDelay
			for range maxRemoveAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
				_, err := s.cfg.Members.Delete(ctx, row.Key, row.Revision)
				cancel()
				s.cfg.Logger.Log("event", "row removed again after a restoration", "key", row.Key, "revision", row.Revision, "err", err)
				if err == nil || isConflict(err) {
					return
				}
				clock.Sleep(context.Background(), delay)
				delay *= 2
			}
		}()
	}
}

// zoneSet holds the evacuated zones.
type zoneSet struct {
	// stored holds the zones that are in the store. held holds those that were evacuated
	// before it was restored and are missing since.
	stored, held map[string]bool
}

// effective returns the zones that are out of service, as a new map.
func (z *zoneSet) effective() map[string]bool {
	out := make(map[string]bool, len(z.stored)+len(z.held))
	maps.Copy(out, z.held)
	maps.Copy(out, z.stored)
	return out
}

// replace sets the stored zones and reports whether the effective ones changed. hold keeps
// the zones that are missing.
func (z *zoneSet) replace(names []string, hold bool) bool {
	before := z.effective()
	if hold {
		z.held = before
	}
	z.stored = make(map[string]bool, len(names))
	for _, name := range names {
		z.stored[name] = true
	}
	return !maps.Equal(before, z.effective())
}

// set applies the change of one zone and reports whether the effective zones changed.
func (z *zoneSet) set(zone string, evacuated bool) bool {
	before := z.effective()
	z.stored, z.held = maps.Clone(z.stored), maps.Clone(z.held)
	if z.stored == nil {
		z.stored = make(map[string]bool)
	}
	if evacuated {
		z.stored[zone] = true
	} else {
		delete(z.stored, zone)
		delete(z.held, zone)
	}
	return before[zone] != evacuated
}
