package h1

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionFields holds the hop-by-hop fields (RFC 9110, 7.6.1) and the fields that
// the framing of this package sets.
var connectionFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true,
}

func isConnectionField(name string) bool { return connectionFields[name] }

// validFields reports whether all names are tokens and all values are free of control
// characters (RFC 9110, 5.1 and 5.5). net/http accepts a name with spaces.
func validFields(h http.Header) bool {
	for name, values := range h {
		if name == "" || strings.IndexFunc(name, func(r rune) bool { return !isTokenChar(r) }) >= 0 {
			return false
		}
		for _, v := range values {
			if strings.IndexFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) >= 0 {
				return false
			}
		}
	}
	return true
}

// isTokenChar reports whether a character may be part of a token (RFC 9110, 5.6.2).
func isTokenChar(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
}

// EndToEnd returns a copy of h without the hop-by-hop fields, which include the
// fields that Connection lists. A sender cannot remove a field that isProtected
// reports, because the next hop needs it.
func EndToEnd(h http.Header, isProtected func(name string) bool) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !connectionFields[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = http.CanonicalHeaderKey(textproto.TrimString(name)); !isProtected(name) {
				out.Del(name)
			}
		}
	}
	return out
}
