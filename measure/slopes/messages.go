package slopes

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"trefoildock.example/detection"
	"trefoildock.example/freshness"
	"trefoildock.example/wire"
)

func messageExperiments() []experiment {
	return []experiment{
		{
			quantities: []Quantity{
				{"wire:pull_bytes", "B", "attester", "a pull and its response without changes"},
				{"freshness:pull_time", "ns", "attester", "serve a pull and merge the response, encoding included, at both ends"},
			},
			sizes: []int{3, 9, 15, 30}, run: measurePull,
		},
		{
			quantities: []Quantity{
				{"wire:service_report_bytes", "B", "backend server", "a report with the states of all backend servers of one service, and its response"},
				{"wire:service_report_time", "ns", "backend server", "encode and decode that report"},
			},
			sizes: []int{1, 10, 20, 40}, run: measureServiceReport,
		},
		{
			quantities: []Quantity{
				{"detection:round_time", "ns", "backend server", "record one report of each backend server of a service and evaluate all of them"},
				{"detection:member_heap", "B", "backend server", "live heap of the detector after 10 s of reports"},
			},
			sizes: []int{9, 20, 42, 100}, run: measureDetection,
		},
	}
}

// roundTrip encodes and decodes an envelope and returns the result with its encoded
// size in bytes.
func roundTrip(e *wire.Envelope) (*wire.Envelope, int, error) {
	message, err := wire.Append(nil, e)
	if err != nil {
		return nil, 0, err
	}
	received, err := wire.NewReader(bytes.NewReader(message)).Read()
	return received, len(message), err
}

func callEnvelope(c *wire.Call) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Call{Call: c}}
}

func responseEnvelope(a *wire.Answer) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}}
}

// exchangeBytes returns the encoded size of a call and its response.
func exchangeBytes(c *wire.Call, a *wire.Answer) (float64, error) {
	_, callBytes, err := roundTrip(callEnvelope(c))
	if err != nil {
		return 0, err
	}
	_, responseBytes, err := roundTrip(responseEnvelope(a))
	return float64(callBytes + responseBytes), err
}

// attestedState returns the state of a node that merged the attestations of all
// attesters at time now.
func attestedState(self string, attesters []string, now time.Time) *freshness.State {
	s := freshness.NewState(self)
	versions := freshness.Versions{Config: 5_000_000, Members: 1_000_000}
	s.RecordMembers(versions.Members, attesters, now)
	s.RecordConfig(versions.Config)
	var vector []freshness.Attestation
	for i, name := range attesters {
		vector = append(vector, freshness.Attestation{
			Attester: name, Versions: versions, Age: time.Duration(100+20*i) * time.Millisecond, FromTable: i == 0,
		})
	}
	s.Merge(vector, time.Millisecond, now)
	return s
}

func pullResponse(s *freshness.State, now time.Time) *wire.Answer {
	a := &wire.PullAnswer{}
	for _, at := range s.Export(now) {
		a.Attestations = append(a.Attestations, &wire.Attestation{
			Attester: at.Attester, ConfigVersion: at.Versions.Config, MembersVersion: at.Versions.Members,
			AgeUs: at.Age.Microseconds(), FromTable: at.FromTable,
		})
	}
	return &wire.Answer{Body: &wire.Answer_Pull{Pull: a}}
}

func measurePull(_ context.Context, _ Environment, attesterCount int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	attesters := nodeNames(attesterCount)
	parent, child := attestedState("parent", attesters, now), attestedState("child", attesters, now)
	call := &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{ConfigVersion: 5_000_000, MembersVersion: 1_000_000}}}
	size, err := exchangeBytes(call, pullResponse(parent, now))
	if err != nil {
		return nil, err
	}
	spent := cpuTimePerCall(func() {
		if _, _, err = roundTrip(callEnvelope(call)); err != nil {
			return
		}
		var received *wire.Envelope
		if received, _, err = roundTrip(responseEnvelope(pullResponse(parent, now))); err != nil {
			return
		}
		var vector []freshness.Attestation
		for _, a := range received.GetAnswer().GetPull().GetAttestations() {
			vector = append(vector, freshness.Attestation{
				Attester: a.GetAttester(), Versions: freshness.Versions{Config: a.GetConfigVersion(), Members: a.GetMembersVersion()},
				Age: time.Duration(a.GetAgeUs()) * time.Microsecond, FromTable: a.GetFromTable(),
			})
		}
		child.Merge(vector, time.Millisecond, now)
		child.FreshUntil(now)
		child.QuorumVersions(now)
	})
	return []float64{size, spent}, err
}

// serviceReport returns the report of an owner node about n backend servers of a
// service.
func serviceReport(n int) *wire.Call {
	r := &wire.ServiceReport{Owner: nodeName(0), Service: serviceName(1)}
	for i := range n {
		r.Backends = append(r.Backends, &wire.BackendStatus{
			BackendServer: fmt.Sprintf("%s-%03d", serviceName(1), i), Zone: zoneName(0), Requests: 5, Errors: 1,
			LatencyP50Us: 5_200, LatencyP90Us: 23_000, OldestUs: 12_000, InService: true, Incarnation: incarnation(i),
		})
	}
	return &wire.Call{Body: &wire.Call_ServiceReport{ServiceReport: r}}
}

func measureServiceReport(_ context.Context, _ Environment, servers int) ([]float64, error) {
	call := serviceReport(servers)
	size, err := exchangeBytes(call, &wire.Answer{Body: &wire.Answer_Service{Service: &wire.ServiceAnswer{}}})
	if err != nil {
		return nil, err
	}
	spent := cpuTimePerCall(func() { _, _, err = roundTrip(callEnvelope(call)) })
	return []float64{size, spent}, err
}

// measureDetection measures the evaluation of service reports at the coordinator of
// a service.
func measureDetection(_ context.Context, _ Environment, servers int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	statuses := make([]detection.BackendStatus, servers)
	for i := range statuses {
		statuses[i] = detection.BackendStatus{
			BackendServer: fmt.Sprintf("%s-%03d", serviceName(1), i), Zone: zoneName(i), Incarnation: incarnation(i),
			Requests: 5, LatencyP50: 5*time.Millisecond + time.Duration(i%7)*time.Millisecond, LatencyP90: 20 * time.Millisecond, InService: true,
		}
	}
	var d *detection.Detector
	evaluationRound := func() {
		now = now.Add(detection.ReportInterval)
		for _, s := range statuses {
			d.Observe(now, s)
		}
		d.Evaluate(now)
	}
	heap := retainedHeap(func() *detection.Detector {
		d = detection.NewDetector(detection.Config{})
		for range 20 {
			evaluationRound()
		}
		return d
	})
	return []float64{cpuTimePerCall(evaluationRound), heap}, nil
}
