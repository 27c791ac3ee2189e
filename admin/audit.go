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

func (h *handler) audit(ctx iris.Context) (reply, error) {
	query, err := parseAuditQuery(ctx.Request().URL.RawQuery)
	if err != nil {
		return reply{}, err
	}
	page, err := h.auditPage(ctx.Request().Context(), query)
	if err != nil {
		return reply{}, err
	}
	return reply{http.StatusOK, page}, nil
}

// auditPage collects the selected records. It stops after maxAuditScan records,
// so a page can be short although Next is set.
func (h *handler) auditPage(ctx context.Context, query AuditQuery) (AuditResponse, error) {
	page := AuditResponse{Entries: []AuditEntry{}}
	after := query.After
	for scanned := 0; scanned < maxAuditScan; {
		records, err := h.config.Store.Audit(ctx, after, entryPage)
		if err != nil {
			return AuditResponse{}, errors.Wrap(err, "read audit trail")
		}
		for i := range records {
			if len(page.Entries) == query.Limit {
				page.Next = after
				return page, nil
			}
			after = records[i].To
			if query.selects(&records[i]) {
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

// selects reports whether the record passes the filters.
func (q *AuditQuery) selects(r *configstore.AuditRecord) bool {
	return (q.Operator == "" || q.Operator == r.Operator) &&
		(q.Requester == "" || q.Requester == rules.Comment(r.Requester).Requester()) &&
		(q.From.IsZero() || !r.Time.Before(q.From)) &&
		(q.To.IsZero() || r.Time.Before(q.To))
}

func auditEntry(r *configstore.AuditRecord) AuditEntry {
	comment := rules.Comment(r.Requester)
	return AuditEntry{
		Version:     r.To,
		ReadVersion: r.From,
		Time:        r.Time.UTC(),
		Operator:    r.Operator,
		Requester:   comment.Requester(),
		Reason:      comment.Reason(),
		Action:      r.Action,
		CommitID:    r.CommitID,
		Delta:       rules.Delta{Removed: r.Removed, Added: r.Added},
	}
}

// values returns the query parameters of the query.
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

// parseAuditQuery reads the query parameters; unknown and repeated ones are
// refused, because a mistyped filter would select too much.
func parseAuditQuery(text string) (AuditQuery, error) {
	query := AuditQuery{Limit: defaultAuditLimit}
	values, err := url.ParseQuery(text)
	if err != nil {
		return query, badRequest("invalid query")
	}
	for name, list := range values {
		if len(list) != 1 {
			return query, badRequest("%.64q: expected one value", name)
		}
		if err := query.set(name, list[0]); err != nil {
			return query, err
		}
	}
	return query, nil
}

func (q *AuditQuery) set(name, value string) error {
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
		return badRequest("%.64q: expected after, limit, operator, requester, from or to", name)
	}
	if err != nil {
		return badRequest("%s: expected %s", name, expected)
	}
	return nil
}
