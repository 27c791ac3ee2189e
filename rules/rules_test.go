package rules

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const sampleRules = `
# Header lines are ignored.
service catalogue floor 4 probe /health # A. Rees: shop catalogue
service orders probe /health floor 6    # B. Hughes: orders
route GET /catalogue/* service catalogue access open repeat idempotent timeout 2s # A. Rees: browsing
route POST /orders repeat once service orders access team # B. Hughes: orders
route ANY /* host Shop.Example service catalogue access open repeat idempotent # A. Rees: shop
team care-homes rate 0.5/s burst 100 # C. Pugh: contract 14
key care-homes sha256:` + digestOfA + ` # C. Pugh: first: key
zone cymru-south-a out # D. Parry: power work
backend orders-3 out # D. Parry: disk swap
`

const digestOfA = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

func mustParse(t require.TestingT, text string) *Config {
	c, err := Parse("test.rules", strings.NewReader(text))
	require.NoError(t, err)
	return c
}

// Guards against wrong default values and against a lost requester or reason.
func TestParse(t *testing.T) {
	c := mustParse(t, sampleRules)
	require.Equal(t, Service{Name: "orders", Floor: 6, ProbePath: "/health", Comment: "B. Hughes: orders"}, c.Services["orders"])
	require.Equal(t, Team{Name: "care-homes", Rate: rateUnit / 2, Burst: 100, Weight: 1, Comment: "C. Pugh: contract 14"}, c.Teams["care-homes"])
	require.True(t, c.ZoneOutOfService("cymru-south-a"))
	require.False(t, c.ZoneOutOfService("cymru-south-b"))
	require.True(t, c.BackendServerOutOfService("orders-3"))
	require.Len(t, c.Routes, 3)
	require.Equal(t, DefaultTimeout, c.Routes[1].Timeout)
	require.Equal(t, "shop.example", c.Routes[2].Host)
	key := c.Keys[DigestKey("a")]
	require.Equal(t, "C. Pugh", key.Comment.Requester())
	require.Equal(t, "first: key", key.Comment.Reason())
}

// Guards against errors that are not detected, have a wrong position or are reported
// one at a time.
func TestParseErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no requester", "zone a out", `1:11: found end of rule, expected a comment "# requester: reason"`},
		{"no reason", "zone a out # A. Rees:", `1:12: found "# A. Rees:", expected a comment "# requester: reason"`},
		{"control character", "zone a out # A: b\x01", `1:12: found "# A: b\x01", expected a comment "# requester: reason"`},
		{"kind", "zones a out # A: b", `1:1: found "zones", expected service, route, team, key, zone or backend`},
		{"columns count characters", "zone \u00e9\u00e9 off # A: b", `1:6: found "éé", expected ` + expectedName + "\n" + `f:1:9: found "off", expected in or out`},
		{"surplus word", "zone a out now # A: b", `1:12: found "now", expected the end of the rule`},
		{"floor", "service s floor 0 probe /h # A: b", `1:17: found "0", expected ` + expectedFloor},
		{"missing attributes", "service s # A: b", "1:10: found end of rule, expected " + expectedFloor + "\nf:1:10: found end of rule, expected " + expectedProbe},
		{"missing value", "service s probe /h floor # A: b", "1:25: found end of rule, expected a value for floor"},
		{"repeated attribute", "service s floor 1 floor 2 probe /h # A: b", `1:19: found "floor", expected floor only once`},
		{"unknown attribute", "service s floor 1 size probe /h # A: b", `1:19: found "size", expected one of floor, probe`},
		{"unknown service", "route GET /a service s access open repeat once # A: b", `1:22: found "s", expected a service that has a rule`},
		{"method", "service s floor 1 probe /h # A: b\nroute get /a service s access open repeat once # A: b", `2:7: found "get", expected ` + expectedMethod},
		{"path", "service s floor 1 probe /h # A: b\nroute GET /a/../b service s access open repeat once # A: b", `2:11: found "/a/../b", expected ` + expectedPattern},
		{"timeout", "service s floor 1 probe /h # A: b\nroute GET /a service s access open repeat once timeout 0s # A: b", `2:56: found "0s", expected ` + expectedTimeout},
		{"rate", "team t rate 0/s burst 1 # A: b", `1:13: found "0/s", expected ` + expectedRate},
		{"burst", "team t rate 1/s burst 0 # A: b", `1:23: found "0", expected ` + expectedBurst},
		{"weight", "team t rate 1/s burst 1 weight -1 # A: b", `1:32: found "-1", expected ` + expectedWeight},
		{"unknown team", "key t sha256:" + digestOfA + " # A: b", `1:5: found "t", expected a team that has a rule`},
		{"plaintext key is masked", "team t rate 1/s burst 1 # A: b\nkey t tdk_topsecret # A: b", `2:7: found "tdk_***", expected ` + expectedDigest},
		{"duplicate", "zone a out # A: b\n\nzone a in # A: b", `3:6: found "a", expected no second rule for this zone (first on line 1)`},
		{"duplicate route", "service s floor 1 probe /h # A: b\nroute GET /a service s access open repeat once # A: b\nroute GET /a service s access team repeat once # A: b", `3:11: found "GET /a", expected no second rule for this route (first on line 2)`},
		{"every line", "zone a out\nzone b", "1:11: found end of rule, expected a comment \"# requester: reason\"\nf:2:7: found end of rule, expected a comment \"# requester: reason\"\nf:2:7: found end of rule, expected in or out"},
		{"long line", "zone a out # A: " + strings.Repeat("b", MaxLineLength), `1:8193: found "bbbbbbbbbbbbbbbb", expected a line of at most 8192 bytes`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := Parse("f", strings.NewReader(tt.text))
			require.Nil(t, c)
			var list ErrorList
			require.ErrorAs(t, err, &list)
			require.Equal(t, "f:"+tt.want, err.Error())
		})
	}
}

// Guards against lines that are lost or joined at the boundary between two reads.
func TestParseSplitReads(t *testing.T) {
	want := mustParse(t, sampleRules)
	got, err := Parse("f", iotest.OneByteReader(strings.NewReader(sampleRules)))
	require.NoError(t, err)
	require.Equal(t, want, got)

	text := "zone a # A: b\nzone a out # A: " + strings.Repeat("b", 3*readBufferBytes) + "\nzone b"
	_, err = Parse("f", strings.NewReader(text))
	var list ErrorList
	require.ErrorAs(t, err, &list)
	require.Equal(t, []int{1, 2, 3, 3}, []int{list[0].Line, list[1].Line, list[2].Line, list[3].Line})

	_, err = Parse("f", iotest.ErrReader(io.ErrUnexpectedEOF))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a parsed rate that differs from the text, and against accepting
// malformed rates.
func TestParseRate(t *testing.T) {
	for text, want := range map[string]Rate{
		"50/s": 50 * rateUnit, "0.5/s": rateUnit / 2, "0.000001/s": 1, "1000000000/s": MaxRate, "1.50/s": 1_500_000,
	} {
		rate, ok := ParseRate(text)
		require.True(t, ok, text)
		require.Equal(t, want, rate, text)
	}
	for _, text := range []string{"", "/s", "50", "50/m", "-1/s", "0/s", "0.0/s", ".5/s", "5./s", "1e3/s", "0.0000001/s", "1000000001/s", "99999999999999999999/s"} {
		_, ok := ParseRate(text)
		require.False(t, ok, text)
	}
	require.InDelta(t, 0.5, Rate(rateUnit/2).PerSecond(), 0)
}

// Guards against keys that are predictable or not found, and against accepting a
// modified key.
func TestKeyDigests(t *testing.T) {
	plaintext, digest, err := NewKey()
	require.NoError(t, err)
	second, _, err := NewKey()
	require.NoError(t, err)
	require.NotEqual(t, plaintext, second)
	require.Equal(t, digest, DigestKey(plaintext))
	parsed, ok := ParseKeyDigest(strings.ToUpper(digest.String()[7:]))
	require.False(t, ok, "prefix is required")
	require.Zero(t, parsed)
	parsed, ok = ParseKeyDigest(digest.String())
	require.True(t, ok)
	require.True(t, parsed.Equal(digest))

	index := NewKeyIndex(mustParse(t, sampleRules))
	team, ok := index.TeamByKey("a")
	require.True(t, ok)
	require.Equal(t, "care-homes", team)
	for _, wrong := range []string{"", "A", "a ", plaintext, strings.Repeat("a", maxKeyLength+1)} {
		_, ok = index.TeamByKey(wrong)
		require.False(t, ok, wrong)
	}
}

// Guards against a delta that is applied partially or to a configuration that it is
// not based on, and against modification of the shared configuration.
func TestApplyErrors(t *testing.T) {
	const zone, route = "zone cymru-south-a out # D. Parry: power work", "route POST /orders service orders access team repeat once timeout 10s # B. Hughes: orders"
	tests := []struct {
		name  string
		delta Delta
		want  string
	}{
		{"removed rule differs", Delta{Removed: []string{"zone cymru-south-a in # D. Parry: power work"}}, `removed:1:6: found "cymru-south-a", expected ` + expectedPresent},
		{"removed twice", Delta{Removed: []string{zone, zone}}, `removed:2:6: found "cymru-south-a", expected ` + expectedPresent},
		{"removed route twice", Delta{Removed: []string{route, route}}, `removed:2:12: found "/orders", expected ` + expectedPresent},
		{"added twice", Delta{Added: []string{"zone b in # A: b", "zone b in # A: b"}}, `added:2:6: found "b", expected no rule yet for this identity`},
		{"present", Delta{Added: []string{route}}, `added:1:12: found "/orders", expected no rule yet for this method, host and path`},
		{"unknown service", Delta{Added: []string{"route GET /x service y access team repeat once # A: b"}}, `added:1:22: found "y", expected a service that has a rule`},
		{"service in use", Delta{Removed: []string{"service orders floor 6 probe /health # B. Hughes: orders"}}, `removed:1:9: found "orders", expected a service without routes, but POST /orders uses it`},
		{"team in use", Delta{Removed: []string{"team care-homes rate 0.5/s burst 100 weight 1 # C. Pugh: contract 14"}}, `removed:1:6: found "care-homes", expected a team without keys`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := mustParse(t, sampleRules)
			before := c.Lines()
			next, err := c.Apply(tt.delta)
			require.Nil(t, next)
			require.EqualError(t, err, tt.want)
			require.Equal(t, before, c.Lines())
		})
	}
}

// Guards against copies of tables that a delta does not modify.
func TestApplySharesTables(t *testing.T) {
	c := mustParse(t, sampleRules)
	next, err := c.Apply(Delta{Added: []string{"zone b out # A: b"}})
	require.NoError(t, err)
	require.Same(t, &c.Routes[0], &next.Routes[0])
	require.False(t, c.ZoneOutOfService("b"))
	require.True(t, next.ZoneOutOfService("b"))
}

// Guards against a configuration that changes when it is formatted and parsed again.
func TestRoundTripProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := genConfig().Draw(t, "config")
		again := mustParse(t, strings.Join(c.Lines(), "\n"))
		require.Equal(t, c, again)
	})
}

// Guards against deltas that omit a change or cannot be applied to their base.
func TestDiffThenApplyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := genConfig().Draw(t, "from"), genConfig().Draw(t, "to")
		before := from.Lines()
		got, err := from.Apply(Diff(from, to))
		require.NoError(t, err)
		require.Equal(t, to.Lines(), got.Lines())
		require.Equal(t, before, from.Lines())
		require.True(t, Diff(from, from).Empty())
	})
}

// Guards against a merged delta whose effect differs from that of its parts applied
// in sequence.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := genConfig().Draw(t, "first")
		last := first
		var deltas []Delta
		for range rapid.IntRange(0, 5).Draw(t, "count") {
			next := genConfig().Draw(t, "next")
			deltas = append(deltas, Diff(last, next))
			last = next
		}
		got, err := first.Apply(Merge(deltas...))
		require.NoError(t, err)
		require.Equal(t, last.Lines(), got.Lines())
	})
}

// genConfig generates valid configurations from a few names, so that the rules of
// two configurations overlap.
func genConfig() *rapid.Generator[*Config] {
	names := rapid.SampledFrom([]string{"a", "b", "c-1", "D.e_2"})
	comments := rapid.Custom(func(t *rapid.T) Comment {
		return Comment(rapid.StringMatching(`[A-Z]\. [a-zé]{1,5}`).Draw(t, "who") + ": " + rapid.StringMatching(`[#a-z:](  ?[:#a-z]){0,3}`).Draw(t, "why"))
	})
	return rapid.Custom(func(t *rapid.T) *Config {
		c := NewConfig()
		for _, name := range rapid.SliceOfNDistinct(names, 1, 4, rapid.ID).Draw(t, "services") {
			c.Services[name] = Service{name, rapid.IntRange(1, MaxFloor).Draw(t, "floor"), "/health", comments.Draw(t, "comment")}
		}
		for _, name := range rapid.SliceOfNDistinct(names, 1, 4, rapid.ID).Draw(t, "teams") {
			c.Teams[name] = Team{name, Rate(rapid.Int64Range(1, int64(MaxRate)).Draw(t, "rate")), rapid.IntRange(1, MaxBurst).Draw(t, "burst"), rapid.IntRange(1, MaxWeight).Draw(t, "weight"), comments.Draw(t, "comment")}
			if rapid.Bool().Draw(t, "key") {
				digest := DigestKey(rapid.StringN(1, 2, 4).Draw(t, "key"))
				c.Keys[digest] = Key{digest, name, comments.Draw(t, "comment")}
			}
		}
		for _, name := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID).Draw(t, "places") {
			c.Zones[name] = Zone{name, rapid.Bool().Draw(t, "out"), comments.Draw(t, "comment")}
			c.BackendServers[name] = BackendServer{name, rapid.Bool().Draw(t, "out"), comments.Draw(t, "comment")}
		}
		c.Routes = genRoutes(t, c, comments)
		return c
	})
}

func genRoutes(t *rapid.T, c *Config, comments *rapid.Generator[Comment]) []Route {
	routes := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Route {
		return Route{
			Method:  rapid.SampledFrom([]string{"GET", "POST", AnyMethod}).Draw(t, "method"),
			Host:    rapid.SampledFrom([]string{"", "a.example", "b.example"}).Draw(t, "host"),
			Path:    rapid.StringMatching(`(/[ab]){0,3}/(\*|a)`).Draw(t, "path"),
			Service: rapid.SampledFrom(sortedNames(c.Services)).Draw(t, "service"),
			Comment: comments.Draw(t, "comment"),
			Timeout: time.Duration(rapid.Int64Range(int64(MinTimeout), int64(MaxTimeout)).Draw(t, "timeout")),
			Access:  Access(rapid.IntRange(0, 1).Draw(t, "access")),
			Repeat:  Repeat(rapid.IntRange(0, 1).Draw(t, "repeat")),
		}
	}), 0, 12, func(r Route) string { return r.Host + r.Path + r.Method }).Draw(t, "routes")
	return append([]Route{}, sortedRoutes(routes)...)
}

func sortedNames(services map[string]Service) []string {
	var names []string
	for _, name := range []string{"a", "b", "c-1", "D.e_2"} {
		if _, found := services[name]; found {
			names = append(names, name)
		}
	}
	return names
}

// Guards against panics and against accepted input that does not round-trip.
func FuzzParse(f *testing.F) {
	f.Add(sampleRules)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("fuzz", strings.NewReader(text))
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		lines := c.Lines()
		again := mustParse(t, strings.Join(lines, "\n"))
		require.Equal(t, lines, again.Lines())
		require.True(t, Diff(c, again).Empty())
		rebuilt, err := NewConfig().Apply(Delta{Added: lines})
		require.NoError(t, err)
		require.Equal(t, lines, rebuilt.Lines())
	})
}
