package slopes

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"trefoildock.example/freshness"
	"trefoildock.example/wire"
)

func messageExperiments() []experiment {
	return []experiment{
		{
			quantities: []Quantity{
				{"wire:pull_bytes", "B", "attester", "a pull and its answer without changes"},
				{"freshness:pull_time", "ns", "attester", "answer a pull and merge the answer, encoding included, at both ends"},
			},
			sizes: []int{3, 9, 15, 30}, run: measurePull,
		},
		{
			quantities: []Quantity{
				{"wire:service_report_bytes", "B", "backend server", "a report with the states of all backend servers of one service, and its answer"},
				{"wire:service_report_time", "ns", "backend server", "encode and decode that report"},
			},
			sizes: []int{1, 10, 20, 40}, run: measureServiceReport,
		},
	}
}

// transfer encodes and decodes an envelope and returns it with its size.
func transfer(e *wire.Envelope) (*wire.Envelope, int, error) {
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

func answerEnvelope(a *wire.Answer) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}}
}

// exchangeBytes returns the bytes of a call and its answer.
func exchangeBytes(c *wire.Call, a *wire.Answer) (float64, error) {
	_, asked, err := transfer(callEnvelope(c))
	if err != nil {
		return 0, err
	}
	_, answered, err := transfer(answerEnvelope(a))
	return float64(asked + answered), err
}

// attested returns the state of a node that heard all attesters at now.
func attested(self string, attesters []string, now time.Time) *freshness.State {
	s := freshness.NewState(self)
	versions := freshness.Versions{Config: 5_000_000, Members: 1_000_000}
	s.HoldMembers(versions.Members, attesters, now)
	s.HoldConfig(versions.Config)
	var vector []freshness.Attestation
	for i, name := range attesters {
		vector = append(vector, freshness.Attestation{
			Attester: name, Versions: versions, Age: time.Duration(100+20*i) * time.Millisecond, FromTable: i == 0,
		})
	}
	s.Merge(vector, time.Millisecond, now)
	return s
}

func pullAnswer(s *freshness.State, now time.Time) *wire.Answer {
	a := &wire.PullAnswer{}
	for _, at := range s.Export(now) {
		a.Attestations = append(a.Attestations, &wire.Attestation{
			Attester: at.Attester, ConfigVersion: at.Versions.Config, MembersVersion: at.Versions.Members,
			AgeUs: at.Age.Microseconds(), FromTable: at.FromTable,
		})
	}
	return &wire.Answer{Body: &wire.Answer_Pull{Pull: a}}
}

func measurePull(_ context.Context, _ Environment, n int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	attesters := nodeNames(n)
	parent, child := attested("parent", attesters, now), attested("child", attesters, now)
	call := &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{ConfigVersion: 5_000_000, MembersVersion: 1_000_000}}}
	size, err := exchangeBytes(call, pullAnswer(parent, now))
	if err != nil {
		return nil, err
	}
	spent := work(func() {
		if _, _, err = transfer(callEnvelope(call)); err != nil {
			return
		}
		var received *wire.Envelope
		if received, _, err = transfer(answerEnvelope(pullAnswer(parent, now))); err != nil {
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

// serviceReport returns the report of an owner on n backend servers of a service.
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

// measureServiceReport measures the messages only. The scoring at the home
// belongs to module detection and is not measured here yet.
func measureServiceReport(_ context.Context, _ Environment, n int) ([]float64, error) {
	call := serviceReport(n)
	size, err := exchangeBytes(call, &wire.Answer{Body: &wire.Answer_Service{Service: &wire.ServiceAnswer{}}})
	if err != nil {
		return nil, err
	}
	spent := work(func() { _, _, err = transfer(callEnvelope(call)) })
	return []float64{size, spent}, err
}
