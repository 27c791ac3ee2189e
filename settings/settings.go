package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the static settings of a node.
type Settings struct {
	// Node names the process and its place.
	Node Node `toml:"node"`
	// Listen holds the addresses that the process listens on.
	Listen Listen `toml:"listen"`
	// Platform is the service with the table and the object store.
	Platform Platform `toml:"platform"`
	// Link configures the connections between nodes.
	Link Link `toml:"link"`
	// Operators may use the admin API. Default: none, which refuses every request.
	Operators []Operator `toml:"operators"`
	// Limits bound what a caller can use.
	Limits Limits `toml:"limits"`
	// Process configures shutdown and logging.
	Process Process `toml:"process"`
}

// Node names a process and its place. All names are required and consist of up
// to 63 letters, digits, '.', '_' and '-'.
type Node struct {
	// Name identifies the node in the cluster.
	Name string `toml:"name"`
	// VM is the machine that the node runs on.
	VM string `toml:"vm"`
	// Zone is the availability zone of the VM.
	Zone string `toml:"zone"`
	// Region is the region of the availability zone.
	Region string `toml:"region"`
	// Cluster is the deployment; nodes of different clusters never exchange messages.
	Cluster string `toml:"cluster"`
}

// Listen holds addresses of the form "IP:port". They must differ from each other.
type Listen struct {
	// Traffic serves callers. Required.
	Traffic string `toml:"traffic"`
	// TrafficCertFile and TrafficKeyFile are PEM files for TLS towards callers.
	// Default: plain text.
	TrafficCertFile string `toml:"traffic_cert_file"`
	TrafficKeyFile  string `toml:"traffic_key_file"`
	// Link serves other nodes. Required; the IP must be one that they can dial.
	Link string `toml:"link"`
	// Announce serves announcements of backend servers on this VM.
	// Default 127.0.0.1:7401; must be a loopback address.
	Announce string `toml:"announce"`
	// Admin serves the admin API. Default 127.0.0.1:7402.
	Admin string `toml:"admin"`
	// Metrics serves the metrics. Default 127.0.0.1:7403.
	Metrics string `toml:"metrics"`
}

// Platform is the service with the table and the object store.
type Platform struct {
	// URL is the http or https address of the service. Required.
	URL string `toml:"url"`
	// Timeout bounds one request. Default 2s, from 100ms to 30s.
	Timeout Duration `toml:"timeout"`
}

// Link configures the connections between nodes.
type Link struct {
	// Seeds are link addresses of nodes to contact after a start while the
	// platform is unavailable. Default: none; at most 64. They may contain the
	// node's own address, so that all nodes can share one list.
	Seeds []string `toml:"seeds"`
	// CAFile, CertFile and KeyFile are PEM files for mutual TLS. They are
	// required unless listen.link is a loopback address.
	CAFile   string `toml:"ca_file"`
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// TLS reports whether links use mutual TLS.
func (l *Link) TLS() bool {
	return l.CAFile != ""
}

// Operator may use the admin API.
type Operator struct {
	// Name stands in the audit trail. Required; a name as in Node.
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 digest of the operator's token as 64 hex digits. Required.
	TokenSHA256 Digest `toml:"token_sha256"`
}

// Limits bound what a caller can use.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request. Default 64KiB, from 4KiB to 1MiB.
	MaxHeaderBytes ByteSize `toml:"max_header_bytes"`
	// MaxBodyBytes bounds the body of a request. Default 64MiB, from 1KiB to 16GiB.
	MaxBodyBytes ByteSize `toml:"max_body_bytes"`
	// HeaderReadTimeout bounds the time in which a header must arrive. Default 5s, from 100ms to 1m.
	HeaderReadTimeout Duration `toml:"header_read_timeout"`
	// IdleTimeout closes a caller's connection without a request. Default 60s, from 1s to 1h.
	IdleTimeout Duration `toml:"idle_timeout"`
	// Hedge sends an idempotent request to a second owner when the first is slower
	// than 95% of the service's requests. Default false, because the cancelled
	// loser hides a slow backend server from detection.
	Hedge bool `toml:"hedge"`
	// MaxConnections bounds the open connections of callers. Default 4096, from 1 to 65536.
	MaxConnections int `toml:"max_connections"`
}

// Process configures shutdown and logging.
type Process struct {
	// DrainTime is the time between leaving the cluster and closing the listeners
	// on a graceful shutdown. Default 20s, from 1s to 10m.
	DrainTime Duration `toml:"drain_time"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
}

// Default returns settings with every default and without the required values.
func Default() *Settings {
	return &Settings{
		Listen: Listen{
			Announce: "127.0.0.1:7401",
			Admin:    "127.0.0.1:7402",
			Metrics:  "127.0.0.1:7403",
		},
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Limits: Limits{
			MaxHeaderBytes:    64 * KiB,
			MaxBodyBytes:      64 * MiB,
			HeaderReadTimeout: Duration(5 * time.Second),
			IdleTimeout:       Duration(60 * time.Second),
			MaxConnections:    4096,
		},
		Process: Process{DrainTime: Duration(20 * time.Second), LogLevel: "info"},
	}
}

// Load reads and checks a settings file. The error is that of the file system or
// an ErrorList.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse reads and checks the text of a settings file. The error is an ErrorList.
func Parse(text []byte) (*Settings, error) {
	s := Default()
	list := decode(text, s)
	if list.syntax() {
		return nil, list
	}
	for _, e := range s.check() {
		// A value that was not decoded has been reported already.
		if !list.covers(e.Key) {
			list = append(list, e)
		}
	}
	if len(list) > 0 {
		return nil, list
	}
	return s, nil
}

// Validate checks every value. The error is an ErrorList.
func (s *Settings) Validate() error {
	if list := s.check(); len(list) > 0 {
		return list
	}
	return nil
}

// Operator returns the name of the operator with the token. All digests are
// compared in constant time.
func (s *Settings) Operator(token string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for i := range s.Operators {
		if subtle.ConstantTimeCompare(digest[:], s.Operators[i].TokenSHA256[:]) == 1 {
			name, ok = s.Operators[i].Name, true
		}
	}
	return name, ok
}
