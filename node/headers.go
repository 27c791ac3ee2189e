package node

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// hopByHop reports whether a header field is hop-by-hop (RFC 9110, 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return false
	}
}

// reservedRequestField reports whether a request field is not forwarded:
// framing, the key, and fields that only a node may set, so that a caller
// cannot forge them. Idempotency-Key has its own field in the offer.
func reservedRequestField(name string) bool {
	switch name {
	case "Content-Length", "Expect", "Host", "Authorization", apiKeyHeader,
		verdict.TeamHeader, verdict.RequestIDHeader, verdict.TimeoutHeader,
		verdict.Header, verdict.RefusedHeader, verdict.IdempotencyKeyHeader, replayedHeader:
		return true
	default:
		return false
	}
}

// reservedResponseField reports whether a response field is not forwarded:
// framing, and fields that only a node may send to a caller.
func reservedResponseField(name string) bool {
	switch name {
	case "Content-Length", verdict.RequestIDHeader, verdict.Header, verdict.RefusedHeader, verdict.TeamHeader, replayedHeader:
		return true
	default:
		return false
	}
}

// forwardedFields returns the request header fields that are forwarded to the
// backend server. It drops hop-by-hop and reserved fields, every form of the
// key, and each field that contains the key under another name. Request
// trailers are not forwarded.
func forwardedFields(h http.Header, c *credentials) []*wire.Field {
	return copyFields(h, reservedRequestField, c)
}

// responseFields returns the response header fields that are forwarded to the
// caller. Trailers are not forwarded: a buffered response has a Content-Length,
// and HTTP/1.1 does not allow trailers with it.
func responseFields(h http.Header) []*wire.Field {
	return copyFields(h, reservedResponseField, &credentials{})
}

// copyFields returns the header fields that are forwarded. It allocates all of
// them at once, because it runs for every request and every response.
func copyFields(h http.Header, drop func(name string) bool, c *credentials) []*wire.Field {
	options := connectionOptions(h)
	count := 0
	for _, values := range h {
		count += len(values)
	}
	all := make([]wire.Field, count)
	fields := make([]*wire.Field, 0, count)
	for name, values := range h {
		if hopByHop(name) || drop(name) || options[name] || c.containedInName(name) {
			continue
		}
		for _, v := range values {
			if c.containedIn(v) {
				continue
			}
			f := &all[len(fields)]
			f.Name, f.Value = name, v
			fields = append(fields, f)
		}
	}
	return fields
}

// connectionOptions returns the field names listed in the Connection header, or
// nil.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

// forwardedTarget returns the path and the query without the key parameter. The
// remaining query parameters keep their bytes and order.
func forwardedTarget(u *url.URL, c *credentials) string {
	path := u.EscapedPath()
	if u.RawQuery == "" {
		return path
	}
	kept := make([]string, 0, 4)
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		if !queryPartHasKey(part, c) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}

// queryPartHasKey reports whether one query part is the key parameter or
// contains the key under another name.
func queryPartHasKey(part string, c *credentials) bool {
	for sub := range strings.SplitSeq(part, ";") {
		if name, _, _ := strings.Cut(sub, "="); isKeyParameter(name) {
			return true
		}
	}
	return c.containedIn(part)
}

// setFields adds wire fields to a header. The sender's net/http has usually
// canonicalized the names; other names are canonicalized here.
func setFields(h http.Header, fields []*wire.Field) {
	values := make([]string, len(fields))
	for i, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.GetName())
		if old, ok := h[name]; ok {
			h[name] = append(old, f.GetValue())
			continue
		}
		values[i] = f.GetValue()
		h[name] = values[i : i+1 : i+1]
	}
}
