package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of the operator's configuration.
type route struct {
	Name, Host, Prefix, Type string
	TimeoutMS, TargetMS      int
	MaxAttempts              int
	Public                   bool
	Service                  string
}

// maxBodyBytes is the limit of the operator's configuration on a consumer's body, as in the
// example of the platform's wire page.
const maxBodyBytes = 64 << 20

const (
	apiKey    = "89anu6wsjnbanfqasnmg"
	coldPerS  = 11
	coldForS  = 3
	coldOver  = 1.5
	coldSlack = 5
)

// configText returns a configuration in the form of the operator's API.
func configText(version int, routes []route, services []string) string {
	var rows, serviceRows [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.Name, r.Host, r.Prefix, r.Type, r.TimeoutMS, r.TargetMS, 1, nil, r.MaxAttempts, r.Public, r.Service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/healthz", 390, "h1", false, coldForS, coldPerS})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "type", "timeout-ms", "target-latency-ms", "priority", "traffic-split", "max-attempts", "public", "service"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health-check-path", "max-connections", "protocol", "tls", "cold-start-s", "cold-per-s"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": map[string]any{
			"columns": []string{"name", "api-keys", "priority", "rate-per-s", "burst"},
			"rows":    [][]any{{"tenant", []string{apiKey}, nil, nil, nil}},
		},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}
