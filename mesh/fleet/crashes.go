package fleet

import (
	"context"
	"encoding/json"
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
	now, _ := s.StoreNow()
	record := crashRecord{Service: n.Service, StoreMillis: now.Milliseconds()}
	for _, q := range n.Requests {
		record.Requests = append(record.Requests, crashedItem{Fingerprint: q.Fingerprint[:], Trial: q.Trial, Blocked: q.Blocked})
	}
	value, err := json.Marshal(record)
	if err != nil {
		s.cfg.Logger.Log("event", "crash not recorded", "err", err)
		return
	}
	key := crashPrefix + n.Event
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxCrashWriteDelay) {
		callCtx, cancel := context.WithTimeout(ctx, publishTimeout)
		_, err := s.cfg.Members.Write(callCtx, key, value, 0)
		cancel()
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		s.cfg.Logger.Log("event", "crash record not written", "key", key, "err", err)
		clock.Sleep(ctx, delay)
	}
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
