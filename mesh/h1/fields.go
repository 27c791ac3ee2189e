package h1

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionFields concern one connection only (RFC 9110, 7.6.1), or are set by
// the framing of this package.
var connectionFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true,
}

func isConnectionField(name string) bool { return connectionFields[name] }

// EndToEnd returns a copy of the fields without those that concern one
// connection, also those that Connection names.
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
