package main

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"

	"trefoildock.example/rules"
)

// operatorName is the name of the operator in the audit trail.
const operatorName = "demo"

// nodeDrainTime is short because the demo waits for a graceful shutdown.
const nodeDrainTime = "3s"

var settingsTemplate = template.Must(template.New("settings").Parse(`[node]
name = "{{.Name}}"
vm = "vm-{{.Name}}"
zone = "{{.Zone}}"
region = "{{.Region}}"
cluster = "{{.Cluster}}"

[listen]
traffic = "{{.Traffic}}"
{{- if .TLS}}
traffic_cert_file = "{{.CertFile}}"
traffic_key_file = "{{.KeyFile}}"
{{- end}}
link = "{{.Link}}"
announce = "{{.Announce}}"
admin = "{{.Admin}}"
metrics = "{{.Metrics}}"

[platform]
url = "{{.Platform}}"

[link]
seeds = [{{range .Seeds}}"{{.}}", {{end}}]
{{- if .TLS}}
ca_file = "{{.CAFile}}"
cert_file = "{{.CertFile}}"
key_file = "{{.KeyFile}}"
{{- end}}

[[operators]]
name = "{{.Operator}}"
token_sha256 = "{{.TokenDigest}}"

[process]
drain_time = "{{.DrainTime}}"
`))

// settingsValues are the values of settingsTemplate.
type settingsValues struct {
	Name, Zone, Region, Cluster             string
	Traffic, Link, Announce, Admin, Metrics string
	Platform                                string
	Seeds                                   []string
	TLS                                     bool
	CAFile, CertFile, KeyFile               string
	Operator, TokenDigest, DrainTime        string
}

// newToken returns an operator token and its SHA-256 digest in hexadecimal.
func newToken() (token, digest string) {
	var random [32]byte
	_, _ = rand.Read(random[:]) // Never fails (crypto/rand).
	token = hex.EncodeToString(random[:])
	sum := sha256.Sum256([]byte(token))
	return token, hex.EncodeToString(sum[:])
}

// writeSettings writes the settings of a node and, with TLS, its certificate.
func (d *deployment) writeSettings(v *vm, ca *authority, tokenDigest string) error {
	values := settingsValues{
		Name: v.name, Zone: v.zone, Region: d.region, Cluster: d.name,
		Traffic: v.hostPort(trafficPort), Link: v.hostPort(linkPort), Announce: v.hostPort(announcePort),
		Admin: v.hostPort(adminPort), Metrics: v.hostPort(metricsPort),
		Platform: "http://" + d.platformAddress(), Seeds: d.seeds(), TLS: d.tls,
		CertFile: d.path(v.name + ".pem"), KeyFile: d.path(v.name + "-key.pem"),
		Operator: operatorName, TokenDigest: tokenDigest, DrainTime: nodeDrainTime,
	}
	if d.tls {
		values.CAFile = ca.file
		if err := ca.issue(v.name, v.address, values.CertFile, values.KeyFile); err != nil {
			return err
		}
	}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, values); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return os.WriteFile(d.path(v.name+".toml"), text.Bytes(), 0o600)
}

// seeds returns the link addresses of two nodes in each zone.
func (d *deployment) seeds() []string {
	var seeds []string
	inZone := make(map[string]int)
	for i := range d.vms {
		v := &d.vms[i]
		if inZone[v.zone]++; inZone[v.zone] <= 2 {
			seeds = append(seeds, v.hostPort(linkPort))
		}
	}
	return seeds
}

// issueKeys replaces the digest in each key rule by the digest of a new key and
// returns the plaintext keys by team.
func issueKeys(text string) (rulesText string, keys map[string]string, err error) {
	keys = make(map[string]string)
	lines := strings.SplitAfter(text, "\n")
	for i, line := range lines {
		words := strings.Fields(line)
		if len(words) < 3 || words[0] != "key" {
			continue
		}
		key, digest, err := rules.NewKey()
		if err != nil {
			return "", nil, err
		}
		keys[words[1]] = key
		lines[i] = strings.Replace(line, words[2], digest.String(), 1)
	}
	return strings.Join(lines, ""), keys, nil
}

// changeRate replaces the rate of a team in a rules file.
func changeRate(text, team, rate string) string {
	lines := strings.SplitAfter(text, "\n")
	for i, line := range lines {
		words := strings.Fields(line)
		if len(words) > 3 && words[0] == "team" && words[1] == team {
			lines[i] = strings.Replace(line, words[3], rate, 1)
		}
	}
	return strings.Join(lines, "")
}

// parseTeamRate returns the rate limit of a team in a rules file.
func parseTeamRate(name, text, team string) (perSecond, burst float64, err error) {
	c, err := rules.Parse(name, strings.NewReader(text))
	if err != nil {
		return 0, 0, err
	}
	t, ok := c.Teams[team]
	if !ok {
		return 0, 0, errors.Newf("%s has no team %s", name, team)
	}
	return t.Rate.PerSecond(), float64(t.Burst), nil
}

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name) }
