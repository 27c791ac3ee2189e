package node

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// apiKeyHeader and apiKeyParameter are the alternatives to a bearer token.
const (
	apiKeyHeader    = "X-Api-Key"
	apiKeyParameter = "api_key"
)

// hopByHop lists the header fields that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reserved lists the header fields that only a node may set towards a backend
// server, so that a caller cannot forge them.
var reserved = []string{
	verdict.TeamHeader, verdict.RequestIDHeader, verdict.TimeoutHeader,
	verdict.Header, verdict.RefusedHeader,
}

// credentials lists the header fields that carry a team's key.
var credentials = []string{"Authorization", apiKeyHeader}

// requestKey returns the key of the caller in clear. ambiguous is set when
// the request names two different keys.
func requestKey(r *http.Request) (key string, ambiguous bool) {
	var keys []string
	for _, v := range r.Header.Values("Authorization") {
		scheme, token, ok := strings.Cut(v, " ")
		if ok && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(token))
		}
	}
	for _, v := range r.Header.Values(apiKeyHeader) {
		keys = append(keys, strings.TrimSpace(v))
	}
	if strings.Contains(r.URL.RawQuery, apiKeyParameter) {
		keys = append(keys, r.URL.Query()[apiKeyParameter]...)
	}
	for _, k := range keys[min(1, len(keys)):] {
		if k != keys[0] {
			return "", true
		}
	}
	if len(keys) == 0 {
		return "", false
	}
	return keys[0], false
}

// forwardedFields returns the caller's header fields that go to the backend
// server. It drops hop-by-hop and reserved fields, every form of the key, and
// each field whose value contains the key under another name.
func forwardedFields(h http.Header, key string) []*wire.Field {
	drop := dropped(h)
	fields := make([]*wire.Field, 0, len(h))
	for name, values := range h {
		if drop[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, v := range values {
			if key != "" && strings.Contains(v, key) {
				continue
			}
			fields = append(fields, &wire.Field{Name: name, Value: v})
		}
	}
	return fields
}

// responseFields returns the fields of an answer without hop-by-hop fields.
func responseFields(h http.Header) []*wire.Field {
	nominated := nominatedFields(h)
	fields := make([]*wire.Field, 0, len(h))
	for name, values := range h {
		if nominated[name] || name == "Content-Length" || name == verdict.RequestIDHeader || name == verdict.Header {
			continue
		}
		for _, v := range values {
			fields = append(fields, &wire.Field{Name: name, Value: v})
		}
	}
	return fields
}

func dropped(h http.Header) map[string]bool {
	drop := nominatedFields(h)
	for _, list := range [][]string{reserved, credentials} {
		for _, name := range list {
			drop[name] = true
		}
	}
	drop["Content-Length"] = true
	drop["Expect"] = true
	drop[verdict.IdempotencyKeyHeader] = true // Carried in its own field of the offer.
	return drop
}

// nominatedFields returns the hop-by-hop fields including those that the
// Connection field nominates.
func nominatedFields(h http.Header) map[string]bool {
	drop := make(map[string]bool, len(hopByHop)+len(reserved)+len(credentials))
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return drop
}

// forwardedTarget returns path and query without the key parameter. The query
// keeps its bytes and order otherwise.
func forwardedTarget(u *url.URL, key string) string {
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	if u.RawQuery == "" {
		return path
	}
	kept := make([]string, 0, 4)
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		if !carriesKey(part, key) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}

// carriesKey reports whether one query part is the key parameter or has the key
// as its value under another name.
func carriesKey(part, key string) bool {
	name, value, _ := strings.Cut(part, "=")
	if n, err := url.QueryUnescape(name); err != nil || strings.EqualFold(n, apiKeyParameter) {
		return true
	}
	if key == "" {
		return false
	}
	v, err := url.QueryUnescape(value)
	return err != nil || strings.Contains(v, key)
}

// setFields adds wire fields to a header.
func setFields(h http.Header, fields []*wire.Field) {
	for _, f := range fields {
		h.Add(f.GetName(), f.GetValue())
	}
}
