package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"trefoildock.example/rules"
)

const minimalSettings = `
[node]
name = "n-1"
vm = "vm-1"
zone = "z"
region = "r"
cluster = "c"
[listen]
traffic = "127.0.0.1:8080"
link = "127.0.0.1:7400"
[platform]
url = "http://127.0.0.1:9000"
`

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	s, err := Parse([]byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, Limits{65536, 64 << 20, Duration(5 * time.Second), Duration(time.Minute), false, 4096}, s.Limits)
	require.Equal(t, Process{Duration(20 * time.Second), "info"}, s.Process)
	require.Equal(t, 2*time.Second, s.Platform.Timeout.Std())
	require.False(t, s.Link.TLS())
	s, err = Parse([]byte(minimalSettings + "[limits]\nhedge = true\n"))
	require.NoError(t, err)
	require.True(t, s.Limits.Hedge)
	_, err = Parse([]byte(minimalSettings + "[limits]\nhedge = \"yes\"\n"))
	require.ErrorContains(t, err, "true or false")
}

// Guards against accepting values outside their range, and against errors that
// are reported one at a time or without the path of their key.
func TestParseErrors(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	tests := []struct{ name, replace, by, want string }{
		{"unknown key", `vm =`, "memory = 1\nvm =", "node.memory: expected one of the known keys cluster, name, region, vm, zone"},
		{"unknown table", `[node]`, "[\"a b\"]\nc = 1\n[node]", `"a b": expected one of the known keys limits, link, listen, node, operators, platform, process`},
		{"type", `"vm-1"`, "5", `node.vm: found "5", expected a string`},
		{"name", `"vm-1"`, `"vm 1"`, `node.vm: found "vm 1", expected a name of up to 63 letters, digits, '.', '_' and '-'`},
		{"missing", "traffic =", "#", "listen.traffic: expected an address IP:port with a port from 1 to 65535"},
		{"host name", "127.0.0.1:8080", "localhost:8080", `listen.traffic: found "localhost:8080", expected an address IP:port with a port from 1 to 65535`},
		{"overlap", "127.0.0.1:8080", "0.0.0.0:7400", `listen.link: found "127.0.0.1:7400", expected an address that does not overlap listen.traffic`},
		{"announce", "link =", "announce = \"10.0.0.1:7401\"\nlink =", `listen.announce: found "10.0.0.1:7401", expected a loopback address, because only backend servers of this VM may announce themselves`},
		{"TLS key without certificate", "link =", "traffic_key_file = \"k\"\nlink =", "listen.traffic_cert_file: expected a file name, because listen.traffic_key_file is set"},
		{"url", "http:", "ftp:", `platform.url: found "ftp://127.0.0.1:9000", expected an http or https URL without user, query and fragment`},
		{"duration without unit", "url =", "timeout = 5\nurl =", `platform.timeout: found "5", expected a duration with unit, such as "5s"`},
		{"duration range", "url =", "timeout = \"31s\"\nurl =", `platform.timeout: found "31s", expected a duration from 100ms to 30s`},
		{"seeds", "[platform]", "[link]\nseeds = [\"127.0.0.1:1\", 5, \"127.0.0.1:1\"]\n[platform]", "link.seeds[1]: found \"5\", expected a string\nlink.seeds[2]: found \"127.0.0.1:1\", expected each address only once"},
		{"size range", "[platform]", "[limits]\nmax_body_bytes = \"17GiB\"\nmax_header_bytes = 1\nmax_connections = 0\n[platform]", "limits.max_header_bytes: found \"1B\", expected a size from 4KiB to 1MiB\nlimits.max_body_bytes: found \"17GiB\", expected a size from 1KiB to 16GiB\nlimits.max_connections: found \"0\", expected a number of connections from 1 to 65536"},
		{"plaintext token is not shown", "[platform]", "[[operators]]\nname = \"a\"\ntoken_sha256 = \"hunter2\"\n[platform]", "operators[0].token_sha256: expected a SHA-256 digest of 64 hex digits"},
		{"operators", "[platform]", "[[operators]]\nname = \"a\"\ntoken_sha256 = \"" + digest + "\"\n[[operators]]\nname = \"a\"\ntoken_sha256 = \"" + digest + "\"\n[platform]", "operators[1].name: found \"a\", expected a name that no other operator has\noperators[1].token_sha256: expected a token that no other operator has"},
		{"process", "[platform]", "[process]\ndrain_time = \"0s\"\nlog_level = \"trace\"\n[platform]", "process.drain_time: found \"0s\", expected a duration from 1s to 10m0s\nprocess.log_level: found \"trace\", expected debug, info, warn or error"},
		{"table of another type", "[platform]", "limits = 5\n[platform]", "listen.limits: expected one of the known keys admin, announce, link, metrics, traffic, traffic_cert_file, traffic_key_file"},
		{"syntax", "[node]", "[node", "expected valid TOML: line 2, column 6: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Parse([]byte(strings.Replace(minimalSettings, tt.replace, tt.by, 1)))
			require.Nil(t, s)
			var list ErrorList
			require.ErrorAs(t, err, &list)
			if tt.name == "syntax" {
				require.True(t, strings.HasPrefix(err.Error(), tt.want), err.Error())
				return
			}
			require.Equal(t, tt.want, err.Error())
		})
	}
}

// Guards against plaintext connections between nodes outside loopback.
func TestLinkTLS(t *testing.T) {
	text := strings.Replace(minimalSettings, `link = "127.0.0.1:7400"`, `link = "10.0.0.1:7400"`, 1)
	_, err := Parse([]byte(text))
	require.ErrorContains(t, err, "link.ca_file: expected a file name")
	_, err = Parse([]byte(text + "[link]\nca_file = \"a\"\ncert_file = \"b\""))
	require.ErrorContains(t, err, "link.key_file: expected a file name")
	s, err := Parse([]byte(text + "[link]\nca_file = \"a\"\ncert_file = \"b\"\nkey_file = \"c\""))
	require.NoError(t, err)
	require.True(t, s.Link.TLS())
	s.Listen.Link = "0.0.0.0:7400"
	require.ErrorContains(t, s.Validate(), "listen.link: found \"0.0.0.0:7400\", expected an IP address that other nodes can dial")
}

// Guards against an operator token that is attributed to another operator, and
// against an accepted empty token.
func TestOperatorByToken(t *testing.T) {
	s := Default()
	s.Operators = []Operator{{"a", sha256.Sum256([]byte("one"))}, {"b", sha256.Sum256([]byte("two"))}}
	name, ok := s.OperatorByToken("two")
	require.True(t, ok)
	require.Equal(t, "b", name)
	_, ok = s.OperatorByToken("")
	require.False(t, ok)
}

// Guards against example files that fail to load or that lack a kind of rule that
// they demonstrate.
func TestExamples(t *testing.T) {
	deployments := map[string]struct{ services, zones []string }{
		"ffon": {[]string{"catalogue", "orders", "tracking"}, []string{"cymru-south-a", "cymru-south-b", "cymru-south-c"}},
		"cola": {[]string{"shelflife", "restock", "alertlog"}, []string{"heredia", "alajuela", "cartago"}},
	}
	for name, want := range deployments {
		s, err := Load(filepath.Join("examples", name+".toml"))
		require.NoError(t, err)
		require.Equal(t, name, s.Node.Cluster)
		require.Contains(t, want.zones, s.Node.Zone)
		require.True(t, s.Link.TLS())

		text, err := os.ReadFile(filepath.Join("examples", name+".rules"))
		require.NoError(t, err)
		c, err := rules.Parse(name+".rules", bytes.NewReader(text))
		require.NoError(t, err)
		require.Len(t, c.Services, len(want.services))
		for _, service := range want.services {
			require.Positive(t, c.Services[service].Floor)
		}
		for _, zone := range want.zones {
			require.Contains(t, c.Zones, zone)
		}
		require.Len(t, c.Teams, 8)
		require.Len(t, c.Keys, 8)
		var open, once bool
		for _, route := range c.Routes {
			open = open || route.Access == rules.AccessOpen && route.Repeat == rules.RepeatIdempotent
			once = once || route.Access == rules.AccessTeam && route.Repeat == rules.RepeatOnce
		}
		require.True(t, open && once)
	}
	_, err := Load("examples/none.toml")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against sizes that overflow or lose their unit.
func TestByteSize(t *testing.T) {
	for text, want := range map[string]ByteSize{"0": 0, "1": 1, "5B": 5, "64KiB": 64 * KiB, "1 MiB": MiB, "16GiB": 16 * GiB} {
		var b, again ByteSize
		require.NoError(t, b.UnmarshalText([]byte(text)))
		require.Equal(t, want, b)
		require.NoError(t, again.UnmarshalText([]byte(b.String())))
		require.Equal(t, b, again)
	}
	for _, text := range []string{"", "B", "-1", "1KB", "1.5MiB", "9223372036854775808", "9223372036854775807GiB"} {
		require.Error(t, new(ByteSize).UnmarshalText([]byte(text)), text)
	}
	text, err := Digest{1}.MarshalText()
	require.NoError(t, err)
	require.Equal(t, "01"+strings.Repeat("0", 62), string(text))
	require.Equal(t, 32, hex.DecodedLen(len(text)))
}

// Guards against panics, and against accepted settings that do not round-trip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			var list ErrorList
			require.ErrorAs(t, err, &list)
			require.NotEmpty(t, err.Error())
			return
		}
		require.NoError(t, s.Validate())
		written, err := toml.Marshal(s)
		require.NoError(t, err)
		again, err := Parse(written)
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}
