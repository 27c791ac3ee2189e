package measures

import "time"

// Workload describes the service sizes and network delays of one deployment.
type Workload struct {
	Name string
	// Services holds the number of backend servers of each service.
	Services []int
	// ZoneRTT is the round-trip time between availability zones.
	ZoneRTT time.Duration
	// seedStream is part of the seeds, so that each workload has its own random
	// sequences.
	seedStream uint64
}

// Workloads returns the deployments of section 1.1 of the design page.
func Workloads() []Workload {
	return []Workload{
		{Name: "ffon", Services: []int{6, 9, 9}, ZoneRTT: 1400 * time.Microsecond, seedStream: 1},
		{Name: "cola", Services: []int{6, 9, 9}, ZoneRTT: 500 * time.Microsecond, seedStream: 2},
	}
}

// serviceSizes returns the distinct service sizes in ascending order.
func (w Workload) serviceSizes() []int {
	var sizes []int
	for _, n := range w.Services {
		if len(sizes) == 0 || sizes[len(sizes)-1] != n {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// seed derives the seed of one part of an experiment from the base seed.
func (w Workload) seed(base uint64, part int) uint64 {
	const workloadShift, baseShift = 20, 24
	return base<<baseShift + w.seedStream<<workloadShift + uint64(part)
}
