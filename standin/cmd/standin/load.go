package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/standin/backend"
	"trefoildock.example/standin/load"
)

const (
	executionsTimeout  = 10 * time.Second
	maxExecutionsBytes = 256 << 20
)

type loadCommand struct {
	Config      string        `type:"existingfile" help:"JSON file with the fields of load.Config; the flags replace its values."`
	Entry       []string      `help:"Address of an entry node; may be repeated."`
	Team        []string      `help:"Team as name:key:requests-per-second; may be repeated. Keys are better kept in the file."`
	Request     []string      `help:"Kind of request as 'METHOD PATH SHARE'; may be repeated."`
	Duration    time.Duration `help:"Time in which requests start."`
	MaxRequests int           `help:"Largest number of requests."`
	Timeout     time.Duration `help:"Time of one attempt."`
	Resends     int           `help:"Repetitions of an unanswered order."`
	Seed        uint64        `help:"Seed of arrivals, kinds and entries."`
	Executions  []string      `help:"Base URL of a backend server whose executions are compared with the orders; may be repeated."`
	JSON        bool          `name:"json" help:"Print the report as JSON."`
}

// loadOutput is the output of a load run.
type loadOutput struct {
	*load.Report
	// Violations lists the orders whose executions violate a guarantee.
	Violations []string `json:"broken,omitempty"`
}

// Run sends the requests and prints the report. A stop signal stops new requests.
func (c *loadCommand) Run(ctx context.Context, logger log.Logger) error {
	config, err := c.config()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		logger.Log("msg", "stopped by a signal; the report covers the requests so far")
	}
	out := loadOutput{Report: report}
	if len(c.Executions) > 0 {
		// The comparison must also run after a stop signal.
		keys, err := fetchExecutions(context.WithoutCancel(ctx), c.Executions)
		if err != nil {
			return err
		}
		out.Violations = load.CheckExecutions(report.Orders, keys)
	}
	if err := c.print(os.Stdout, out); err != nil {
		return err
	}
	if n := &report.Total.Counts; len(out.Violations) > 0 || n.WrongAttempts > 0 || n.TruncatedAttempts > 0 {
		return errGuaranteeViolated
	}
	return nil
}

func (c *loadCommand) print(w io.Writer, out loadOutput) error {
	if c.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(out)
	}
	if err := out.WriteTable(w); err != nil {
		return err
	}
	for _, line := range out.Violations {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// config reads the configuration file and overrides its values by the flags.
func (c *loadCommand) config() (load.Config, error) {
	var config load.Config
	if c.Config != "" {
		text, err := os.ReadFile(c.Config)
		if err != nil {
			return config, errors.Wrap(err, "configuration")
		}
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&config); err != nil {
			return config, errors.Wrapf(err, "configuration %s", c.Config)
		}
	}
	if len(c.Entry) > 0 {
		config.Entries = c.Entry
	}
	if err := c.setTeams(&config); err != nil {
		return config, err
	}
	if err := c.setKinds(&config); err != nil {
		return config, err
	}
	overrideIfSet(&config.Duration, c.Duration)
	overrideIfSet(&config.MaxRequests, c.MaxRequests)
	overrideIfSet(&config.Timeout, c.Timeout)
	overrideIfSet(&config.Resends, c.Resends)
	overrideIfSet(&config.Seed, c.Seed)
	config.KeepOrders = config.KeepOrders || len(c.Executions) > 0
	return config, nil
}

// overrideIfSet sets field to the value of flag unless that is the zero value.
func overrideIfSet[T comparable](field *T, flag T) {
	var zero T
	if flag != zero {
		*field = flag
	}
}

func (c *loadCommand) setTeams(config *load.Config) error {
	if len(c.Team) > 0 {
		config.Teams = nil
	}
	for _, s := range c.Team {
		parts := strings.Split(s, ":")
		if len(parts) != 3 {
			return errors.New("team must be name:key:requests-per-second")
		}
		rate, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return errors.Newf("rate %q of team %q is not a number", parts[2], parts[0])
		}
		config.Teams = append(config.Teams, load.Team{Name: parts[0], Key: parts[1], Rate: rate})
	}
	return nil
}

func (c *loadCommand) setKinds(config *load.Config) error {
	if len(c.Request) > 0 {
		config.Kinds = nil
	}
	for _, s := range c.Request {
		parts := strings.Fields(s)
		if len(parts) != 3 {
			return errors.Newf("request %q must be 'METHOD PATH SHARE'", s)
		}
		share, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return errors.Newf("share %q of request %q is not a number", parts[2], s)
		}
		config.Kinds = append(config.Kinds, load.RequestKind{Method: parts[0], Path: parts[1], Share: share})
	}
	return nil
}

// fetchExecutions sums the number of executions by key over all backend servers.
func fetchExecutions(ctx context.Context, servers []string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, executionsTimeout)
	defer cancel()
	sum := make(map[string]int)
	for _, server := range servers {
		keys, err := fetchKeys(ctx, server)
		if err != nil {
			return nil, errors.Wrapf(err, "executions of %s", server)
		}
		for key, n := range keys {
			sum[key] += n
		}
	}
	return sum, nil
}

func fetchKeys(ctx context.Context, server string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(server, "/")+"/executions", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	var e backend.Executions
	err = json.NewDecoder(io.LimitReader(resp.Body, maxExecutionsBytes)).Decode(&e)
	return e.Keys, err
}
