package admin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"trefoildock.example/configstore"
	"trefoildock.example/rules"
)

func (h *handler) audit(ctx iris.Context) (httpResponse, error) {
	query, err := parseAuditQuery(ctx.Request().URL.RawQuery)
	if err != nil {
		return httpResponse{}, err
	}
	page, err := h.auditPage(ctx.Request().Context(), query)
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{http.StatusOK, page}, nil
}

// auditPage returns the records that match the query. It stops after scanning
// maxAuditScanRecords records, so Next can be set although the page is not full.
func (h *handler) auditPage(ctx context.Context, query AuditQuery) (AuditResponse, error) {
	page := AuditResponse{Entries: []AuditEntry{}}
	after := query.After
	for scanned := 0; scanned < maxAuditScanRecords; {
		records, err := h.config.Store.Audit(ctx, after, logPageEntries)
		if err != nil {
			return AuditResponse{}, errors.Wrap(err, "read audit trail")
		}
		for i := range records {
			if len(page.Entries) == query.Limit {
				page.Next = after
				return page, nil
			}
			after = records[i].ToVersion
			if query.matches(&records[i]) {
				page.Entries = append(page.Entries, auditEntry(&records[i]))
			}
		}
		scanned += len(records)
		if len(records) == 0 {
			return page, nil
		}
	}
	page.Next = after
	return page, nil
}

// matches reports whether a record matches the filters.
func (q *AuditQuery) matches(r *configstore.AuditRecord) bool {
	return (q.Operator == "" || q.Operator == r.Operator) &&
		(q.Requester == "" || q.Requester == rules.Comment(r.Requester).Requester()) &&
		(q.From.IsZero() || !r.Time.Before(q.From)) &&
		(q.To.IsZero() || r.Time.Before(q.To))
}

func auditEntry(r *configstore.AuditRecord) AuditEntry {
	comment := rules.Comment(r.Requester)
	return AuditEntry{
		Version:     r.ToVersion,
		ReadVersion: r.FromVersion,
		Time:        r.Time.UTC(),
		Operator:    r.Operator,
		Requester:   comment.Requester(),
		Reason:      comment.Reason(),
		Action:      r.Action,
		CommitID:    r.CommitID,
		Delta:       rules.Delta{Removed: r.Removed, Added: r.Added},
	}
}

// values returns the URL query parameters of q.
func (q *AuditQuery) values() url.Values {
	v := url.Values{}
	set := func(name, value string, present bool) {
		if present {
			v.Set(name, value)
		}
	}
	set("after", strconv.FormatUint(q.After, 10), q.After > 0)
	set("limit", strconv.Itoa(q.Limit), q.Limit > 0)
	set("operator", q.Operator, q.Operator != "")
	set("requester", q.Requester, q.Requester != "")
	set("from", q.From.Format(time.RFC3339Nano), !q.From.IsZero())
	set("to", q.To.Format(time.RFC3339Nano), !q.To.IsZero())
	return v
}

// parseAuditQuery parses URL query parameters. It rejects unknown and repeated
// parameters, because ignoring a mistyped filter would return unwanted records.
func parseAuditQuery(text string) (AuditQuery, error) {
	query := AuditQuery{Limit: defaultAuditLimit}
	values, err := url.ParseQuery(text)
	if err != nil {
		return query, badRequestProblem("invalid query")
	}
	for name, list := range values {
		if len(list) != 1 {
			return query, badRequestProblem("%.64q: expected one value", name)
		}
		if err := query.setParameter(name, list[0]); err != nil {
			return query, err
		}
	}
	return query, nil
}

func (q *AuditQuery) setParameter(name, value string) error {
	var err error
	expected := ""
	switch name {
	case "after":
		q.After, err = strconv.ParseUint(value, 10, 64)
		expected = "a version"
	case "limit":
		q.Limit, err = strconv.Atoi(value)
		if q.Limit < 1 || q.Limit > maxAuditLimit {
			err = strconv.ErrRange
		}
		expected = "a number from 1 to 1000"
	case "operator":
		q.Operator = value
	case "requester":
		q.Requester = value
	case "from":
		q.From, err = time.Parse(time.RFC3339, value)
		expected = "a time such as 2026-01-31T15:04:05Z"
	case "to":
		q.To, err = time.Parse(time.RFC3339, value)
		expected = "a time such as 2026-01-31T15:04:05Z"
	default:
		return badRequestProblem("%.64q: expected after, limit, operator, requester, from or to", name)
	}
	if err != nil {
		return badRequestProblem("%s: expected %s", name, expected)
	}
	return nil
}
