package node

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// apiKeyHeader and apiKeyParameter are the alternatives to a bearer token.
const (
	apiKeyHeader    = "X-Api-Key"
	apiKeyParameter = "api_key"
)

const (
	// minSecretBytes is the minimum length of a value that is treated as a secret.
	// Shorter values would match by coincidence; an issued key has more than 40
	// bytes.
	minSecretBytes = 8
	// maxDecodingPasses bounds the number of percent-decoding passes in the search
	// for a secret.
	maxDecodingPasses = 3
)

// credentials holds the values in a request that may be a key.
type credentials struct {
	// key authenticates the request; it is empty if there is none.
	key string
	// ambiguous is set if the request contains two different keys.
	ambiguous bool
	// secrets are all values that may be a key, including forms that do not
	// authenticate. None of them is forwarded to a backend server.
	secrets []string
}

// credentialsOf collects the key and all other secrets of a request.
func credentialsOf(r *http.Request) credentials {
	var c credentials
	for _, v := range r.Header["Authorization"] {
		c.addAuthorization(v)
	}
	for _, v := range r.Header["Proxy-Authorization"] {
		c.addSecret(authorizationToken(v))
	}
	for _, v := range r.Header[apiKeyHeader] {
		c.addKey(strings.TrimSpace(v))
	}
	if r.URL.RawQuery != "" {
		c.addQuery(r.URL.RawQuery)
	}
	return c
}

// addQuery collects the key parameters of the query. Some backend servers also
// split a query at semicolons; a key found only that way does not authenticate.
func (c *credentials) addQuery(query string) {
	for part := range strings.SplitSeq(query, "&") {
		for sub := range strings.SplitSeq(part, ";") {
			name, value, _ := strings.Cut(sub, "=")
			if !isKeyParameter(name) {
				continue
			}
			if v, err := url.QueryUnescape(value); err == nil {
				value = v
			}
			if strings.Contains(part, ";") {
				c.addSecret(value)
			} else {
				c.addKey(value)
			}
		}
	}
}

func (c *credentials) addKey(key string) {
	if key == "" {
		return
	}
	if c.key != "" && c.key != key {
		c.ambiguous = true
	}
	c.key = key
	c.addSecret(key)
}

func (c *credentials) addSecret(s string) {
	if len(s) >= minSecretBytes && !slices.Contains(c.secrets, s) {
		c.secrets = append(c.secrets, s)
	}
}

func (c *credentials) addAuthorization(v string) {
	scheme, _, _ := strings.Cut(strings.TrimSpace(v), " ")
	token := authorizationToken(v)
	switch {
	case strings.EqualFold(scheme, "Bearer"):
		c.addKey(token)
	case strings.EqualFold(scheme, "Basic"):
		c.addSecret(token)
		if plain, err := base64.StdEncoding.DecodeString(token); err == nil {
			user, password, _ := strings.Cut(string(plain), ":")
			c.addSecret(user)
			c.addSecret(password)
		}
	default:
		c.addSecret(token)
	}
}

// authorizationToken returns the part after the scheme, or the whole value if
// it has no scheme.
func authorizationToken(v string) string {
	v = strings.TrimSpace(v)
	if i := strings.IndexAny(v, " \t"); i >= 0 {
		return strings.TrimSpace(v[i:])
	}
	return v
}

// isKeyParameter reports whether a query parameter name is that of the key, in
// any case and percent-encoding.
func isKeyParameter(name string) bool {
	if strings.EqualFold(name, apiKeyParameter) {
		return true
	}
	if !strings.ContainsAny(name, "%+") {
		return false
	}
	n, err := url.QueryUnescape(name)
	return err != nil || strings.EqualFold(strings.TrimSpace(n), apiKeyParameter)
}

// containedIn reports whether a value contains a secret, literally or
// percent-encoded.
func (c *credentials) containedIn(v string) bool {
	if len(c.secrets) == 0 {
		return false
	}
	for range maxDecodingPasses {
		if c.containedLiterally(v) {
			return true
		}
		if !strings.Contains(v, "%") {
			return false
		}
		u, err := url.PathUnescape(v)
		if err != nil || u == v {
			return false
		}
		v = u
	}
	return c.containedLiterally(v)
}

func (c *credentials) containedLiterally(v string) bool {
	for _, s := range c.secrets {
		if len(v) >= len(s) && strings.Contains(v, s) {
			return true
		}
	}
	return false
}

// containedInName reports whether a header field name contains a secret. The
// comparison ignores case, because field names are canonicalized.
func (c *credentials) containedInName(name string) bool {
	for _, s := range c.secrets {
		if len(name) >= len(s) && strings.Contains(strings.ToLower(name), strings.ToLower(s)) {
			return true
		}
	}
	return false
}
