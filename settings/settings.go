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
	// Node identifies the node and its location.
	Node Node `toml:"node"`
	// Listen holds the listen addresses of the process.
	Listen Listen `toml:"listen"`
	// Platform configures the connection to the table service and the object store.
	Platform Platform `toml:"platform"`
	// Link configures the connections between nodes.
	Link Link `toml:"link"`
	// Operators are the accounts that may use the admin API. Default: none, so that
	// every request is rejected.
	Operators []Operator `toml:"operators"`
	// Limits bounds the resources that callers can use.
	Limits Limits `toml:"limits"`
	// Process configures shutdown and logging.
	Process Process `toml:"process"`
}

// Node identifies a node and its location. All names are required and consist of
// up to 63 letters, digits, '.', '_' and '-'.
type Node struct {
	// Name identifies the node in the cluster.
	Name string `toml:"name"`
	// VM is the name of the VM that the node runs on.
	VM string `toml:"vm"`
	// Zone is the availability zone of the VM.
	Zone string `toml:"zone"`
	// Region is the region of the availability zone.
	Region string `toml:"region"`
	// Cluster is the name of the deployment. Nodes of different clusters do not
	// exchange messages.
	Cluster string `toml:"cluster"`
}

// Listen holds listen addresses of the form "IP:port". They must not overlap.
type Listen struct {
	// Traffic is the address for callers. Required.
	Traffic string `toml:"traffic"`
	// TrafficCertFile and TrafficKeyFile are the PEM files of the TLS certificate
	// for callers. Default: none, which serves plaintext HTTP.
	TrafficCertFile string `toml:"traffic_cert_file"`
	TrafficKeyFile  string `toml:"traffic_key_file"`
	// Link is the address for other nodes. Required; it must be reachable from them.
	Link string `toml:"link"`
	// Announce is the address for announcements of the backend servers on this VM.
	// Default 127.0.0.1:7401; must be a loopback address.
	Announce string `toml:"announce"`
	// Admin is the address of the admin API. Default 127.0.0.1:7402.
	Admin string `toml:"admin"`
	// Metrics is the address of the metrics endpoint. Default 127.0.0.1:7403.
	Metrics string `toml:"metrics"`
}

// Platform configures the connection to the table service and the object store.
type Platform struct {
	// URL is the http or https URL of the service. Required.
	URL string `toml:"url"`
	// Timeout bounds one request. Default 2s, from 100ms to 30s.
	Timeout Duration `toml:"timeout"`
}

// Link configures the connections between nodes.
type Link struct {
	// Seeds are link addresses of nodes to contact at startup while the platform
	// is unavailable. Default: none; at most 64. They may include the address of
	// the node itself, so that all nodes can share one list.
	Seeds []string `toml:"seeds"`
	// CAFile, CertFile and KeyFile are the PEM files for mutual TLS. They are
	// required unless listen.link is a loopback address.
	CAFile   string `toml:"ca_file"`
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// TLS reports whether connections between nodes use mutual TLS.
func (l *Link) TLS() bool {
	return l.CAFile != ""
}

// Operator is an account that may use the admin API.
type Operator struct {
	// Name identifies the operator in the audit log. Required; the form is that of
	// the names in Node.
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 digest of the operator's token as 64 hex digits. Required.
	TokenSHA256 Digest `toml:"token_sha256"`
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request header. Default 64KiB, from 4KiB to 1MiB.
	MaxHeaderBytes ByteSize `toml:"max_header_bytes"`
	// MaxBodyBytes is the maximum size of a request body. Default 64MiB, from 1KiB to 16GiB.
	MaxBodyBytes ByteSize `toml:"max_body_bytes"`
	// HeaderReadTimeout is the time within which the request header must be received.
	// Default 5s, from 100ms to 1m.
	HeaderReadTimeout Duration `toml:"header_read_timeout"`
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	// Default 60s, from 1s to 1h.
	IdleTimeout Duration `toml:"idle_timeout"`
	// Hedge enables hedged requests: an idempotent request is also sent to a second
	// owner node when the first has not responded within the 95th percentile of the
	// latency of the service. Default false, because the slower request is
	// cancelled, which hides a slow backend server from outlier detection.
	Hedge bool `toml:"hedge"`
	// MaxConnections is the maximum number of open connections of callers. Default 4096, from 1 to 65536.
	MaxConnections int `toml:"max_connections"`
}

// Process configures shutdown and logging.
type Process struct {
	// DrainTime is the time between leaving the cluster and closing the listeners
	// during a graceful shutdown. Default 20s, from 1s to 10m.
	DrainTime Duration `toml:"drain_time"`
	// LogLevel is the minimum log level: debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
}

// Default returns settings with all default values. Required values are empty.
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

// Load reads and validates a settings file. The error wraps an error of the file
// system or an ErrorList.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse decodes and validates the text of a settings file. The error is an
// ErrorList.
func Parse(text []byte) (*Settings, error) {
	s := Default()
	list := decode(text, s)
	if list.hasSyntaxError() {
		return nil, list
	}
	for _, e := range s.validationErrors() {
		// The decoder has already reported values that it could not decode.
		if !list.covers(e.Key) {
			list = append(list, e)
		}
	}
	if len(list) > 0 {
		return nil, list
	}
	return s, nil
}

// Validate checks all values. The error is an ErrorList.
func (s *Settings) Validate() error {
	if list := s.validationErrors(); len(list) > 0 {
		return list
	}
	return nil
}

// OperatorByToken returns the name of the operator with the given token. The digests of
// all operators are compared, each in constant time.
func (s *Settings) OperatorByToken(token string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for i := range s.Operators {
		if subtle.ConstantTimeCompare(digest[:], s.Operators[i].TokenSHA256[:]) == 1 {
			name, ok = s.Operators[i].Name, true
		}
	}
	return name, ok
}
