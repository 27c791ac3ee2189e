package node

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admission"
)

const (
	// announcementLifetime is the validity of an announcement. Backend servers
	// announce themselves every 500 ms, so three announcements may be lost.
	announcementLifetime = 2 * time.Second
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxSlots and maxConnections bound the values in an announcement.
	maxSlots       = 10_000
	maxConnections = 100_000
)

// namePattern matches valid names of backend servers and services.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

// announcement is the body of PUT /v1/backend-servers/{name}.
type announcement struct {
	// Service is the service that the backend server runs.
	Service string `json:"service"`
	// Address is the backend server's IP address and port.
	Address string `json:"address"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
	// Incarnation changes with each start of the backend server.
	Incarnation string `json:"incarnation"`
	// State is "serving" or "draining".
	State string `json:"state"`
}

// parseAnnouncement decodes and validates an announcement.
func parseAnnouncement(name string, body io.Reader) (announcement, error) {
	var a announcement
	if !namePattern.MatchString(name) {
		return a, errors.Newf("backend server name %q is not valid", name)
	}
	data, err := io.ReadAll(io.LimitReader(body, maxAnnouncementBytes+1))
	if err != nil {
		return a, err
	}
	if len(data) > maxAnnouncementBytes {
		return a, errors.Newf("announcement is longer than %d bytes", maxAnnouncementBytes)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, errors.Wrap(err, "announcement is not valid JSON")
	}
	return a, a.validate()
}

func (a announcement) validate() error {
	if !namePattern.MatchString(a.Service) {
		return errors.Newf("service %q is not a valid name", a.Service)
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Newf("slots %d is not in 1..%d", a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return errors.Newf("connections %d is not in 1..%d", a.Connections, maxConnections)
	}
	if a.Incarnation == "" || len(a.Incarnation) > 64 {
		return errors.New("incarnation is empty or longer than 64 bytes")
	}
	if a.State != "serving" && a.State != "draining" {
		return errors.Newf("state %q is not \"serving\" or \"draining\"", a.State)
	}
	return nil
}

// checkAddress accepts an IP address with a port. It rejects host names,
// because a backend server runs on this VM and its address does not change.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("address %q has no IP address", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Newf("address %q has no valid port", address)
	}
	return nil
}

// backend is a backend server owned by this node. All fields except gate,
// dispatch and tracker are guarded by owner.mu.
type backend struct {
	name         string
	announcement announcement
	lastSeen     time.Time
	gate         *admission.Gate
	dispatch     *dispatcher
	tracker      *serverTracker
}

func newBackend(name string, a announcement, tracker *serverTracker, checks *dispatchChecks) *backend {
	return &backend{
		name: name, announcement: a,
		gate:     admission.NewGate(admission.Config{OnViolation: checks.recordSlotsViolation}),
		dispatch: newDispatcher(a.Address, a.Connections),
		tracker:  tracker,
	}
}

// announceHandler handles announcements on a loopback address.
func (n *Node) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backend-servers/{name}", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		a, err := parseAnnouncement(name, r.Body)
		if err != nil {
			n.metrics.announcementsRefused.Inc(1)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := n.owner.announce(name, a, time.Now()); err != nil {
			n.metrics.announcementsRefused.Inc(1)
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /v1/backend-servers/{name}", func(w http.ResponseWriter, r *http.Request) {
		n.owner.withdraw(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
