package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"trefoildock.example/rules"
)

// Minimum and maximum values of settings.
const (
	minPlatformTimeout   = 100 * time.Millisecond
	maxPlatformTimeout   = 30 * time.Second
	maxSeeds             = 64
	minHeaderBytes       = 4 * KiB
	maxHeaderBytes       = MiB
	minBodyBytes         = KiB
	maxBodyBytes         = 16 * GiB
	minHeaderReadTimeout = 100 * time.Millisecond
	maxHeaderReadTimeout = time.Minute
	minIdleTimeout       = time.Second
	maxIdleTimeout       = time.Hour
	maxConnections       = 65536
	minDrainTime         = time.Second
	maxDrainTime         = 10 * time.Minute
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker validates values and collects the errors.
type checker struct {
	errs ErrorList
}

// validationErrors validates all values and returns the errors.
func (s *Settings) validationErrors() ErrorList {
	var c checker
	c.checkNode(&s.Node)
	c.checkListen(&s.Listen)
	c.checkPlatform(&s.Platform)
	c.checkLink(&s.Link, s.Listen.Link)
	c.checkOperators(s.Operators)
	c.checkLimits(&s.Limits)
	c.checkDuration("process.drain_time", s.Process.DrainTime, minDrainTime, maxDrainTime)
	if !slices.Contains(logLevels, s.Process.LogLevel) {
		c.addError("process.log_level", s.Process.LogLevel, "debug, info, warn or error")
	}
	return c.errs
}

func (c *checker) addError(key, value, expected string) {
	c.errs = append(c.errs, &Error{Key: key, Value: truncate(value), Expected: expected})
}

func (c *checker) checkNode(n *Node) {
	c.checkName("node.name", n.Name)
	c.checkName("node.vm", n.VM)
	c.checkName("node.zone", n.Zone)
	c.checkName("node.region", n.Region)
	c.checkName("node.cluster", n.Cluster)
}

func (c *checker) checkName(key, value string) {
	if !rules.ValidName(value) {
		c.addError(key, value, "a name of up to 63 letters, digits, '.', '_' and '-'")
	}
}

func (c *checker) checkListen(l *Listen) {
	c.checkAddress("listen.traffic", l.Traffic)
	c.checkFilePair("listen.traffic_cert_file", l.TrafficCertFile, "listen.traffic_key_file", l.TrafficKeyFile)
	if link, ok := c.checkAddress("listen.link", l.Link); ok && link.Addr().IsUnspecified() {
		c.addError("listen.link", l.Link, "an IP address that other nodes can dial")
	}
	if announce, ok := c.checkAddress("listen.announce", l.Announce); ok && !announce.Addr().IsLoopback() {
		c.addError("listen.announce", l.Announce, "a loopback address, because only backend servers of this VM may announce themselves")
	}
	c.checkAddress("listen.admin", l.Admin)
	c.checkAddress("listen.metrics", l.Metrics)
	c.checkDistinctListeners(l)
}

// checkAddress checks that value is an address of the form IP:port.
func (c *checker) checkAddress(key, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.addError(key, value, "an address IP:port with a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return address, true
}

// checkDistinctListeners checks that all listeners can be bound at the same time. Two
// listeners conflict if they have the same port and either the same IP address or
// an unspecified one.
func (c *checker) checkDistinctListeners(l *Listen) {
	listeners := []struct{ key, value string }{
		{"listen.traffic", l.Traffic},
		{"listen.link", l.Link},
		{"listen.announce", l.Announce},
		{"listen.admin", l.Admin},
		{"listen.metrics", l.Metrics},
	}
	for i, listener := range listeners {
		address, err := netip.ParseAddrPort(listener.value)
		if err != nil {
			continue
		}
		for _, earlier := range listeners[:i] {
			other, err := netip.ParseAddrPort(earlier.value)
			if err == nil && overlap(address, other) {
				c.addError(listener.key, listener.value, "an address that does not overlap "+earlier.key)
			}
		}
	}
}

func overlap(a, b netip.AddrPort) bool {
	sameIP := a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return a.Port() == b.Port() && sameIP
}

// checkFilePair checks that either both files are set or neither.
func (c *checker) checkFilePair(keyA, a, keyB, b string) {
	if a == "" && b != "" {
		c.addError(keyA, "", "a file name, because "+keyB+" is set")
	}
	if a != "" && b == "" {
		c.addError(keyB, "", "a file name, because "+keyA+" is set")
	}
}

func (c *checker) checkPlatform(p *Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.addError("platform.url", p.URL, "an http or https URL without user, query and fragment")
	}
	c.checkDuration("platform.timeout", p.Timeout, minPlatformTimeout, maxPlatformTimeout)
}

func (c *checker) checkLink(l *Link, listen string) {
	if len(l.Seeds) > maxSeeds {
		c.addError("link.seeds", strconv.Itoa(len(l.Seeds))+" addresses", fmt.Sprintf("at most %d addresses", maxSeeds))
	}
	for i, seed := range l.Seeds {
		key := fmt.Sprintf("link.seeds[%d]", i)
		c.checkAddress(key, seed)
		if slices.Contains(l.Seeds[:i], seed) {
			c.addError(key, seed, "each address only once")
		}
	}
	c.checkLinkTLS(l, listen)
}

// checkLinkTLS checks that all TLS files are set. On loopback, all may be omitted.
func (c *checker) checkLinkTLS(l *Link, listen string) {
	address, err := netip.ParseAddrPort(listen)
	loopback := err == nil && address.Addr().IsLoopback()
	if l.CAFile == "" && l.CertFile == "" && l.KeyFile == "" && loopback {
		return
	}
	const expected = "a file name, because links use mutual TLS unless listen.link is a loopback address and all three files are left out"
	for _, file := range []struct{ key, value string }{
		{"link.ca_file", l.CAFile},
		{"link.cert_file", l.CertFile},
		{"link.key_file", l.KeyFile},
	} {
		if file.value == "" {
			c.addError(file.key, "", expected)
		}
	}
}

func (c *checker) checkOperators(operators []Operator) {
	names := make(map[string]bool, len(operators))
	digests := make(map[Digest]bool, len(operators))
	for i, o := range operators {
		key := fmt.Sprintf("operators[%d]", i)
		c.checkName(key+".name", o.Name)
		if names[o.Name] {
			c.addError(key+".name", o.Name, "a name that no other operator has")
		}
		switch {
		case o.TokenSHA256 == Digest{}:
			c.addError(key+".token_sha256", "", "a SHA-256 digest of 64 hex digits")
		case digests[o.TokenSHA256]:
			c.addError(key+".token_sha256", "", "a token that no other operator has")
		}
		names[o.Name] = true
		digests[o.TokenSHA256] = true
	}
}

func (c *checker) checkLimits(l *Limits) {
	c.checkSize("limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.checkSize("limits.max_body_bytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	c.checkDuration("limits.header_read_timeout", l.HeaderReadTimeout, minHeaderReadTimeout, maxHeaderReadTimeout)
	c.checkDuration("limits.idle_timeout", l.IdleTimeout, minIdleTimeout, maxIdleTimeout)
	if l.MaxConnections < 1 || l.MaxConnections > maxConnections {
		c.addError("limits.max_connections", strconv.Itoa(l.MaxConnections), fmt.Sprintf("a number of connections from 1 to %d", maxConnections))
	}
}

func (c *checker) checkDuration(key string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.addError(key, value.String(), fmt.Sprintf("a duration from %s to %s", low, high))
	}
}

func (c *checker) checkSize(key string, value, low, high ByteSize) {
	if value < low || value > high {
		c.addError(key, value.String(), fmt.Sprintf("a size from %s to %s", low, high))
	}
}
