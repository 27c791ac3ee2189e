package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/crashguard"
	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

// crashRecord is the value of the row of one crash. Nodes that start later learn from it
// which requests crash backend servers.
type crashRecord struct {
	Service  string        `json:"service"`
	Requests []crashedItem `json:"requests"`
	// StoreMillis is the time of the store's clock at the crash, in milliseconds; 0 if it
	// was unknown.
	StoreMillis int64 `json:"store_ms"`
}

type crashedItem struct {
	Fingerprint []byte `json:"fingerprint"`
	Trial       bool   `json:"trial,omitempty"`
	Blocked     bool   `json:"blocked,omitempty"`
}

// maxCrashWriteDelay bounds the delay between two attempts to write the row of a crash.
const maxCrashWriteDelay = 5 * time.Second

// RecordCrash writes the row of a crash. It tries until the store accepts it, ctx ends or
// the crash has expired.
func (s *State) RecordCrash(ctx context.Context, n crashguard.Notice) {
	ctx, cancel := context.WithTimeout(ctx, crashguard.Expiry)
	defer cancel()
	record := crashRecord{Service: n.Service}
	if now, known := s.StoreNow(); known {
		record.StoreMillis = now.Milliseconds()
	}
	for _, q := range n.Requests {
		record.Requests = append(record.Requests, crashedItem{Fingerprint: q.Fingerprint[:], Trial: q.Trial, Blocked: q.Blocked})
	}
	value, err := json.Marshal(record)
	if err != nil {
		s.cfg.Logger.Log("event", "crash not recorded", "err", err)
		return
	}
	own := ownCrash{key: crashPrefix + n.Event, value: value, at: s.cfg.Clock()}
	s.enqueue(ctx, func() { s.rememberCrash(own) })
	s.writeCrash(ctx, own)
}

// ownCrash is the row of a crash that this node has reported.
type ownCrash struct {
	key   string
	value []byte
	at    clock.Instant
}

// maxOwnCrashes bounds the rows that are written again after a restoration of the store.
const maxOwnCrashes = 64

// rememberCrash runs on the event loop.
func (s *State) rememberCrash(c ownCrash) {
	s.ownCrashes = slices.DeleteFunc(s.ownCrashes, func(o ownCrash) bool { return c.at.Sub(o.at) > crashguard.Expiry })
	if len(s.ownCrashes) == maxOwnCrashes {
		s.ownCrashes = s.ownCrashes[1:]
	}
	s.ownCrashes = append(s.ownCrashes, c)
}

// recordCrashesAgain writes the crashes of this node again; those that are still in the
// store conflict. It runs on the event loop.
func (s *State) recordCrashesAgain() {
	for _, c := range s.ownCrashes {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashguard.Expiry)
			defer cancel()
			s.writeCrash(ctx, c)
		}()
	}
}

// writeCrash writes a row until the store accepts it, the state has ended or ctx ends.
func (s *State) writeCrash(ctx context.Context, c ownCrash) {
	key, value := c.key, c.value
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxCrashWriteDelay) {
		callCtx, cancel := context.WithTimeout(ctx, publishTimeout)
		_, err := s.cfg.Members.Write(callCtx, key, value, 0)
		cancel()
		if err == nil || isConflict(err) {
			return
		}
		s.cfg.Logger.Log("event", "crash record not written", "key", key, "err", err)
		select {
		case <-s.stopped:
			return
		default:
			clock.Sleep(ctx, delay)
		}
	}
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// applyCrash passes the row of a crash on.
func (s *State) applyCrash(row platform.Change) {
	if row.Removed {
		return
	}
	var record crashRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		s.cfg.Logger.Log("event", "crash row refused", "key", row.Key, "err", err)
		return
	}
	n := crashguard.Notice{Kind: crashguard.Crashed, Service: record.Service, Event: row.Key[len(crashPrefix):]}
	for _, item := range record.Requests {
		q := crashguard.Involved{Trial: item.Trial, Blocked: item.Blocked}
		if copy(q.Fingerprint[:], item.Fingerprint) > 0 {
			n.Requests = append(n.Requests, q)
		}
	}
	if now, known := s.storeClock.now(); known && record.StoreMillis > 0 {
		n.Age = max(now-time.Duration(record.StoreMillis)*time.Millisecond, 0)
	}
	s.cfg.Logger.Log("event", "crash recorded", "backend", n.Event, "service", n.Service, "requests", len(n.Requests), "age", n.Age, "revision", row.Revision)
	s.cfg.OnCrash(n)
}
