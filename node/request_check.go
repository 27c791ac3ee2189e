package node

import (
	"net/http"
	"net/url"
	"strings"

	"trefoildock.example/verdict"
)

// checkRequest rejects requests that cannot be forwarded unambiguously.
func checkRequest(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Header.Get("Upgrade") != "":
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotImplemented, Code: "not-supported", Detail: "CONNECT, TRACE and protocol upgrades are not supported"}
	case len(r.Header.Values(verdict.IdempotencyKeyHeader)) > 1:
		return badRequest("ambiguous-idempotency-key", "the request carries more than one Idempotency-Key")
	case !validHost(r.Host):
		return badRequest("bad-host", "the host is not a name or an IP address with an optional port")
	default:
		return checkPath(r.URL)
	}
}

// mustCloseConnection reports whether the connection must be closed after this
// request. net/http silently drops a Content-Length next to chunked framing,
// and a Transfer-Encoding in HTTP/1.0; in both cases RFC 9112, 6.1 requires
// closing the connection.
func mustCloseConnection(r *http.Request) bool {
	return r.ProtoMajor == 1 && (r.ProtoMinor == 0 || r.ContentLength < 0)
}

// validHost accepts host names and IP addresses with an optional port. net/http
// also accepts characters that are significant in a URL.
func validHost(host string) bool {
	for i := range len(host) {
		c := host[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("-._:[]", c) >= 0:
		default:
			return false
		}
	}
	return len(host) <= 255
}

// checkPath rejects a path that a backend server may resolve to a different
// path than the one used for routing.
func checkPath(u *url.URL) error {
	if u.Path == "" || u.Path[0] != '/' {
		return badRequest("bad-target", "the request target has no absolute path")
	}
	if encodedSeparator(u.EscapedPath()) {
		return badRequest("ambiguous-path", "the path contains an encoded slash or backslash")
	}
	for i := range len(u.Path) {
		if c := u.Path[i]; c < ' ' || c == 0x7f || c == '\\' {
			return badRequest("ambiguous-path", "the path contains a control character or a backslash")
		}
	}
	segments := strings.Split(u.Path[1:], "/")
	for i, s := range segments {
		name, _, _ := strings.Cut(s, ";") // Some servers resolve dot segments after removing their parameters.
		if name == "." || name == ".." || s == "" && i < len(segments)-1 {
			return badRequest("ambiguous-path", "the path contains an empty or dot segment")
		}
	}
	return nil
}

// encodedSeparator reports whether the path contains %2F or %5C, also with
// repeated encoding (%252F).
func encodedSeparator(path string) bool {
	for rest := path; ; {
		i := strings.IndexByte(rest, '%')
		if i < 0 {
			return false
		}
		rest = rest[i+1:]
		code := rest
		for strings.HasPrefix(code, "25") {
			code = code[2:]
		}
		if len(code) >= 2 && (strings.EqualFold(code[:2], "2f") || strings.EqualFold(code[:2], "5c")) {
			return true
		}
	}
}
