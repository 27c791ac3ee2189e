package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
)

// States in an Announcement.
const (
	StateServing  = "serving"
	StateDraining = "draining"
)

func stateName(draining bool) string {
	if draining {
		return StateDraining
	}
	return StateServing
}

// Announcement is the body of an announcement of a backend server to its node.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
}

// announcer sends the current announcement every announceInterval.
type announcer struct {
	url     string
	client  *http.Client
	current func() Announcement
	// trigger requests an immediate announcement.
	trigger chan struct{}
	// onResult is called after each attempt.
	onResult func(error)
}

func newAnnouncer(base, name string, current func() Announcement, onResult func(error)) *announcer {
	return &announcer{
		url:      strings.TrimSuffix(base, "/") + "/v1/backend-servers/" + url.PathEscape(name),
		client:   &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}},
		current:  current,
		trigger:  make(chan struct{}, 1),
		onResult: onResult,
	}
}

// triggerAnnouncement triggers an announcement before the end of the interval.
func (a *announcer) triggerAnnouncement() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

// run sends announcements until ctx ends.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		err := a.announce(ctx)
		if ctx.Err() != nil {
			return
		}
		a.onResult(err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.trigger:
		}
	}
}

func (a *announcer) announce(ctx context.Context) error {
	body, err := json.Marshal(a.current())
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, a.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announcement URL")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return errors.Newf("node responded with status %d", resp.StatusCode)
	}
	return nil
}
