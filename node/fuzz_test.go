package node

import (
	"bufio"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"trefoildock.example/rules"
	"trefoildock.example/wire"
)

// FuzzAnnouncement checks that parsing neither panics nor accepts an invalid
// announcement.
func FuzzAnnouncement(f *testing.F) {
	f.Add("shop-1", `{"service":"shop","address":"127.0.0.1:80","slots":3,"connections":400,"incarnation":"a","state":"serving"}`)
	f.Add("shop-1", `{"service":"shop","address":"[::1]:80","slots":1e9,"connections":-1,"incarnation":"","state":"x"}`)
	f.Add("../x", `{"service":null}`)
	f.Fuzz(func(t *testing.T, name, body string) {
		a, err := parseAnnouncement(name, strings.NewReader(body))
		if err != nil {
			return
		}
		if a.Slots < 1 || a.Connections < 1 || a.Incarnation == "" || !namePattern.MatchString(a.Service) || !namePattern.MatchString(name) {
			t.Fatalf("accepted %q %+v", name, a)
		}
	})
}

// FuzzKeyNeverSurvives checks that the key is not forwarded to a backend server
// in a header field or in the target.
func FuzzKeyNeverSurvives(f *testing.F) {
	f.Add("X-Api-Key", testKey, "Cookie", "k="+testKey, "a=1&API_KEY="+testKey)
	f.Add("Authorization", "bearer "+testKey, "X-"+testKey, "1", "x="+testKey+";y")
	f.Add("Authorization", "Token\t"+testKey, "X-Enc", url.QueryEscape(testKey), "api%5fkey="+testKey)
	f.Fuzz(func(t *testing.T, keyName, keyValue, name, value, query string) {
		if !strings.Contains(keyValue, testKey) {
			return
		}
		text := fmt.Sprintf("GET /x?%s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %s\r\n\r\n", query, keyName, keyValue, name, value)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		c := credentialsOf(r)
		for _, field := range forwardedFields(r.Header, &c) {
			for _, s := range c.secrets {
				if strings.Contains(field.GetName()+" "+field.GetValue(), s) {
					t.Fatalf("%q is forwarded in %v", s, field)
				}
			}
			checkField(t, field)
		}
		for _, s := range c.secrets {
			if strings.Contains(forwardedTarget(r.URL, &c), s) {
				t.Fatalf("%q is forwarded in the target", s)
			}
		}
	})
}

// checkField fails for a field that only a node may set.
func checkField(t *testing.T, f *wire.Field) {
	if name := http.CanonicalHeaderKey(f.GetName()); reservedRequestField(name) || hopByHop(name) {
		t.Fatalf("%s was forwarded", name)
	}
}

// FuzzTarget checks that an accepted target does not resolve to a different
// path at the backend server than the one used for routing.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/shop/x?a=b", "//a/b", "/a/%2e%2e/b", "/a%2Fb", "/a/..;x/b", "http://h/a", "*", "/%252f", "/a\\b", "/%E4%BD%A0?%zz"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		u, err := url.ParseRequestURI(target)
		if err != nil || checkPath(u) != nil {
			return
		}
		forwarded := forwardedTarget(u, &credentials{})
		parsed, err := url.ParseRequestURI(forwarded)
		if err != nil {
			t.Fatalf("%q was accepted as %q: %v", target, forwarded, err)
		}
		if parsed.Path != u.Path || parsed.Host != "" {
			t.Fatalf("%q became %q", target, forwarded)
		}
		if clean := u.JoinPath().Path; clean != u.Path {
			t.Fatalf("%q resolves to %q", u.Path, clean)
		}
		c, _ := rules.Parse("t", strings.NewReader("service s floor 1 probe /h # t: t\nroute ANY /* service s access open repeat idempotent timeout 1s # t: t\n"))
		if _, ok := rules.NewRouter(c).Match("GET", "", u.Path); !ok {
			t.Fatalf("checkPath accepts %q, but the router rejects it", u.Path)
		}
	})
}
