package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admin"
)

// maxAuditPage is the maximum page size of the admin API, in records.
const maxAuditPage = 1000

// auditCmd shows the audit trail.
type auditCmd struct {
	After     uint64    `help:"Show records after this version." placeholder:"N"`
	Limit     int       `help:"Largest number of records." default:"100"`
	Operator  string    `help:"Only changes by this operator." placeholder:"NAME"`
	Requester string    `help:"Only changes that this person asked for." placeholder:"NAME"`
	From      time.Time `help:"Only changes from this time on, such as 2026-01-31T15:04:05Z." placeholder:"TIME"`
	To        time.Time `help:"Only changes before this time." placeholder:"TIME"`
	Lines     bool      `help:"Show the rules that were removed and added."`
}

// Validate checks the limit. It is called by kong after parsing.
func (c *auditCmd) Validate() error {
	if c.Limit < 1 {
		return errors.New("--limit must be at least 1")
	}
	return nil
}

// Run executes the command.
func (c *auditCmd) Run(a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	result, err := c.collect(ctx, client)
	if err != nil {
		return err
	}
	if a.JSON {
		writeJSON(a.stdout, result)
		return nil
	}
	c.show(a, result.Entries)
	if result.Next > 0 {
		_, _ = fmt.Fprintf(a.stderr, "trefoildock: there are more records; continue with --after %d\n", result.Next)
	}
	return nil
}

// collect fetches pages until the limit or the end of the audit trail is reached. Next
// of the result is 0 at the end of the trail.
func (c *auditCmd) collect(ctx context.Context, client *admin.Client) (admin.AuditResponse, error) {
	result := admin.AuditResponse{Entries: []admin.AuditEntry{}, Next: c.After}
	for len(result.Entries) < c.Limit {
		page, err := client.Audit(ctx, admin.AuditQuery{
			After:     result.Next,
			Limit:     min(c.Limit-len(result.Entries), maxAuditPage),
			Operator:  c.Operator,
			Requester: c.Requester,
			From:      c.From,
			To:        c.To,
		})
		if err != nil {
			return admin.AuditResponse{}, err
		}
		result.Entries = append(result.Entries, page.Entries...)
		if result.Next = page.Next; page.Next == 0 {
			break
		}
	}
	return result, nil
}

func (c *auditCmd) show(a *app, entries []admin.AuditEntry) {
	header := []string{"VERSION", "TIME", "OPERATOR", "REQUESTER", "ACTION", "RULES", "REASON"}
	if !c.Lines {
		rows := [][]string{header}
		for i := range entries {
			rows = append(rows, auditRow(&entries[i]))
		}
		a.printTable(rows)
		return
	}
	for i := range entries {
		a.printTable([][]string{auditRow(&entries[i])})
		a.printDelta(entries[i].Delta, "  ")
	}
}

func auditRow(e *admin.AuditEntry) []string {
	return []string{
		strconv.FormatUint(e.ReadVersion, 10) + "->" + strconv.FormatUint(e.Version, 10),
		e.Time.Format(time.RFC3339),
		e.Operator,
		e.Requester,
		e.Action,
		fmt.Sprintf("-%d+%d", len(e.Delta.Removed), len(e.Delta.Added)),
		e.Reason,
	}
}
