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

// EndToEnd returns a copy of h without the hop-by-hop fields, which include the
// fields that Connection lists.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !connectionFields[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	return out
}
