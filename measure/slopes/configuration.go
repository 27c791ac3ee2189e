package slopes

import (
	"context"
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"trefoildock.example/configstore"
	"trefoildock.example/platform"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
	"trefoildock.example/wire"
)

// routesPerService is the ratio at the planned size of 71,000 routes and 3,600
// services.
const routesPerService = 20

func configurationExperiments() []experiment {
	return []experiment{
		{
			quantities: []Quantity{
				{"rules:snapshot_time", "ns", "route", "decode a complete configuration from lines, as a node with an outdated configuration does"},
				{"rules:delta_time", "ns", "route", "decode one changed route from its message and apply it to the current configuration"},
				{"rules:router_time", "ns", "route", "rebuild the router, as every applied change does"},
				{"rules:match_time", "ns", "route", "match one request"},
				{"rules:route_heap", "B", "route", "live heap of configuration and router"},
				{"wire:route_bytes", "B", "route", "routes in a snapshot message"},
			},
			sizes: []int{1_000, 18_000, 36_000, 71_000},
			run:   measureRoutes,
		},
		{
			quantities: []Quantity{
				{"configstore:object_bytes", "B", "route", "compressed snapshot in the object store"},
				{"configstore:import_time", "ns", "route", "commit all routes at once and write the snapshot"},
			},
			sizes:       []int{1_000, 18_000, 71_000},
			repetitions: 1,
			run:         measureConfigStore,
		},
		{
			quantities: []Quantity{
				{"rules:team_heap", "B", "team", "live heap of the teams of a configuration"},
				{"rules:team_delta_time", "ns", "team", "decode one changed team and apply it to the current configuration"},
				{"wire:team_bytes", "B", "team", "teams in a snapshot message"},
			},
			sizes:       []int{702, 10_000, 100_000, 1_300_000},
			repetitions: 1,
			run:         measureTeams,
		},
		{
			quantities: []Quantity{
				{"rules:key_heap", "B", "key", "live heap of the keys of a configuration"},
				{"rules:key_delta_time", "ns", "key", "decode one added key and apply it to the current configuration"},
				{"wire:key_bytes", "B", "key", "keys in a snapshot message"},
				{"rules:key_lookup_time", "ns", "key", "hash a plaintext key and look up its team"},
			},
			sizes:       []int{702, 10_000, 100_000, 400_000},
			repetitions: 1,
			run:         measureKeys,
		},
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func teamName(i int) string    { return fmt.Sprintf("team-%07d", i) }

func routeLine(i, timeout int) string {
	return fmt.Sprintf("route GET /%s/resource-%05d/* service %s access team repeat idempotent timeout %ds # B. Hughes: ticket %06d",
		serviceName(i/routesPerService), i, serviceName(i/routesPerService), timeout, i)
}

func teamLine(i, rate int) string {
	return fmt.Sprintf("team %s rate %d/s burst %d # C. Pugh: contract %07d", teamName(i), rate, 2*rate, i)
}

func plaintextKey(i int) string { return fmt.Sprintf("tdk_measure-%07d", i) }

func keyLine(i, team int) string {
	return fmt.Sprintf("key %s %s # C. Pugh: key %07d", teamName(team), rules.DigestKey(plaintextKey(i)), i)
}

// routeLines returns the rules of n routes and of their services.
func routeLines(n int) []string {
	lines := make([]string, 0, n+n/routesPerService+1)
	for i := range (n + routesPerService - 1) / routesPerService {
		lines = append(lines, fmt.Sprintf("service %s floor 4 probe /health # A. Rees: catalogue", serviceName(i)))
	}
	for i := range n {
		lines = append(lines, routeLine(i, 2))
	}
	return lines
}

func teamLines(n int) []string {
	lines := make([]string, n)
	for i := range lines {
		lines[i] = teamLine(i, 50)
	}
	return lines
}

// decodeConfig builds a configuration from lines, as a node that receives a
// snapshot does.
func decodeConfig(lines []string) (*rules.Config, error) {
	return rules.NewConfig().Apply(rules.Delta{Added: lines})
}

// roundTripLines encodes and decodes lines as a snapshot message, so that the
// returned lines share no memory with their source. It also returns the size of
// the message in bytes.
func roundTripLines(lines []string) ([]string, int, error) {
	message, err := proto.Marshal(&wire.Snapshot{Lines: lines})
	if err != nil {
		return nil, 0, err
	}
	s := new(wire.Snapshot)
	err = proto.Unmarshal(message, s)
	return s.GetLines(), len(message), err
}

// applyCPUTime returns the CPU time in nanoseconds to decode a delta and apply it
// to a configuration.
func applyCPUTime(c *rules.Config, d rules.Delta) (float64, error) {
	message, err := proto.Marshal(&wire.PullAnswer{Config: []*wire.ConfigDelta{{Version: 2, Removed: d.Removed, Added: d.Added}}})
	if err != nil {
		return 0, err
	}
	ns := cpuTimePerCall(func() {
		response := new(wire.PullAnswer)
		if err = proto.Unmarshal(message, response); err != nil {
			return
		}
		received := response.GetConfig()[0]
		var next *rules.Config
		next, err = c.Apply(rules.Delta{Removed: received.GetRemoved(), Added: received.GetAdded()})
		runtime.KeepAlive(next)
	})
	return ns, err
}

func measureRoutes(_ context.Context, _ Environment, routes int) ([]float64, error) {
	lines := routeLines(routes)
	_, size, err := roundTripLines(lines)
	if err != nil {
		return nil, err
	}
	decoding := cpuTimeOfCall(func() { _, err = decodeConfig(lines) })
	if err != nil {
		return nil, err
	}
	var c *rules.Config
	var r *rules.Router
	heap := retainedHeap(func() *rules.Router {
		var received []string
		if received, _, err = roundTripLines(routeLines(routes)); err == nil {
			c, err = decodeConfig(received)
		}
		if err != nil {
			return nil
		}
		r = rules.NewRouter(c)
		return r
	})
	if err != nil {
		return nil, err
	}
	delta, err := applyCPUTime(c, rules.Delta{Removed: []string{routeLine(routes/2, 2)}, Added: []string{routeLine(routes/2, 3)}})
	if err != nil {
		return nil, err
	}
	router := cpuTimePerCall(func() { r = rules.NewRouter(c) })
	path := fmt.Sprintf("/%s/resource-%05d/item/7", serviceName(routes/2/routesPerService), routes/2)
	match := cpuTimePerCall(func() { _, _ = r.Match("GET", "shop.example", path) })
	return []float64{decoding, delta, router, match, heap, float64(size)}, nil
}

func measureConfigStore(ctx context.Context, _ Environment, routes int) ([]float64, error) {
	m := memory.New()
	store := configstore.New(m.Table(), m.Objects(), configstore.Options{SnapshotInterval: 1})
	var err error
	spent := cpuTimeOfCall(func() {
		_, err = store.CommitConfig(ctx, configstore.ConfigCommit{
			ID: "import", Delta: rules.Delta{Added: routeLines(routes)}, Operator: "measure", Requester: "measure",
		})
		if err == nil {
			err = store.Snapshot(ctx)
		}
	})
	if err != nil {
		return nil, err
	}
	size, err := snapshotBytes(ctx, m.Objects())
	return []float64{size, spent}, err
}

// snapshotBytes returns the total size of the parts of the first snapshot.
func snapshotBytes(ctx context.Context, objects platform.Objects) (float64, error) {
	total := 0
	for part := 0; ; part++ {
		object, err := objects.Get(ctx, fmt.Sprintf("config/snapshot/1/%06d", part))
		if err != nil {
			if part > 0 {
				return float64(total), nil
			}
			return 0, err
		}
		total += len(object.Body)
	}
}

func measureTeams(_ context.Context, _ Environment, teams int) ([]float64, error) {
	var c *rules.Config
	var size int
	var err error
	heap := retainedHeap(func() *rules.Config {
		var received []string
		if received, size, err = roundTripLines(teamLines(teams)); err == nil {
			c, err = decodeConfig(received)
		}
		return c
	})
	if err != nil {
		return nil, err
	}
	delta, err := applyCPUTime(c, rules.Delta{Removed: []string{teamLine(teams/2, 50)}, Added: []string{teamLine(teams/2, 60)}})
	return []float64{heap, delta, float64(size)}, err
}

// measureKeys uses 64 keys per team, so that the teams add little to the result.
func measureKeys(_ context.Context, _ Environment, keys int) ([]float64, error) {
	const keysPerTeam = 64
	teams, err := decodeConfig(teamLines((keys + keysPerTeam) / keysPerTeam))
	if err != nil {
		return nil, err
	}
	var c *rules.Config
	var size int
	heap := retainedHeap(func() *rules.Config {
		lines := make([]string, keys)
		for i := range lines {
			lines[i] = keyLine(i, i/keysPerTeam)
		}
		var received []string
		if received, size, err = roundTripLines(lines); err == nil {
			c, err = teams.Apply(rules.Delta{Added: received})
		}
		return c
	})
	if err != nil {
		return nil, err
	}
	delta, err := applyCPUTime(c, rules.Delta{Added: []string{keyLine(keys, 0)}})
	index := rules.NewKeyIndex(c)
	lookup := cpuTimePerCall(func() { _, _ = index.TeamByKey(plaintextKey(keys / 2)) })
	return []float64{heap, delta, float64(size), lookup}, err
}
