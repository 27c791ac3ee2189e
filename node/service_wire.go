package node

import (
	"slices"
	"time"

	"trefoildock.example/crashguard"
	"trefoildock.example/detection"
	"trefoildock.example/wire"
)

func statusToWire(s detection.BackendStatus) *wire.BackendStatus {
	return &wire.BackendStatus{
		BackendServer: s.BackendServer, Zone: s.Zone, Incarnation: s.Incarnation,
		Requests: s.Requests, Probes: s.Probes, Errors: s.Errors, Wrong: s.Wrong,
		LatencyP50Us: s.LatencyP50.Microseconds(), LatencyP90Us: s.LatencyP90.Microseconds(), OldestUs: s.OldestAge.Microseconds(),
		InService: s.InService, Ejected: s.Ejected, TrialSuccesses: s.TrialSuccesses, TrialFailures: s.TrialFailures,
		ProbeErrors: s.ProbeErrors, ProbeWrong: s.ProbeWrong,
	}
}

// statusFromWire converts the status of a backend server that has the given
// name at the coordinator.
func statusFromWire(s *wire.BackendStatus, name string) detection.BackendStatus {
	micros := func(v int64) time.Duration { return time.Duration(max(v, 0)) * time.Microsecond }
	return detection.BackendStatus{
		BackendServer: name, Zone: s.GetZone(), Incarnation: s.GetIncarnation(),
		Requests: s.GetRequests(), Probes: min(s.GetProbes(), s.GetRequests()),
		Errors: min(s.GetErrors(), s.GetRequests()), Wrong: min(s.GetWrong(), s.GetRequests()-min(s.GetErrors(), s.GetRequests())),
		LatencyP50: micros(s.GetLatencyP50Us()), LatencyP90: micros(s.GetLatencyP90Us()), OldestAge: micros(s.GetOldestUs()),
		InService: s.GetInService(), Ejected: s.GetEjected(), TrialSuccesses: s.GetTrialSuccesses(), TrialFailures: s.GetTrialFailures(),
		ProbeErrors: min(s.GetProbeErrors(), s.GetErrors(), s.GetProbes()), ProbeWrong: min(s.GetProbeWrong(), s.GetWrong(), s.GetProbes()),
	}
}

func crashToWire(c crashguard.Crash) *wire.CrashReport {
	out := &wire.CrashReport{BackendServer: c.BackendServer, Incarnation: c.Incarnation, Alone: c.Alone}
	for _, f := range c.Fingerprints {
		out.Fingerprints = append(out.Fingerprints, f[:])
	}
	return out
}

func crashFromWire(c *wire.CrashReport, name string) crashguard.Crash {
	out := crashguard.Crash{BackendServer: name, Incarnation: c.GetIncarnation(), Alone: c.GetAlone()}
	for _, f := range c.GetFingerprints() {
		out.Fingerprints = append(out.Fingerprints, fingerprintFromWire(f))
	}
	return out
}

// dropReportedCrashes removes the crashes contained in a report.
func dropReportedCrashes(crashes []crashguard.Crash, m *wire.ServiceReport) []crashguard.Crash {
	return slices.DeleteFunc(crashes, func(c crashguard.Crash) bool {
		return slices.ContainsFunc(m.GetCrashes(), func(r *wire.CrashReport) bool {
			return r.GetBackendServer() == c.BackendServer && r.GetIncarnation() == c.Incarnation
		})
	})
}

// dropReportedCleared removes the cleared fingerprints contained in a report.
func dropReportedCleared(cleared []crashguard.Fingerprint, m *wire.ServiceReport) []crashguard.Fingerprint {
	return slices.DeleteFunc(cleared, func(f crashguard.Fingerprint) bool {
		return slices.ContainsFunc(m.GetCleared(), func(b []byte) bool { return fingerprintFromWire(b) == f })
	})
}

func fingerprintChangesToWire(changes []crashguard.Change) []*wire.FingerprintState {
	out := make([]*wire.FingerprintState, len(changes))
	for i, c := range changes {
		out[i] = &wire.FingerprintState{Fingerprint: c.Fingerprint[:], State: uint32(c.State), LeftUs: c.Remaining.Microseconds()}
	}
	return out
}
