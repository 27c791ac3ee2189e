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

// routesPerService is that of the planned size: 71,000 routes of 3,600 services.
const routesPerService = 20

func configurationExperiments() []experiment {
	return []experiment{
		{
			quantities: []Quantity{
				{"rules:snapshot_time", "ns", "route", "decode a whole configuration from lines, as a node that is far behind does"},
				{"rules:delta_time", "ns", "route", "decode one changed route from its message and apply it to the held configuration"},
				{"rules:router_time", "ns", "route", "build the router anew, as every applied change does today"},
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
			run:         measureStore,
		},
		{
			quantities: []Quantity{
				{"rules:team_heap", "B", "team", "live heap of the teams of a configuration"},
				{"rules:team_delta_time", "ns", "team", "decode one changed team and apply it to the held configuration"},
				{"wire:team_bytes", "B", "team", "teams in a snapshot message"},
			},
			sizes:       []int{702, 10_000, 100_000, 1_300_000},
			repetitions: 1,
			run:         measureTeams,
		},
		{
			quantities: []Quantity{
				{"rules:key_heap", "B", "key", "live heap of the keys of a configuration"},
				{"rules:key_delta_time", "ns", "key", "decode one added key and apply it to the held configuration"},
				{"wire:key_bytes", "B", "key", "keys in a snapshot message"},
				{"rules:key_lookup_time", "ns", "key", "digest a key in clear and find its team"},
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

func clearKey(i int) string { return fmt.Sprintf("tdk_measure-%07d", i) }

func keyLine(i, team int) string {
	return fmt.Sprintf("key %s %s # C. Pugh: key %07d", teamName(team), rules.DigestKey(clearKey(i)), i)
}

// routeLines returns n routes and their services.
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

// decode builds a configuration as a node does that pulls a snapshot.
func decode(lines []string) (*rules.Config, error) {
	return rules.NewConfig().Apply(rules.Delta{Added: lines})
}

// receiveLines returns the lines as they are after a transfer, so that they
// share no memory with their source, and the bytes of the message.
func receiveLines(lines []string) ([]string, int, error) {
	message, err := proto.Marshal(&wire.Snapshot{Lines: lines})
	if err != nil {
		return nil, 0, err
	}
	s := new(wire.Snapshot)
	err = proto.Unmarshal(message, s)
	return s.GetLines(), len(message), err
}

// applyWork returns the work to decode and apply a delta to a configuration.
func applyWork(c *rules.Config, d rules.Delta) (float64, error) {
	message, err := proto.Marshal(&wire.PullAnswer{Config: []*wire.ConfigDelta{{Version: 2, Removed: d.Removed, Added: d.Added}}})
	if err != nil {
		return 0, err
	}
	ns := work(func() {
		answer := new(wire.PullAnswer)
		if err = proto.Unmarshal(message, answer); err != nil {
			return
		}
		received := answer.GetConfig()[0]
		var next *rules.Config
		next, err = c.Apply(rules.Delta{Removed: received.GetRemoved(), Added: received.GetAdded()})
		runtime.KeepAlive(next)
	})
	return ns, err
}

func measureRoutes(_ context.Context, _ Environment, n int) ([]float64, error) {
	lines := routeLines(n)
	_, size, err := receiveLines(lines)
	if err != nil {
		return nil, err
	}
	decoding := workOnce(func() { _, err = decode(lines) })
	if err != nil {
		return nil, err
	}
	var c *rules.Config
	var r *rules.Router
	heap := heapOf(func() *rules.Router {
		var received []string
		if received, _, err = receiveLines(routeLines(n)); err == nil {
			c, err = decode(received)
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
	delta, err := applyWork(c, rules.Delta{Removed: []string{routeLine(n/2, 2)}, Added: []string{routeLine(n/2, 3)}})
	if err != nil {
		return nil, err
	}
	router := work(func() { r = rules.NewRouter(c) })
	path := fmt.Sprintf("/%s/resource-%05d/item/7", serviceName(n/2/routesPerService), n/2)
	match := work(func() { _, _ = r.Match("GET", "shop.example", path) })
	return []float64{decoding, delta, router, match, heap, float64(size)}, nil
}

func measureStore(ctx context.Context, _ Environment, n int) ([]float64, error) {
	m := memory.New()
	store := configstore.New(m.Table(), m.Objects(), configstore.Options{SnapshotInterval: 1})
	var err error
	spent := workOnce(func() {
		_, err = store.CommitConfig(ctx, configstore.ConfigCommit{
			ID: "import", Delta: rules.Delta{Added: routeLines(n)}, Operator: "measure", Requester: "measure",
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

// snapshotBytes returns the size of the parts of the first snapshot.
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

func measureTeams(_ context.Context, _ Environment, n int) ([]float64, error) {
	var c *rules.Config
	var size int
	var err error
	heap := heapOf(func() *rules.Config {
		var received []string
		if received, size, err = receiveLines(teamLines(n)); err == nil {
			c, err = decode(received)
		}
		return c
	})
	if err != nil {
		return nil, err
	}
	delta, err := applyWork(c, rules.Delta{Removed: []string{teamLine(n/2, 50)}, Added: []string{teamLine(n/2, 60)}})
	return []float64{heap, delta, float64(size)}, err
}

// measureKeys uses 64 keys a team, so that the teams weigh little.
func measureKeys(_ context.Context, _ Environment, n int) ([]float64, error) {
	const keysPerTeam = 64
	teams, err := decode(teamLines((n + keysPerTeam) / keysPerTeam))
	if err != nil {
		return nil, err
	}
	var c *rules.Config
	var size int
	heap := heapOf(func() *rules.Config {
		lines := make([]string, n)
		for i := range lines {
			lines[i] = keyLine(i, i/keysPerTeam)
		}
		var received []string
		if received, size, err = receiveLines(lines); err == nil {
			c, err = teams.Apply(rules.Delta{Added: received})
		}
		return c
	})
	if err != nil {
		return nil, err
	}
	delta, err := applyWork(c, rules.Delta{Added: []string{keyLine(n, 0)}})
	index := rules.NewKeyIndex(c)
	lookup := work(func() { _, _ = index.Team(clearKey(n / 2)) })
	return []float64{heap, delta, float64(size), lookup}, err
}
