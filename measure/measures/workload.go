package measures

import "time"

// Workload has the sizes and delays of one deployment.
type Workload struct {
	Name string
	// Services holds the number of backend servers of each service.
	Services []int
	// BetweenZones is the round trip between availability zones.
	BetweenZones time.Duration
	// stream separates the random sequences of the workloads.
	stream uint64
}

// Workloads returns the deployments of section 1.1 of the design page.
func Workloads() []Workload {
	return []Workload{
		{Name: "ffon", Services: []int{6, 9, 9}, BetweenZones: 1400 * time.Microsecond, stream: 1},
		{Name: "cola", Services: []int{6, 9, 9}, BetweenZones: 500 * time.Microsecond, stream: 2},
	}
}

// sizes returns the different sizes of services in ascending order.
func (w Workload) sizes() []int {
	var out []int
	for _, n := range w.Services {
		if len(out) == 0 || out[len(out)-1] != n {
			out = append(out, n)
		}
	}
	return out
}

// seed derives the seed of an experiment.
func (w Workload) seed(base uint64, part int) uint64 {
	const workloadShift, baseShift = 20, 24
	return base<<baseShift + w.stream<<workloadShift + uint64(part)
}
